//! Tests of the order of an endpoint's responses.

use super::*;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn answered(sent_at: u64, answered_at: u64) -> Turns {
    let mut turns = Turns::default();
    turns.record(at(sent_at), at(answered_at));
    turns
}

#[test]
fn request_waits_in_turn_behind_one_that_waited_as_long() {
    let turns = answered(900, 1_200);
    assert!(!turns.has_passed_over(at(1_000)));
    assert!(turns.is_late_in_turn(at(1_000), at(1_300)));
}

#[test]
fn request_is_passed_over_if_a_later_one_is_answered() {
    let turns = answered(1_010, 1_200);
    assert!(turns.has_passed_over(at(1_000)));
}

#[test]
fn quick_response_to_another_request_does_not_explain_a_late_one() {
    let turns = answered(990, 1_030);
    assert!(!turns.is_late_in_turn(at(1_000), at(1_300)));
}

#[test]
fn response_from_before_the_request_does_not_explain_its_wait() {
    let turns = answered(100, 900);
    assert!(!turns.is_late_in_turn(at(1_000), at(1_300)));
}

#[test]
fn endpoint_that_begins_no_responses_is_busy_for_a_few_waits() {
    let mut turns = Turns::default();
    assert!(turns.record_none_begun(at(1_000), None, at(1_300)));
    assert!(turns.record_none_begun(at(1_600), None, at(1_900)));
    assert!(!turns.record_none_begun(at(1_700), None, at(2_000)));
    assert!(turns.record_none_begun(at(1_700), Some(at(1_500)), at(2_000)));
}
