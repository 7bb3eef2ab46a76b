use std::time::Duration;

use super::{REWRITTEN, StartupState};

const SOON: Duration = Duration::from_millis(30);

#[test]
fn a_log_that_never_came_back_is_gone_by_at_once() {
    assert!(StartupState::default().record_read(0, SOON));
}

/// Guards against a version that the operator is about to write again.
#[test]
fn the_first_read_of_a_restored_log_is_not_gone_by() {
    let mut start = StartupState::default();
    assert!(!start.record_read(2, SOON));
    assert!(!start.record_read(2, REWRITTEN));
    assert!(start.record_read(2, SOON + REWRITTEN));
    // It knows a version now, and sees what a later copy lacks.
    assert!(start.record_read(3, SOON + REWRITTEN));
}

/// Guards against a log that came back once more meanwhile.
#[test]
fn each_era_begins_the_wait_anew() {
    let mut start = StartupState::default();
    assert!(!start.record_read(2, Duration::ZERO));
    assert!(!start.record_read(3, REWRITTEN));
    assert!(start.record_read(3, REWRITTEN * 2));
}

#[test]
fn who_was_told_a_version_sees_what_the_log_lacks() {
    let mut start = StartupState::default();
    assert!(!start.record_read(2, Duration::ZERO));
    start.record_peer_answer();
    assert!(start.record_read(2, SOON));
}
