//! A holder that abandoned a claim never starts its request.

use std::time::Duration;

use proptest::prelude::*;

use super::*;

const KEY: Key = Key {
    digest: [1; 16],
    issued: Duration::from_secs(100),
};

const fn at(seconds: u64) -> Moment {
    Duration::from_secs(seconds)
}

const fn not_run(id: Id) -> Item {
    Item::Outcome {
        key: KEY.digest,
        id,
        outcome: Outcome::NotRun,
    }
}

/// A request must not run after its caller was told *not run*. The dispatcher
/// is paused after its claim won, and resumes after the deadline.
#[test]
fn holder_paused_past_the_deadline_does_not_start() {
    let mut holder = Holder::new(1, 1);
    let id = holder.open(&KEY, [0; 16], at(110)).id;
    assert_eq!(
        holder.apply_verdict(at(101), id, Verdict::Claimed),
        Step::Claimed
    );
    assert!(!holder.try_start(at(110), id));
    assert_eq!(holder.abandon(id), AbandonResult::NotRun(not_run(id)));
    assert!(!holder.try_start(at(105), id));
}

/// A resend of a key got *unknown* for a quarter of an hour when the first claim
/// was abandoned before its verdict, then won, and no outcome was recorded.
#[test]
fn claim_won_after_abandoning_reports_not_run() {
    let mut holder = Holder::new(1, 1);
    let id = holder.open(&KEY, [0; 16], at(110)).id;
    assert_eq!(holder.abandon(id), AbandonResult::NotRun(not_run(id)));
    let step = holder.apply_verdict(at(104), id, Verdict::Claimed);
    assert_eq!(step, Step::Report(not_run(id)));
    assert!(!holder.try_start(at(104), id));
}

/// A resend of a key must not get *unknown* from the instance that abandoned the
/// winning claim itself, even if the outcome was lost on its way to the log.
#[test]
fn resend_at_the_abandoning_holder_is_refused_as_not_run() {
    let mut holder = Holder::new(1, 1);
    let first = holder.open(&KEY, [0; 16], at(110)).id;
    holder.abandon(first);
    let second = holder.open(&KEY, [0; 16], at(120)).id;
    let taken = Verdict::Taken {
        by: first,
        outcome: None,
    };
    let step = holder.apply_verdict(at(112), second, taken);
    let refusal = Refusal::Spent;
    assert_eq!(
        step,
        Step::Refuse {
            refusal,
            report: None
        }
    );
}

/// A request must not run twice after its dispatcher restarted, when a verdict
/// for the former incarnation starts the request of the new one.
#[test]
fn verdict_for_another_incarnation_is_ignored() {
    let mut before = Holder::new(1, 1);
    let id = before.open(&KEY, [0; 16], at(110)).id;
    let mut after = Holder::new(1, 2);
    let own = after.open(&KEY, [0; 16], at(110)).id;
    assert_eq!(
        after.apply_verdict(at(101), id, Verdict::Claimed),
        Step::Ignore
    );
    assert!(!after.try_start(at(101), own));
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Verdict(Verdict),
    Start,
    Abandon,
    Finish,
    Elapse(u64),
}

fn any_event() -> impl Strategy<Value = Event> {
    let by = Id {
        holder: 9,
        incarnation: 1,
        sequence: 1,
    };
    prop_oneof![
        Just(Event::Verdict(Verdict::Claimed)),
        Just(Event::Verdict(Verdict::Unavailable)),
        Just(Event::Verdict(Verdict::Taken { by, outcome: None })),
        Just(Event::Start),
        Just(Event::Abandon),
        Just(Event::Finish),
        (1..5_u64).prop_map(Event::Elapse),
    ]
}

proptest! {
    #[test]
    fn request_starts_at_most_once_and_never_after_not_run(
        events in prop::collection::vec(any_event(), 1..20),
    ) {
        let mut holder = Holder::new(1, 1);
        let id = holder.open(&KEY, [0; 16], at(110)).id;
        let mut now = at(100);
        let mut started = 0;
        let mut reported_not_run = false;
        for event in events {
            match event {
                Event::Verdict(verdict) => {
                    let step = holder.apply_verdict(now, id, verdict);
                    if let Step::Refuse { refusal, .. } = step {
                        reported_not_run |= refusal.outcome() == Outcome::NotRun;
                    }
                }
                Event::Start => {
                    let start = holder.try_start(now, id);
                    prop_assert!(!start || !reported_not_run);
                    started += u32::from(start);
                }
                Event::Abandon => {
                    let not_run = matches!(holder.abandon(id), AbandonResult::NotRun(_));
                    prop_assert!(!not_run || started == 0);
                    reported_not_run |= not_run;
                }
                Event::Finish => {
                    holder.finish(id, Outcome::Unknown);
                }
                Event::Elapse(seconds) => now += at(seconds),
            }
        }
        prop_assert!(started <= 1);
    }
}
