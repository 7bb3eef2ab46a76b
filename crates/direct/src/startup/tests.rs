use std::time::Duration;

use super::{OPERATOR_REWRITE_TIME, StartupState};

const FIRST_READ_AT: Duration = Duration::from_millis(30);

#[test]
fn a_log_that_was_never_restored_is_reliable_at_once() {
    assert!(StartupState::default().record_read(0, FIRST_READ_AT));
}

/// Guards against relying on a version just before the operator writes a newer
/// one again.
#[test]
fn the_first_read_of_a_restored_log_is_not_reliable() {
    let mut state = StartupState::default();
    assert!(!state.record_read(2, FIRST_READ_AT));
    assert!(!state.record_read(2, OPERATOR_REWRITE_TIME));
    assert!(state.record_read(2, FIRST_READ_AT + OPERATOR_REWRITE_TIME));
    // The instance now knows a version and notices if a later copy lacks it.
    assert!(state.record_read(3, FIRST_READ_AT + OPERATOR_REWRITE_TIME));
}

/// Guards against a log that is restored again during the wait.
#[test]
fn each_era_restarts_the_wait() {
    let mut state = StartupState::default();
    assert!(!state.record_read(2, Duration::ZERO));
    assert!(!state.record_read(3, OPERATOR_REWRITE_TIME));
    assert!(state.record_read(3, OPERATOR_REWRITE_TIME * 2));
}

#[test]
fn an_instance_informed_by_a_peer_relies_on_the_log() {
    let mut state = StartupState::default();
    assert!(!state.record_read(2, Duration::ZERO));
    state.record_peer_answer();
    assert!(state.record_read(2, FIRST_READ_AT));
}
