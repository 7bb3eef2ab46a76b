use std::time::Duration;

use godwitpost_types::outcome::Outcome;

use super::Reason;

const ALL: [Reason; 17] = [
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
