use super::{Breach, check};
use crate::history::History;
use crate::script::Script;

fn breaches(script: &Script) -> Vec<Breach> {
    let history = History::new(&script.events).unwrap();
    check(&history)
        .into_iter()
        .map(|violation| violation.breach)
        .collect()
}

fn cut(call: u64) -> Breach {
    Breach::Cut {
        instance: "a".into(),
        call,
    }
}

/// A stopped router closes its listeners and exits while a long response is still
/// streaming, which cuts off the caller.
#[test]
fn a_stream_cut_by_a_stop_is_found() {
    let script = Script::new().send_repeatable(1, "a").start_run(1, 1, "e1");
    let script = script.begin_stop("a").got_cut_answer(1).end_stop("a");
    assert_eq!(breaches(&script), [cut(1)]);
}

/// The stopping instance is not the caller's entry instance but the one connected
/// to the endpoint.
#[test]
fn a_forwarded_stream_cut_by_a_stop_is_found() {
    let script = Script::new().send_repeatable(1, "b").dispatch(1, "a", 1);
    let script = script.begin_stop("a").end_stop("a").got_cut_answer(1);
    assert_eq!(breaches(&script), [cut(1)]);
}

#[test]
fn a_stop_without_an_end_is_found() {
    let never_ended = Breach::NeverEnded {
        instance: "a".into(),
    };
    assert_eq!(breaches(&Script::new().begin_stop("a")), [never_ended]);
}

/// Three allowed cases: a stream cut off by the loss of its endpoint during the
/// stop, one cut off by a kill during the stop, and a call sent after the stop
/// ended.
#[test]
fn cuts_with_another_cause_are_allowed() {
    let lost = Script::new()
        .send_repeatable(1, "a")
        .start_run(1, 1, "e1")
        .begin_stop("a");
    let lost = lost.lose_endpoint("e1").got_cut_answer(1).end_stop("a");
    assert_eq!(breaches(&lost), []);
    let killed = Script::new()
        .send_repeatable(1, "a")
        .begin_stop("a")
        .kill_instance("a")
        .got_cut_answer(1);
    assert_eq!(breaches(&killed), []);
    let after = Script::new()
        .begin_stop("a")
        .end_stop("a")
        .send_repeatable(1, "a")
        .got_cut_answer(1);
    assert_eq!(breaches(&after), []);
}
