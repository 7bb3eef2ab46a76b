//! A rate limit on the appends of one instance.
//!
//! The log accepts several hundred appends per second from the whole fleet. Each
//! instance limits itself to its share, so no coordination is needed and a fault
//! on one can't starve the others. Slots are assigned in order at fixed
//! intervals, with a small burst.

#[cfg(test)]
mod tests;

use std::time::Duration;

use godwitpost_types::clock::Moment;

/// A rate limiter for appends.
#[derive(Clone, Debug)]
pub struct Budget {
    interval: Duration,
    max_advance: Duration,
    // When the next slot is due without a burst.
    next: Moment,
}

impl Budget {
    /// Creates a budget of `rate` appends per second. Up to `burst` of them may be
    /// made at once after an idle period.
    ///
    /// # Panics
    ///
    /// Panics if the rate isn't above zero or the burst is zero.
    #[must_use]
    pub fn new(rate: f64, burst: u32) -> Self {
        assert!(rate > 0.0, "a budget needs a rate above zero");
        assert!(burst > 0, "a budget needs a burst of one at least");
        let interval = Duration::from_secs_f64(1.0 / rate);
        Self {
            interval,
            max_advance: interval * (burst - 1),
            next: Moment::ZERO,
        }
    }

    /// Reserves the next slot if it is due by `deadline`, and returns its moment.
    pub fn reserve(&mut self, now: Moment, deadline: Moment) -> Option<Moment> {
        let next = self.next.max(now);
        let slot = next.saturating_sub(self.max_advance).max(now);
        if slot > deadline {
            return None;
        }
        self.next = next + self.interval;
        Some(slot)
    }
}
