use std::time::Duration;

use godwitpost_types::outcome::Outcome;

use super::Reason;

const ALL: [Reason; 20] = [
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
    Reason::UnknownOrigin { left: None },
    Reason::UnknownOrigin {
        left: Some(Duration::ZERO),
    },
];

/// Guards against a status that promises that nothing ran for a request of unknown
/// outcome: the caller retries an order after 503, which would bill it twice.
#[test]
fn not_run_statuses_have_the_not_run_outcome() {
    for reason in ALL {
        let claims_not_run = matches!(reason.status().as_u16(), 408 | 421 | 429 | 503);
        assert!(
            !claims_not_run || reason.outcome() == Outcome::NotRun,
            "{reason}"
        );
    }
}

#[test]
fn every_503_has_a_retry_delay() {
    for reason in ALL {
        let may_retry = reason.status().as_u16() == 503;
        assert_eq!(may_retry, reason.retry_after().is_some(), "{reason}");
    }
}

/// Guards against delays that are too long for orders, whose callers wait 600 ms. After a
/// power loss of all instances, a delay of 0.9 s at an instance without configuration
/// left an order a third of that time, or none.
#[test]
fn retry_delay_of_a_starting_instance_fits_an_order() {
    let order_timeout = Duration::from_millis(600);
    for reason in [Reason::Starting, Reason::Unconfirmed] {
        let wait = reason.retry_after().expect("a retry delay");
        let longest = wait.mul_f64(super::RETRY_JITTER.end);
        assert!(longest <= order_timeout / 3, "{reason}: {longest:?}");
        // An instance is ready within 30 ms of its start, so an earlier retry would be in
        // vain.
        assert!(wait.mul_f64(super::RETRY_JITTER.start) >= Duration::from_millis(100));
    }
}
