//! The representation of time in decision logic.
//!
//! Decision logic never reads a clock; each event carries the [`Moment`] at which
//! it happened. The router reads the system clock once at its start and derives
//! later moments from the monotonic clock, so they never go backwards.

use std::time::Duration;

/// Time since the Unix epoch, on the clock of the instance that measured it.
pub type Moment = Duration;

/// Returns the time from `earlier` to `later`, or zero if `later` is before it.
#[must_use]
pub fn since(later: Moment, earlier: Moment) -> Duration {
    later.saturating_sub(earlier)
}
