use super::{Breach, check};
use crate::event::{End, What};
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

fn two_running() -> Script {
    let sent = Script::new()
        .send_repeatable(1, "a")
        .send_repeatable(2, "a");
    let running = sent.start_run(1, 1, "e1").start_run(2, 2, "e1");
    running.run_completed(1, 1).run_completed(2, 2)
}

/// Two concurrent calls receive each other's answers, as when late answers arrive
/// on reused connections.
#[test]
fn a_crossed_answer_is_found() {
    let script = two_running().got_whole_answer(1);
    let script = script.got(2, Outcome::Ran, End::Whole, "answer-1");
    assert_eq!(
        breaches(&script),
        [Breach::WrongAnswer { call: 2, other: 1 }]
    );
}

/// An endpoint dies in the middle of an answer. A router that then ends the
/// caller's stream properly makes the partial answer look whole.
#[test]
fn half_an_answer_taken_for_whole_is_found() {
    let script = Script::new().send_repeatable(1, "a").start_run(1, 1, "e1");
    let script = script.run_ended(1, End::Cut, "part");
    let script = script.got(1, Outcome::Ran, End::Whole, "part");
    assert_eq!(breaches(&script), [Breach::Altered { call: 1 }]);
}

#[test]
fn an_answer_without_a_run_is_found() {
    let script = Script::new()
        .send_repeatable(1, "a")
        .got_whole_answer(1)
        .send_repeatable(2, "a");
    let script = script.answered_by_router(2, Outcome::Ran);
    let never = [Breach::NeverRan { call: 1 }, Breach::NeverRan { call: 2 }];
    assert_eq!(breaches(&script), never);
}

#[test]
fn a_cut_without_a_fault_and_an_open_call_are_found() {
    let script = Script::new()
        .send_repeatable(1, "a")
        .send_repeatable(2, "a")
        .got_cut_answer(1);
    let expected = [Breach::Cut { call: 1 }, Breach::Unanswered { call: 2 }];
    assert_eq!(breaches(&script), expected);
}

#[test]
fn an_answer_without_an_outcome_is_found() {
    let mut script = two_running().got_whole_answer(1).got_whole_answer(2);
    if let Some(What::CallerGot(got)) = script.events.last_mut().map(|event| &mut event.what) {
        got.outcome = None;
    }
    assert_eq!(breaches(&script), [Breach::MissingOutcome { call: 2 }]);
}

/// Allowed case: the answer is cut off because its endpoint or a router on its
/// path died. The caller sees the cut, so no guarantee is broken.
#[test]
fn a_cut_by_a_fault_on_the_way_is_allowed() {
    let lost = Script::new()
        .send_repeatable(1, "a")
        .start_run(1, 1, "e1")
        .lose_endpoint("e1")
        .got_cut_answer(1);
    assert_eq!(breaches(&lost), []);
    let broken_off = Script::new().send_repeatable(1, "a").start_run(1, 1, "e1");
    let broken_off = broken_off
        .record(What::AnswerCut { run: 1 })
        .got_cut_answer(1);
    assert_eq!(breaches(&broken_off.run_completed(1, 1)), []);
    let forwarded = Script::new()
        .start_instance("b")
        .send_repeatable(1, "a")
        .dispatch(1, "b", 1);
    assert_eq!(
        breaches(&forwarded.kill_instance("b").got_cut_answer(1)),
        []
    );
}

/// A run that ends because a router closed the connection is not an endpoint
/// fault, so it must not excuse the answer that the router cut off.
#[test]
fn a_cut_with_a_run_abandoned_by_the_router_is_found() {
    let script = Script::new().send_repeatable(1, "a").start_run(1, 1, "e1");
    let script = script
        .run_ended(1, End::Abandoned, "part")
        .got_cut_answer(1);
    assert_eq!(breaches(&script), [Breach::Cut { call: 1 }]);
}

/// The fault must be on the path: a kill of another router, or of the entry
/// instance before the call was sent, excuses nothing.
#[test]
fn a_cut_with_a_fault_elsewhere_is_found() {
    let other = Script::new()
        .send_repeatable(1, "a")
        .kill_instance("b")
        .got_cut_answer(1);
    assert_eq!(breaches(&other), [Breach::Cut { call: 1 }]);
    let earlier = Script::new()
        .kill_instance("a")
        .start_instance("a")
        .send_repeatable(1, "a")
        .got_cut_answer(1);
    assert_eq!(breaches(&earlier), [Breach::Cut { call: 1 }]);
}

/// Allowed case: an unrepeatable request is resent with its key and gets the answer
/// of the run that the first call started.
#[test]
fn a_replayed_answer_is_allowed() {
    let script = Script::new()
        .send_unrepeatable(1, "print", "a")
        .start_run(1, 1, "e1");
    let script = script
        .run_completed(1, 1)
        .kill_instance("a")
        .got_cut_answer(1)
        .send_unrepeatable(2, "print", "b");
    let script = script.got(2, Outcome::Ran, End::Whole, "answer-1");
    assert_eq!(breaches(&script), []);
}
