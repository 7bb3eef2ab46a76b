use super::{Breach, check};
use crate::event::End;
use crate::history::History;
use crate::script::Script;

fn breaches(script: &Script) -> Vec<Breach> {
    let history = History::new(&script.events).unwrap();
    check(&history)
        .into_iter()
        .map(|violation| violation.breach)
        .collect()
}

/// The connection of an unrepeatable request breaks, its caller resends it through
/// another instance, and the job runs twice.
#[test]
fn a_job_run_twice_over_two_calls_is_found() {
    let script = Script::new()
        .send_unrepeatable(1, "print", "a")
        .start_run(1, 1, "e1");
    let script = script.run_ended(1, End::Cut, "part").got_cut_answer(1);
    let script = script
        .send_unrepeatable(2, "print", "b")
        .start_run(2, 2, "e2");
    let repeated = Breach::Repeated {
        workspace: "otaru".into(),
        job: "print".into(),
        runs: 2,
    };
    assert_eq!(breaches(&script), [repeated]);
}

#[test]
fn a_run_before_its_call_is_found() {
    let script = Script::new().start_run(1, 7, "e1").send_repeatable(7, "a");
    assert_eq!(
        breaches(&script),
        [Breach::NotRequested { run: 1, call: 7 }]
    );
}

/// Two allowed cases: a repeatable request runs again after its endpoint was lost,
/// and two unrepeatable requests of one workspace have different jobs.
#[test]
fn repeats_of_drafts_and_two_orders_are_allowed() {
    let script = Script::new()
        .send_repeatable(1, "a")
        .start_run(1, 1, "e1")
        .lose_endpoint("e1");
    let script = script.start_run(2, 1, "e2");
    let script = script
        .send_unrepeatable(2, "print", "a")
        .send_unrepeatable(3, "reprint", "a");
    let script = script.start_run(3, 2, "e1").start_run(4, 3, "e1");
    assert_eq!(breaches(&script), []);
}
