//! Moments from the machine's clocks.
//!
//! The system clock is read once; moments after that come from the monotonic
//! clock, so a correction of the system clock never makes time go back.

use std::time::{Duration, SystemTime};

use rustix::time::{ClockId, clock_gettime};

use godwitpost_types::clock::Moment;
use tokio::time::Instant;

/// A clock that never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Moment,
    instant: Instant,
}

impl Clock {
    /// Starts a clock at the system's present time.
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

    /// Starts a clock that says `start` now.
    #[must_use]
    pub fn start_at(start: Moment) -> Self {
        Self {
            start,
            instant: Instant::now(),
        }
    }

    /// Returns the present moment.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.start + self.instant.elapsed()
    }

    /// Returns the instant at which this clock will say `moment`.
    #[must_use]
    pub fn instant(&self, moment: Moment) -> Instant {
        self.instant + moment.saturating_sub(self.start)
    }
}

/// Returns the time since the machine booted, suspended time included.
///
/// The monotonic clock of [`Clock`] stands still while a machine is suspended,
/// and the system clock may jump either way. Whoever vouches for something for
/// so many seconds, as a lease does, must count the time that it slept.
#[must_use]
pub fn boot_time() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    // Neither is negative on a clock that starts at zero.
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
