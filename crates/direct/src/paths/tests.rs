use std::time::Duration;

use super::{MAX_AVOIDANCE, MIN_AVOIDANCE, Paths, STALL_MEMORY, StallDetector};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn is_stalled(pauses: &[u64]) -> bool {
    let mut detector = StallDetector::default();
    pauses
        .iter()
        .any(|interval| detector.observe_event(at(*interval)))
}

/// Guards against missing a lost packet. Its event arrives with the resend, together with
/// those behind it, which waited in the receiver's buffer.
#[test]
fn pause_followed_by_a_burst_is_a_stall() {
    assert!(is_stalled(&[25, 25, 210, 0, 1, 0, 12, 25]));
}

/// Guards against blaming the path for an engine that reads a long prompt or is short of
/// memory. Its streams pause and continue one event at a time.
#[test]
fn pause_of_an_engine_is_not_a_stall() {
    assert!(!is_stalled(&[25, 25, 400, 25, 24, 26, 25]));
    assert!(!is_stalled(&[25, 210, 0, 25, 25, 25]));
    assert!(!is_stalled(&[25, 90, 0, 0, 0, 25]));
}

#[test]
fn only_the_stalled_path_is_avoided() {
    let mut paths = Paths::default();
    assert!(paths.record_stall(7, at(0)));
    assert!(!paths.is_clear(7, at(10)) && paths.is_clear(8, at(10)));
    // A response that was already on the path says nothing new.
    assert!(!paths.record_stall(7, at(500)));
    assert!(paths.is_clear(7, MIN_AVOIDANCE));
}

/// Guards against moving all prompts to other engines and back each time that a link
/// alternates between lossy and healthy every few seconds. It is avoided for longer each
/// time.
#[test]
fn path_that_keeps_stalling_is_avoided_for_longer() {
    let mut paths = Paths::default();
    let mut now = Duration::ZERO;
    let mut avoided = Vec::new();
    for _ in 0..5 {
        assert!(paths.record_stall(7, now));
        let mut time = Duration::ZERO;
        while !paths.is_clear(7, now + time) {
            time += at(100);
        }
        avoided.push(time);
        now += time;
        now += at(300);
    }
    assert_eq!(avoided[0], MIN_AVOIDANCE);
    assert_eq!(avoided[1], 2 * MIN_AVOIDANCE);
    assert!(
        avoided[2..].iter().all(|time| *time == MAX_AVOIDANCE),
        "{avoided:?}"
    );
    now += STALL_MEMORY;
    assert!(paths.record_stall(7, now));
    assert!(paths.is_clear(7, now + MIN_AVOIDANCE));
}
