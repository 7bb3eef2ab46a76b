//! The appends a second that one instance may spend.
//!
//! The log takes several hundred appends a second from the whole fleet. Each
//! instance holds to its share by itself, so no agreement is needed and a
//! fault on one can't starve the others. Turns are handed out in order, as
//! moments on a grid, with a small burst.

#[cfg(test)]
mod tests;

use std::time::Duration;

use godwitpost_types::clock::Moment;

/// A budget of appends.
#[derive(Clone, Debug)]
pub struct Budget {
    interval: Duration,
    max_advance: Duration,
    // When the next turn falls due if nothing was saved up.
    next: Moment,
}

impl Budget {
    /// Makes a budget of `rate` appends a second; `burst` of them may go at
    /// once after a quiet time.
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

    /// Takes the next turn if it comes by `deadline`, and returns its moment.
    pub fn reserve(&mut self, now: Moment, deadline: Moment) -> Option<Moment> {
        let next = self.next.max(now);
        let turn = next.saturating_sub(self.max_advance).max(now);
        if turn > deadline {
            return None;
        }
        self.next = next + self.interval;
        Some(turn)
    }
}
