//! What the router's three ports answer: callers, peers and operators.

pub(crate) mod callers;
pub(crate) mod operators;
pub(crate) mod peers;

use std::time::Duration;

use godwitpost_process::serve::Limits;

/// How long a connection may take to send its next head.
///
/// hyper counts the time that a connection is idle, too. Balancers keep idle
/// connections for up to a minute; one that is closed under them just as they
/// send an order leaves its fate unknown, so this is longer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(75);

/// Returns the limits of a port whose heads have at most `head_bytes`.
pub(crate) const fn limits(head_bytes: usize) -> Limits {
    Limits {
        head_within: None,
        head_bytes,
        head_time: HEAD_TIMEOUT,
    }
}
