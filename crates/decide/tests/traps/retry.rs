//! What may go again, and what the caller is told.

use std::time::Duration;

use godwitpost_decide::ending::Ending;
use godwitpost_decide::entry::{Attempts, Budgets, Next, Retry};
use godwitpost_types::clock::Moment;
use godwitpost_types::outcome::Outcome;
use godwitpost_types::request::Request;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet;

const NOW: Moment = Duration::from_secs(100);

struct Caller {
    attempts: Attempts,
    budgets: Budgets,
    rng: ChaCha8Rng,
}

impl Caller {
    fn new() -> Self {
        Self {
            attempts: Attempts::default(),
            budgets: Budgets::default(),
            rng: ChaCha8Rng::seed_from_u64(1),
        }
    }

    fn failed(&mut self, request: &Request, ending: Ending) -> Retry {
        let view = fleet::view(0, 6, 10);
        let (endpoint, _) = fleet::home(&view, request);
        let (budgets, rng) = (&mut self.budgets, &mut self.rng);
        self.attempts
            .record_failure(NOW, &view, 0, request, Some(endpoint), ending, budgets, rng)
    }
}

fn order() -> Request {
    Request {
        key: Some([1; 16]),
        ..fleet::request(1)
    }
}

// The Sounkyo guides are billed double. The connection to the print service
// broke after the order's head was on its way; the router sent it again.
#[test]
fn unrepeatable_request_of_unknown_fate_never_goes_again() {
    for ending in [Ending::Broken, Ending::Timeout, Ending::Abandoned] {
        let retry = Caller::new().failed(&order(), ending);
        let unknown = matches!(
            retry,
            Retry::GiveUp {
                outcome: Outcome::Unknown,
                ..
            }
        );
        assert!(unknown, "{ending:?} gave {retry:?}");
    }
}

// A draft broke at one engine, which may have run it, and is refused whole by
// the next. The last ending alone would have the caller told "not run".
#[test]
fn one_attempt_of_unknown_fate_makes_the_whole_unknown() {
    let mut caller = Caller::new();
    let draft = fleet::request(1);
    assert!(matches!(
        caller.failed(&draft, Ending::Broken),
        Retry::Again { .. }
    ));
    let mut last = caller.failed(&draft, Ending::Refused);
    while matches!(last, Retry::Again { .. }) {
        last = caller.failed(&draft, Ending::Refused);
    }
    assert!(matches!(
        last,
        Retry::GiveUp {
            outcome: Outcome::Unknown,
            ..
        }
    ));
}

// An order meets an engine that is leaving and says so: nothing ran, so it
// goes elsewhere at once, and not to the same one.
#[test]
fn refused_order_goes_to_another_endpoint_at_once() {
    let view = fleet::view(0, 6, 10);
    let (home, _) = fleet::home(&view, &order());
    let retry = Caller::new().failed(&order(), Ending::Leaving);
    let Retry::Again { after, to } = retry else {
        panic!("gave up: {retry:?}");
    };
    assert_eq!(after, Duration::ZERO);
    let (Next::Local { endpoint } | Next::Forward { endpoint, .. }) = to else {
        panic!("refused: {to:?}");
    };
    assert_ne!(endpoint, home);
}

// All engines are down for a minute and every caller's request is tried four
// times: the outage ends under four times the load that it began with.
#[test]
fn outage_is_not_answered_by_a_storm_of_retries() {
    let mut budgets = Budgets::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        budgets.deposit(1, 1);
        retries += u32::from(budgets.try_withdraw(NOW, 1, 1));
    }
    assert!(retries <= 110, "{retries} retries of 1,000 requests");
    assert!(
        budgets.try_withdraw(NOW, 2, 1),
        "another workspace has its own"
    );
}
