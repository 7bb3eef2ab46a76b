//! Exponential backoff with random jitter.
//!
//! After an outage of the log every instance of the fleet retries. Drawing each
//! pause from the whole interval spreads the retries, and doubling the interval
//! limits their number during an outage.

#[cfg(test)]
mod tests;

use std::time::Duration;

use rand::{Rng, RngExt as _};

/// The backoff of one caller.
#[derive(Clone, Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff with pauses between `min` and `max`.
    #[must_use]
    pub const fn new(min: Duration, max: Duration) -> Self {
        Self {
            min,
            max,
            failures: 0,
        }
    }

    /// Draws the pause after another failure.
    ///
    /// It is at least the minimum. Its upper limit is the minimum doubled for
    /// each consecutive failure, but never more than the maximum.
    pub fn next_pause(&mut self, random: &mut impl Rng) -> Duration {
        self.failures = self.failures.saturating_add(1);
        let doubled = 2_u32.saturating_pow(self.failures);
        let ceiling = self.min.saturating_mul(doubled).min(self.max);
        let spread = ceiling.saturating_sub(self.min);
        self.min + spread.mul_f64(random.random::<f64>())
    }

    /// Restarts from the minimum after a success.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }
}
