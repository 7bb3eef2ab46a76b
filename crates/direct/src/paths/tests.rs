use std::time::Duration;

use super::{FORGIVEN, LEFT, LONGEST, Paths, StallDetector};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn held_up(pauses: &[u64]) -> bool {
    let mut detector = StallDetector::default();
    pauses
        .iter()
        .any(|after| detector.observe_event(at(*after)))
}

/// A packet is lost. Its event comes with the resend, and those behind it, which
/// waited in the receiver's memory, with it.
#[test]
fn a_pause_with_a_burst_behind_it_is_the_ways() {
    assert!(held_up(&[25, 25, 210, 0, 1, 0, 12, 25]));
}

/// An engine reads a long prompt or is short of memory. Its streams stand still
/// and go on one event at a time; no way is to blame.
#[test]
fn a_pause_of_an_engine_is_not() {
    assert!(!held_up(&[25, 25, 400, 25, 24, 26, 25]));
    assert!(!held_up(&[25, 210, 0, 25, 25, 25]));
    assert!(!held_up(&[25, 90, 0, 0, 0, 25]));
}

#[test]
fn a_way_is_left_for_a_while_and_others_are_not() {
    let mut paths = Paths::default();
    assert!(paths.record_stall(7, at(0)));
    assert!(!paths.is_clear(7, at(10)) && paths.is_clear(8, at(10)));
    // What still comes over it says nothing new.
    assert!(!paths.record_stall(7, at(500)));
    assert!(paths.is_clear(7, LEFT));
}

/// A link turns lossy and well again every few seconds. Each time it would take
/// all prompts to other engines and back, so it is left for longer each time.
#[test]
fn a_way_that_is_no_better_is_left_for_longer() {
    let mut paths = Paths::default();
    let mut now = Duration::ZERO;
    let mut left = Vec::new();
    for _ in 0..5 {
        assert!(paths.record_stall(7, now));
        let mut time = Duration::ZERO;
        while !paths.is_clear(7, now + time) {
            time += at(100);
        }
        left.push(time);
        now += time;
        now += at(300);
    }
    assert_eq!(left[0], LEFT);
    assert_eq!(left[1], 2 * LEFT);
    assert!(left[2..].iter().all(|time| *time == LONGEST), "{left:?}");
    now += FORGIVEN;
    assert!(paths.record_stall(7, now));
    assert!(paths.is_clear(7, now + LEFT));
}
