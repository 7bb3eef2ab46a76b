use super::{Breach, check};
use crate::check::{Bound, LEAVING_GRACE};
use crate::event::{Run, What};
use crate::history::History;
use crate::script::Script;

fn breaches(script: &Script, bound: Bound) -> Vec<Breach> {
    let history = History::new(&script.events).unwrap();
    check(&history, bound)
        .into_iter()
        .map(|violation| violation.breach)
        .collect()
}

fn new_work(call: u64) -> Breach {
    Breach::NewWork {
        endpoint: "e1".into(),
        call,
    }
}

fn settled() -> What {
    What::LeavingSettled {
        endpoint: "e1".into(),
        incarnation: 1,
    }
}

/// An engine announces that it leaves; a router whose list lags sends it a
/// draft four seconds later, which dies with the engine.
#[test]
fn new_work_after_the_grace_is_found() {
    let script = Script::new().join("e1", 1).draft(1, "a").leave("e1");
    let script = script.wait(3001).run(1, 1, "e1");
    let found = breaches(&script, Bound::Within(LEAVING_GRACE));
    assert_eq!(found, [new_work(1)]);
}

#[test]
fn work_that_the_leaving_endpoint_refused_counts() {
    let run = Run {
        run: 1,
        call: 1,
        endpoint: "e1".into(),
        incarnation: 1,
        work: 1,
    };
    let script = Script::new().leave("e1").then(settled()).draft(1, "a");
    let script = script.then(What::RunRefused(run));
    assert_eq!(breaches(&script, Bound::ByMark), [new_work(1)]);
}

/// Near misses: work within the grace, a call that was on its way when the
/// mark was set, and work for the next life of the same name, which is
/// somebody else.
#[test]
fn work_within_the_grace_or_for_the_next_life_is_allowed() {
    let script = Script::new().draft(1, "a").draft(2, "a").leave("e1");
    let script = script.wait(3000).then(settled()).run(1, 1, "e1");
    let script = script
        .join("e1", 2)
        .wait(60_000)
        .then(What::RunStarted(Run {
            run: 2,
            call: 2,
            endpoint: "e1".into(),
            incarnation: 2,
            work: 1,
        }));
    assert_eq!(breaches(&script, Bound::Within(LEAVING_GRACE)), []);
    assert_eq!(breaches(&script, Bound::ByMark), []);
}
