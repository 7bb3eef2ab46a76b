use super::{Error, read, write};
use crate::event::{Sample, What};
use crate::script::Script;

use godwitpost_types::outcome::Outcome;

#[test]
fn events_come_back_from_the_file() {
    let work = [("e1".to_owned(), u64::MAX)].into();
    let script = Script::new()
        .join_endpoint("e1", 1)
        .wait(5)
        .send_unrepeatable(1, "print", "a");
    let script = script
        .start_run(1, 1, "e1")
        .run_completed(1, 1)
        .got_whole_answer(1)
        .lose_endpoint("e1");
    let script = script
        .answered_by_router(2, Outcome::Unknown)
        .accept_bundle(1, 0)
        .bundle_in_force("a", 1);
    let script = script.record(What::LoadSampled(Sample {
        service: "drafting".into(),
        work,
    }));
    let mut file = Vec::new();
    write(&script.events, &mut file).unwrap();
    assert_eq!(read(file.as_slice()).unwrap(), script.events);
}

#[test]
fn a_line_is_readable_by_people() {
    let script = Script::new().wait(5).start_instance("kushiro-1");
    let mut file = Vec::new();
    write(&script.events, &mut file).unwrap();
    let line = r#"{"order":0,"at_us":5000,"event":"instance_started","instance":"kushiro-1"}"#;
    assert_eq!(String::from_utf8(file).unwrap(), format!("{line}\n"));
}

/// A run that is killed can leave an incomplete last line. The file must not be
/// read as a shorter history.
#[test]
fn a_truncated_last_line_is_refused_with_its_number() {
    let script = Script::new().start_instance("a").start_instance("b");
    let mut file = Vec::new();
    write(&script.events, &mut file).unwrap();
    file.truncate(file.len() - 5);
    let error = read(file.as_slice()).unwrap_err();
    assert!(matches!(error, Error::Parse { line: 2, .. }));
    assert!(error.to_string().contains("cut the file before this line"));
}
