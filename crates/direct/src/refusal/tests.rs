use std::time::Duration;

use godwitpost_types::outcome::Outcome;

use super::Reason;

const ALL: [Reason; 18] = [
    Reason::Malformed,
    Reason::HeadTooLarge,
    Reason::BodyTooLarge,
    Reason::BodyTimeout,
    Reason::NoRoute,
    Reason::UnknownKey,
    Reason::Starting,
    Reason::Unconfirmed,
    Reason::NoEndpoint,
    Reason::Full,
    Reason::Refused,
    Reason::Unreachable,
    Reason::Overloaded,
    Reason::Expired,
    Reason::Timeout,
    Reason::Broken,
    Reason::Held {
        left: Duration::from_secs(30),
    },
    Reason::Paused {
        left: Duration::from_secs(3),
    },
];

/// A caller sends an order again after 503 because it promises that nothing
/// ran. Said of an order whose fate is unknown, it would bill twice.
#[test]
fn a_promise_is_made_only_of_what_has_not_run() {
    for reason in ALL {
        let promises = matches!(reason.status().as_u16(), 408 | 421 | 429 | 503);
        assert!(!promises || reason.outcome() == Outcome::NotRun, "{reason}");
    }
}

#[test]
fn whoever_may_come_back_is_told_when() {
    for reason in ALL {
        let comes_back = reason.status().as_u16() == 503;
        assert_eq!(comes_back, reason.retry_after().is_some(), "{reason}");
    }
}

/// All instances lost power and are back after a second. An order that met one
/// of them before it had its configuration was to wait for 0.9 s, and 600 ms are
/// all that its caller has: it came back with a third of that left, or never.
#[test]
fn orders_come_back_to_an_instance_that_starts_within_their_time() {
    let patience = Duration::from_millis(600);
    for reason in [Reason::Starting, Reason::Unconfirmed] {
        let wait = reason.retry_after().expect("a time to come back");
        let longest = wait.mul_f64(super::JITTER.end);
        assert!(longest <= patience / 3, "{reason}: {longest:?}");
        // Informed within 30 ms of its start, it must not be asked in vain.
        assert!(wait.mul_f64(super::JITTER.start) >= Duration::from_millis(100));
    }
}
