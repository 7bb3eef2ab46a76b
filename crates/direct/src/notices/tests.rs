use std::time::Duration;

use super::{MAX_PAUSE, MAX_PAUSE_DOUBLINGS, Notice, Notices};
use crate::roster::EndpointIncarnation;

const fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn incarnation() -> EndpointIncarnation {
    EndpointIncarnation {
        name: "e1".to_owned(),
        incarnation: 7,
    }
}

#[test]
fn leaving_is_passed_on_once_and_retained() {
    let mut notices = Notices::default();
    assert_eq!(notices.get(1, at(0)), None);
    assert!(notices.record_leaving(1, &incarnation(), at(1)));
    assert!(!notices.record_leaving(1, &incarnation(), at(2)));
    assert_eq!(notices.take_leaving(at(2)), [incarnation()]);
    assert!(notices.take_leaving(at(3)).is_empty());
    assert_eq!(notices.get(1, at(3)), Some(Notice::Leaving));
    assert_eq!(notices.get(2, at(3)), None);
}

#[test]
fn old_notices_are_dropped() {
    let mut notices = Notices::default();
    notices.record_leaving(1, &incarnation(), at(1));
    notices.record_leaving(2, &incarnation(), at(40));
    drop(notices.take_leaving(at(70)));
    assert_eq!(notices.get(1, at(70)), None);
    assert_eq!(notices.get(2, at(70)), Some(Notice::Leaving));
}

const fn paused(until: u64) -> Notice {
    Notice::Paused { until: at(until) }
}

#[test]
fn pause_ends_with_the_first_response_after_it() {
    let mut notices = Notices::default();
    notices.record_pause(1, at(3), at(10));
    assert_eq!(notices.get(1, at(12)), Some(paused(13)));
    assert_eq!(notices.get(1, at(13)), Some(Notice::Resuming));
    assert!(notices.record_response(1, at(14)));
    assert_eq!(notices.get(1, at(14)), None);
    assert!(!notices.record_response(1, at(15)));
}

/// Guards against a pause that is ended early by the response to a request that was
/// already in flight when the pause began.
#[test]
fn response_within_a_pause_does_not_end_it() {
    let mut notices = Notices::default();
    notices.record_pause(1, at(3), at(10));
    assert!(!notices.record_response(1, at(11)));
    assert_eq!(notices.get(1, at(12)), Some(paused(13)));
}

/// Guards against a pause that a second refusal shortens.
#[test]
fn later_end_of_two_pauses_applies() {
    let mut notices = Notices::default();
    notices.record_pause(1, at(10), at(0));
    notices.record_pause(1, at(1), at(2));
    assert_eq!(notices.get(1, at(5)), Some(paused(10)));
    notices.record_pause(1, at(10), at(5));
    assert_eq!(notices.get(1, at(12)), Some(paused(15)));
}

#[test]
fn refusal_after_a_pause_starts_another() {
    let mut notices = Notices::default();
    notices.record_pause(1, at(3), at(10));
    notices.record_pause(1, at(3), at(14));
    assert_eq!(notices.get(1, at(16)), Some(paused(17)));
}

/// Guards against an endpoint that is never used again because of one absurd value.
#[test]
fn pause_is_limited() {
    let mut notices = Notices::default();
    notices.record_pause(1, Duration::MAX, at(1));
    assert_eq!(notices.get(1, at(1) + MAX_PAUSE), Some(Notice::Resuming));
}

#[test]
fn old_pauses_are_dropped() {
    let mut notices = Notices::default();
    notices.record_pause(1, at(3), at(10));
    assert_eq!(notices.paused_count(at(12)), 1);
    drop(notices.take_leaving(at(12)));
    assert_eq!(notices.get(1, at(12)), Some(paused(13)));
    assert_eq!(notices.paused_count(at(13)), 0);
    drop(notices.take_leaving(at(80)));
    assert_eq!(notices.get(1, at(80)), None);
}

#[test]
fn repeated_refusals_without_a_time_lengthen_the_pause() {
    let mut notices = Notices::default();
    let mut last = Duration::ZERO;
    for _ in 0..=MAX_PAUSE_DOUBLINGS {
        let pause = notices.record_refusal(1, at(10));
        assert!(pause > last);
        last = pause;
    }
    assert_eq!(notices.record_refusal(1, at(10)), last);
    assert!(last < at(2), "{last:?}");
}

/// Guards against ever longer pauses of an endpoint that is full now and then.
#[test]
fn response_between_refusals_resets_the_pause() {
    let mut notices = Notices::default();
    let first = notices.record_refusal(1, at(10));
    assert!(notices.record_refusal(1, at(11)) > first);
    assert!(notices.record_response(1, at(12)));
    assert_eq!(notices.record_refusal(1, at(13)), first);
}

#[test]
fn refusal_without_a_time_does_not_shorten_a_pause() {
    let mut notices = Notices::default();
    notices.record_pause(1, at(3), at(10));
    notices.record_refusal(1, at(11));
    assert_eq!(notices.get(1, at(12)), Some(paused(13)));
}
