//! A holder that gave a claim up never starts its request.

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

/// A caller is told *not run* and its order is printed. The dispatcher is
/// paused after its claim won; the deadline passes; it wakes and goes on
/// where it was.
#[test]
fn a_holder_that_slept_past_the_deadline_does_not_start() {
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

/// A caller sends its key again and hears *unknown* for a quarter of an hour.
/// Its first attempt was given up before the verdict came, the claim won all
/// the same, and nobody wrote down that it never ran.
#[test]
fn a_verdict_after_giving_up_spends_the_key() {
    let mut holder = Holder::new(1, 1);
    let id = holder.open(&KEY, [0; 16], at(110)).id;
    assert_eq!(holder.abandon(id), AbandonResult::NotRun(not_run(id)));
    let step = holder.apply_verdict(at(104), id, Verdict::Claimed);
    assert_eq!(step, Step::Report(not_run(id)));
    assert!(!holder.try_start(at(104), id));
}

/// A caller sends its key again and hears *unknown*, though the instance that
/// it asks gave the key's winner up itself: the fate was lost on its way.
#[test]
fn a_holder_knows_what_it_gave_up_itself() {
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

/// An order runs twice after its dispatcher restarted: a verdict for the dead
/// process starts the request of the new one.
#[test]
fn a_verdict_for_another_incarnation_is_ignored() {
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
enum Act {
    Verdict(Verdict),
    Start,
    Abandon,
    Finish,
    Pass(u64),
}

fn any_act() -> impl Strategy<Value = Act> {
    let by = Id {
        holder: 9,
        incarnation: 1,
        sequence: 1,
    };
    prop_oneof![
        Just(Act::Verdict(Verdict::Claimed)),
        Just(Act::Verdict(Verdict::Unavailable)),
        Just(Act::Verdict(Verdict::Taken { by, outcome: None })),
        Just(Act::Start),
        Just(Act::Abandon),
        Just(Act::Finish),
        (1..5_u64).prop_map(Act::Pass),
    ]
}

proptest! {
    #[test]
    fn it_starts_at_most_once_and_never_after_not_run(
        acts in prop::collection::vec(any_act(), 1..20),
    ) {
        let mut holder = Holder::new(1, 1);
        let id = holder.open(&KEY, [0; 16], at(110)).id;
        let mut now = at(100);
        let mut started = 0;
        let mut told_not_run = false;
        for act in acts {
            match act {
                Act::Verdict(verdict) => {
                    let step = holder.apply_verdict(now, id, verdict);
                    if let Step::Refuse { refusal, .. } = step {
                        told_not_run |= refusal.outcome() == Outcome::NotRun;
                    }
                }
                Act::Start => {
                    let start = holder.try_start(now, id);
                    prop_assert!(!start || !told_not_run);
                    started += u32::from(start);
                }
                Act::Abandon => {
                    let not_run = matches!(holder.abandon(id), AbandonResult::NotRun(_));
                    prop_assert!(!not_run || started == 0);
                    told_not_run |= not_run;
                }
                Act::Finish => {
                    holder.finish(id, Outcome::Unknown);
                }
                Act::Pass(seconds) => now += at(seconds),
            }
        }
        prop_assert!(started <= 1);
    }
}
