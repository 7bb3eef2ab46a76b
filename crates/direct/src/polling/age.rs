//! Bounds on the age of the state received from peers.
//!
//! An instance must act on an update within a bound. The bound covers the age
//! of the update at the peer, the wait for the next answer, the time in which
//! that answer may fail to arrive, and a read of the log after it.

use std::time::Duration;

/// The longest time that a poll waits for changes. State that is only sent in
/// answers to polls, such as loads, is sent at least this often.
pub const MAX_POLL_WAIT: Duration = Duration::from_millis(1_400);

/// The shortest time that a poll waits while loads are exchanged more often.
const MIN_POLL_WAIT: Duration = Duration::from_millis(400);

/// The shortest time between two polls, of all instances together, that the
/// polled instances can bear while loads are exchanged more often.
const MIN_POLL_SPACING: Duration = Duration::from_millis(5);

/// The part of the bound reserved for reading the log again and for a moment
/// without the processor.
pub const RESERVED_TIME: Duration = Duration::from_millis(150);

/// How long an answer may take beyond the wait. Machines are 2 ms apart, and a
/// small one may be without the processor for a tenth of a second.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// The lowest limit on the age of a peer's state, above which the peer counts
/// as having lost the log. A peer that is a seed is confirmed every half
/// second, by a read sent as long ago.
pub const MIN_STALE_AGE: Duration = Duration::from_millis(1_200);

/// Returns how long a poll waits for updates that have to be acted on within
/// `bound`.
///
/// The wait limits how old the state known here can get while the polled peer
/// loses the log or stops answering: that age is the sum of an answer at its
/// age limit, this wait and the timeout.
#[must_use]
pub fn poll_wait(bound: Duration) -> Duration {
    bound
        .saturating_sub(RESERVED_TIME)
        .saturating_sub(MIN_STALE_AGE)
        .saturating_sub(ANSWER_TIMEOUT)
        .min(MAX_POLL_WAIT)
}

/// Returns how long a poll waits at most while a part of a service is evacuated
/// or warming up, given the number of polling instances.
///
/// The rest of the service then has a load above the mean, and so less room for
/// load that an instance doesn't know of. With loads exchanged only as often as
/// usual, endpoints that are the home of many prefixes exceed the load bound
/// before any instance learns of it.
#[must_use]
pub fn poll_wait_at_reduced_service(instances: u32) -> Duration {
    (MIN_POLL_SPACING * instances).clamp(MIN_POLL_WAIT, MAX_POLL_WAIT)
}

/// Returns the age of a peer's state above which the peer counts as having lost
/// the log, where updates have to be acted on within `bound`. This is the whole
/// time that the wait leaves of the bound.
///
/// A log whose answers are slow or get lost makes the known state older, but
/// not wrong. If the limit were always the minimum, all instances would leave
/// their peers just when the log is in trouble, and hundreds of them would turn
/// to the log.
#[must_use]
pub fn max_age(bound: Duration) -> Duration {
    bound
        .saturating_sub(RESERVED_TIME)
        .saturating_sub(poll_wait(bound))
        .saturating_sub(ANSWER_TIMEOUT)
        .max(MIN_STALE_AGE)
}

/// Returns how long polling another peer may take with state of this age, which
/// has to be acted on within `bound`, before the log has to be read.
#[must_use]
pub fn remaining_time(bound: Duration, age: Duration) -> Duration {
    bound.saturating_sub(RESERVED_TIME).saturating_sub(age)
}
