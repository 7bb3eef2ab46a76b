//! Which requests are retried, and what the caller is told.

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

// The connection to a service breaks after the head of an order was sent. If
// the router sent the order again, the customer would be billed twice.
#[test]
fn unrepeatable_request_with_unknown_outcome_is_not_retried() {
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

// A request breaks at one engine, which may have run it, and the next engine
// refuses it. Judged by the last ending alone, the caller would be told "not
// run".
#[test]
fn one_unknown_attempt_makes_the_outcome_unknown() {
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

// An endpoint refuses a request because it is leaving. Nothing ran, so the
// request goes to another endpoint at once.
#[test]
fn refused_request_goes_to_another_endpoint_at_once() {
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

// All engines are down for a minute. If every request were tried four times,
// the load would be four times as high at the end of the outage as at its
// start.
#[test]
fn retry_budget_bounds_retries_in_an_outage() {
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
