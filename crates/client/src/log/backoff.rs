//! Pauses between tries, which grow and are spread at random.
//!
//! After an outage of the log every instance of the fleet tries again. Pauses
//! drawn from the whole interval spread them; doubling keeps the sum of tries
//! during an outage small.

#[cfg(test)]
mod tests;

use std::time::Duration;

use rand::{Rng, RngExt as _};

/// The growing pauses of one caller.
#[derive(Clone, Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Makes pauses between `least` and `most`.
    #[must_use]
    pub const fn new(min: Duration, max: Duration) -> Self {
        Self {
            min,
            max,
            failures: 0,
        }
    }

    /// Draws the pause after one more failure.
    ///
    /// It lies between the least pause and twice that for each failure in a
    /// row, and never above the most.
    pub fn next_pause(&mut self, random: &mut impl Rng) -> Duration {
        self.failures = self.failures.saturating_add(1);
        let doubled = 2_u32.saturating_pow(self.failures);
        let ceiling = self.min.saturating_mul(doubled).min(self.max);
        let spread = ceiling.saturating_sub(self.min);
        self.min + spread.mul_f64(random.random::<f64>())
    }

    /// Starts over after a success.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }
}
