//! A monotonic clock that returns [`Moment`]s.
//!
//! The system clock is read once at the start. Later moments are derived from
//! the monotonic clock, so adjusting the system clock never makes time go
//! backwards.

use std::time::{Duration, SystemTime};

use rustix::time::{ClockId, clock_gettime};

use godwitpost_types::clock::Moment;
use tokio::time::Instant;

/// A clock that never goes backwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Moment,
    instant: Instant,
}

impl Clock {
    /// Starts a clock at the current system time.
    ///
    /// A system clock before 1970 counts as 1970.
    #[must_use]
    pub fn start() -> Self {
        Self::start_at(
            SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or(Duration::ZERO),
        )
    }

    /// Starts a clock whose current time is `start`.
    #[must_use]
    pub fn start_at(start: Moment) -> Self {
        Self {
            start,
            instant: Instant::now(),
        }
    }

    /// Returns the current moment.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.start + self.instant.elapsed()
    }

    /// Returns the instant at which this clock reaches `moment`.
    #[must_use]
    pub fn instant(&self, moment: Moment) -> Instant {
        self.instant + moment.saturating_sub(self.start)
    }
}

/// Returns the time since the machine booted, suspended time included.
///
/// The monotonic clock of [`Clock`] stops while the machine is suspended, and
/// the system clock may jump in either direction. Validity periods such as
/// leases must include the time spent suspended.
#[must_use]
pub fn boot_time() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    // Neither value is negative, because the clock starts at zero.
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
