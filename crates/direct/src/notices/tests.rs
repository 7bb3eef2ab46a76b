use std::time::Duration;

use super::{DOUBLINGS, LONGEST, Notice, Notices};
use crate::roster::EndpointIncarnation;

const fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn life() -> EndpointIncarnation {
    EndpointIncarnation {
        name: "e1".to_owned(),
        incarnation: 7,
    }
}

#[test]
fn leaving_is_handed_on_once_and_holds() {
    let mut notices = Notices::default();
    assert_eq!(notices.get(1, at(0)), None);
    assert!(notices.record_leaving(1, &life(), at(1)));
    assert!(!notices.record_leaving(1, &life(), at(2)));
    assert_eq!(notices.take_leaving(at(2)), [life()]);
    assert!(notices.take_leaving(at(3)).is_empty());
    assert_eq!(notices.get(1, at(3)), Some(Notice::Leaving));
    assert_eq!(notices.get(2, at(3)), None);
}

#[test]
fn what_was_heard_long_ago_is_forgotten() {
    let mut notices = Notices::default();
    notices.record_leaving(1, &life(), at(1));
    notices.record_leaving(2, &life(), at(40));
    drop(notices.take_leaving(at(70)));
    assert_eq!(notices.get(1, at(70)), None);
    assert_eq!(notices.get(2, at(70)), Some(Notice::Leaving));
}

const fn paused(until: u64) -> Notice {
    Notice::Paused { until: at(until) }
}

#[test]
fn a_pause_ends_with_the_first_answer_after_it() {
    let mut notices = Notices::default();
    notices.record_pause(1, at(3), at(10));
    assert_eq!(notices.get(1, at(12)), Some(paused(13)));
    assert_eq!(notices.get(1, at(13)), Some(Notice::Resuming));
    assert!(notices.record_response(1, at(14)));
    assert_eq!(notices.get(1, at(14)), None);
    assert!(!notices.record_response(1, at(15)));
}

/// Guards against a pause that ends early by the answer to a request which was under way
/// when it began.
#[test]
fn an_answer_within_a_pause_does_not_end_it() {
    let mut notices = Notices::default();
    notices.record_pause(1, at(3), at(10));
    assert!(!notices.record_response(1, at(11)));
    assert_eq!(notices.get(1, at(12)), Some(paused(13)));
}

/// Guards against a pause that a second refusal cuts short.
#[test]
fn of_two_pauses_the_later_end_counts() {
    let mut notices = Notices::default();
    notices.record_pause(1, at(10), at(0));
    notices.record_pause(1, at(1), at(2));
    assert_eq!(notices.get(1, at(5)), Some(paused(10)));
    notices.record_pause(1, at(10), at(5));
    assert_eq!(notices.get(1, at(12)), Some(paused(15)));
}

#[test]
fn who_refuses_again_after_a_pause_is_paused_again() {
    let mut notices = Notices::default();
    notices.record_pause(1, at(3), at(10));
    notices.record_pause(1, at(3), at(14));
    assert_eq!(notices.get(1, at(16)), Some(paused(17)));
}

/// Guards against an endpoint that is left out for ever by one absurd figure.
#[test]
fn no_pause_is_longer_than_the_longest() {
    let mut notices = Notices::default();
    notices.record_pause(1, Duration::MAX, at(1));
    assert_eq!(notices.get(1, at(1) + LONGEST), Some(Notice::Resuming));
}

#[test]
fn pauses_of_endpoints_that_get_nothing_any_more_are_forgotten() {
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
fn refusals_without_a_time_pause_for_longer_each_time() {
    let mut notices = Notices::default();
    let mut last = Duration::ZERO;
    for _ in 0..=DOUBLINGS {
        let pause = notices.record_refusal(1, at(10));
        assert!(pause > last);
        last = pause;
    }
    assert_eq!(notices.record_refusal(1, at(10)), last);
    assert!(last < at(2), "{last:?}");
}

/// Guards against an endpoint that is full now and then and is left for ever longer.
#[test]
fn an_answer_between_refusals_begins_anew() {
    let mut notices = Notices::default();
    let first = notices.record_refusal(1, at(10));
    assert!(notices.record_refusal(1, at(11)) > first);
    assert!(notices.record_response(1, at(12)));
    assert_eq!(notices.record_refusal(1, at(13)), first);
}

#[test]
fn a_refusal_without_a_time_does_not_shorten_a_pause() {
    let mut notices = Notices::default();
    notices.record_pause(1, at(3), at(10));
    notices.record_refusal(1, at(11));
    assert_eq!(notices.get(1, at(12)), Some(paused(13)));
}
