//! The one representation of time in decision logic.
//!
//! Decision logic never reads a clock: each event carries the [`Moment`] it
//! happened at. The router derives moments from the system clock once at its
//! start and from the monotonic clock after that, so they never go back.

use std::time::Duration;

/// Time since the Unix epoch, on the clock of the instance that took it.
pub type Moment = Duration;

/// Returns how long after `earlier` the moment `later` is, zero if before.
#[must_use]
pub fn since(later: Moment, earlier: Moment) -> Duration {
    later.saturating_sub(earlier)
}
