use super::{Breach, check};
use crate::check::{Deadline, LEAVING_GRACE};
use crate::event::{Run, What};
use crate::history::History;
use crate::script::Script;

fn breaches(script: &Script, deadline: Deadline) -> Vec<Breach> {
    let history = History::new(&script.events).unwrap();
    check(&history, deadline)
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
    let script = Script::new()
        .join_endpoint("e1", 1)
        .send_repeatable(1, "a")
        .announce_leaving("e1");
    let script = script.wait(3001).start_run(1, 1, "e1");
    let found = breaches(&script, Deadline::Within(LEAVING_GRACE));
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
    let script = Script::new()
        .announce_leaving("e1")
        .push(settled())
        .send_repeatable(1, "a");
    let script = script.push(What::RunRefused(run));
    assert_eq!(breaches(&script, Deadline::SettledEvent), [new_work(1)]);
}

/// Near misses: work within the grace, a call that was on its way when the
/// mark was set, and work for the next life of the same name, which is
/// somebody else.
#[test]
fn work_within_the_grace_or_for_the_next_incarnation_is_allowed() {
    let script = Script::new()
        .send_repeatable(1, "a")
        .send_repeatable(2, "a")
        .announce_leaving("e1");
    let script = script.wait(3000).push(settled()).start_run(1, 1, "e1");
    let script = script
        .join_endpoint("e1", 2)
        .wait(60_000)
        .push(What::RunStarted(Run {
            run: 2,
            call: 2,
            endpoint: "e1".into(),
            incarnation: 2,
            work: 1,
        }));
    assert_eq!(breaches(&script, Deadline::Within(LEAVING_GRACE)), []);
    assert_eq!(breaches(&script, Deadline::SettledEvent), []);
}
