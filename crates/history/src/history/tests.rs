use super::{Error, History};
use crate::script::Script;

fn error(script: &Script) -> Error {
    History::new(&script.events).unwrap_err()
}

/// A recorder that uses an id twice could hide a violation, so such a history is
/// rejected before any check reads it.
#[test]
fn contradictions_are_refused() {
    let twice = Script::new()
        .send_repeatable(1, "a")
        .send_repeatable(1, "a");
    assert_eq!(error(&twice), Error::DuplicateCall { order: 1, call: 1 });
    let ended_twice = Script::new()
        .send_repeatable(1, "a")
        .got_cut_answer(1)
        .got_cut_answer(1);
    assert_eq!(
        error(&ended_twice),
        Error::DuplicateCall { order: 2, call: 1 }
    );
    let unsent = Script::new().got_cut_answer(1);
    assert_eq!(error(&unsent), Error::UnknownCall { order: 0, call: 1 });
    let runs = Script::new().start_run(1, 1, "e1").start_run(1, 1, "e1");
    assert_eq!(error(&runs), Error::DuplicateRun { order: 1, run: 1 });
    let unstarted = Script::new().run_completed(1, 1);
    assert_eq!(error(&unstarted), Error::UnknownRun { order: 0, run: 1 });
}

#[test]
fn events_out_of_order_are_refused() {
    let mut script = Script::new().start_instance("a").start_instance("b");
    script.events.swap(0, 1);
    let unordered = Error::Unordered {
        order: 0,
        before: 1,
    };
    assert_eq!(error(&script), unordered);
}
