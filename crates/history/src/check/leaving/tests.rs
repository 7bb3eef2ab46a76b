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

/// An endpoint announces that it is leaving. A router with an outdated list sends
/// it a request more than three seconds later, which is lost with the endpoint.
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
        .record(settled())
        .send_repeatable(1, "a");
    let script = script.record(What::RunRefused(run));
    assert_eq!(breaches(&script, Deadline::SettledEvent), [new_work(1)]);
}

/// Three allowed cases: a request within the grace period, a call that was in
/// flight when the settled event was recorded, and a request for the next
/// incarnation under the same name.
#[test]
fn work_within_the_grace_or_for_the_next_incarnation_is_allowed() {
    let script = Script::new()
        .send_repeatable(1, "a")
        .send_repeatable(2, "a")
        .announce_leaving("e1");
    let script = script.wait(3000).record(settled()).start_run(1, 1, "e1");
    let script = script
        .join_endpoint("e1", 2)
        .wait(60_000)
        .record(What::RunStarted(Run {
            run: 2,
            call: 2,
            endpoint: "e1".into(),
            incarnation: 2,
            work: 1,
        }));
    assert_eq!(breaches(&script, Deadline::Within(LEAVING_GRACE)), []);
    assert_eq!(breaches(&script, Deadline::SettledEvent), []);
}
