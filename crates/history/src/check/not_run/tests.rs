use super::{Breach, check};
use crate::history::History;
use crate::script::Script;

use godwitpost_types::outcome::Outcome;

fn breaches(script: &Script) -> Vec<Breach> {
    let history = History::new(&script.events).unwrap();
    check(&history)
        .into_iter()
        .map(|violation| violation.breach)
        .collect()
}

/// A caller is told *not run* although its unrepeatable request ran before.
#[test]
fn a_run_before_a_not_run_answer_is_found() {
    let script = Script::new()
        .send_unrepeatable(1, "print", "a")
        .start_run(5, 1, "e1");
    let script = script.answered_by_router(1, Outcome::NotRun);
    assert_eq!(breaches(&script), [Breach::RanBefore { call: 1, run: 5 }]);
}

/// A request times out in a queue and its caller is told *not run*, but the request
/// stays queued and runs later.
#[test]
fn a_run_after_a_not_run_answer_is_found() {
    let script = Script::new()
        .send_repeatable(1, "a")
        .answered_by_router(1, Outcome::NotRun);
    let script = script.start_run(5, 1, "e1");
    assert_eq!(breaches(&script), [Breach::RanAfter { call: 1, run: 5 }]);
}

/// A caller resends an unrepeatable request through another instance, which answers
/// *not run*. The first call, paused while it holds the claim, resumes and runs.
#[test]
fn a_run_of_an_earlier_call_of_the_job_is_found() {
    let script = Script::new()
        .send_unrepeatable(1, "print", "a")
        .send_unrepeatable(2, "print", "b");
    let script = script
        .answered_by_router(2, Outcome::NotRun)
        .start_run(5, 1, "e1");
    assert_eq!(breaches(&script), [Breach::RanAfter { call: 2, run: 5 }]);
}

/// Allowed case: the caller is told *not run* and places the request again.
#[test]
fn a_run_of_a_later_call_is_allowed() {
    let script = Script::new()
        .send_unrepeatable(1, "print", "a")
        .answered_by_router(1, Outcome::NotRun);
    let script = script
        .send_unrepeatable(2, "print", "a")
        .start_run(5, 2, "e1");
    assert_eq!(breaches(&script), []);
}

/// Allowed case: another workspace uses the same job name.
#[test]
fn the_same_job_name_elsewhere_is_allowed() {
    let mut script = Script::new()
        .send_unrepeatable(1, "print", "a")
        .send_unrepeatable(2, "print", "a");
    if let crate::event::What::CallerSent(sent) = &mut script.events[1].what {
        sent.workspace = "kushiro".into();
    }
    let script = script
        .start_run(5, 1, "e1")
        .answered_by_router(2, Outcome::NotRun);
    assert_eq!(breaches(&script), []);
}
