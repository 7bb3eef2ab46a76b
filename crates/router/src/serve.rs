//! Request handlers of the router's three ports: callers, peers and operators.

pub(crate) mod callers;
pub(crate) mod operators;
pub(crate) mod peers;

use std::time::Duration;

use godwitpost_process::serve::Limits;

/// Timeout of reading a request's head.
///
/// hyper includes the time that a connection is idle. Balancers keep idle
/// connections for up to a minute. If the router closed one just as a balancer
/// sends an order on it, the order's outcome would be unknown; so this is longer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(75);

/// Returns the limits of a port that accepts heads of up to `head_bytes`.
pub(crate) const fn limits(head_bytes: usize) -> Limits {
    Limits {
        head_timeout: None,
        intake_wait: None,
        slow_clients: None,
        head_bytes,
        head_time: HEAD_TIMEOUT,
    }
}
