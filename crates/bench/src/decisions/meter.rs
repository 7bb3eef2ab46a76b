//! What a run is judged by.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_decide::refusal::Reason;
use godwitpost_types::clock::since;
use hdrhistogram::Histogram;

use super::size::Size;

/// A request's facts and the grant in `MessagePack`, with an HTTP head each,
/// and the word that it ended: 180, 60 and 40 bytes and three heads of 90.
const GRANT_BYTES: u64 = 550;

/// What a run is judged by.
#[derive(Debug)]
pub struct Meter {
    /// Prompt tokens that an earlier turn may have left in a cache.
    pub reusable: u64,
    /// Prompt tokens that were found in a cache.
    pub reused: u64,
    /// The greatest load over mean of any engine at any instant.
    pub peak: f64,
    /// Instants at which skew was taken.
    pub instants: u64,
    /// Instants at which an engine was above the bound.
    pub over: u64,
    /// Queueing delays, in microseconds, of workspaces that don't surge:
    /// outside and during the surge.
    pub delays: [Histogram<u64>; 2],
    /// Requests that were dispatched.
    pub dispatched: u64,
    /// Requests that were refused, by reason.
    pub refused: BTreeMap<Reason, u64>,
    /// Requests of workspaces that don't surge that were refused.
    pub innocent: u64,
    /// Bytes between instances that are not a request or its answer.
    pub control: u64,
    /// Forwards between owners after the first.
    pub spills: u64,
    /// Requests that waited.
    pub waited: u64,
}

impl Meter {
    /// Returns a meter with nothing on it.
    ///
    /// # Panics
    ///
    /// Panics if the histogram's precision is out of range, which it is not.
    #[must_use]
    pub fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are in range");
        Self {
            reusable: 0,
            reused: 0,
            peak: 0.0,
            instants: 0,
            over: 0,
            delays: [histogram(), histogram()],
            dispatched: 0,
            refused: BTreeMap::new(),
            innocent: 0,
            control: 0,
            spills: 0,
            waited: 0,
        }
    }

    /// Notes the skew of a pool at an instant.
    pub fn skew(&mut self, ratio: f64, bound: f64) {
        self.instants += 1;
        self.peak = self.peak.max(ratio);
        // A millionth above is the rounding of the division.
        if ratio > bound * 1.000_001 {
            self.over += 1;
        }
    }

    /// Notes a queueing delay.
    pub fn delay(&mut self, surge: bool, delay: Duration) {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.delays[usize::from(surge)].saturating_record(micros);
    }

    /// Returns the share of reusable prompt tokens that was reused.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "far under 2^52")]
    pub fn reuse(&self) -> f64 {
        self.reused as f64 / self.reusable.max(1) as f64
    }

    /// Returns the share of instants above the bound.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "far under 2^52")]
    pub fn over_share(&self) -> f64 {
        self.over as f64 / self.instants.max(1) as f64
    }

    /// Returns the control bytes of an instance a second.
    #[must_use]
    pub fn bytes(&self, size: &Size) -> f64 {
        per_second(self.control, size)
    }

    /// Returns what asking the owner for a grant and sending the request to
    /// the endpoint directly would cost an instance a second.
    #[must_use]
    pub fn grants(&self, size: &Size) -> f64 {
        per_second(self.dispatched * GRANT_BYTES, size)
    }

    /// Returns the forwards of a request between owners after the first.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "far under 2^52")]
    pub fn forwards(&self) -> f64 {
        self.spills as f64 / self.dispatched.max(1) as f64
    }

    /// Returns the 99th percentile of delays in milliseconds.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "far under 2^52")]
    pub fn p99(&self, surge: bool) -> f64 {
        self.delays[usize::from(surge)].value_at_quantile(0.99) as f64 / 1000.0
    }
}

#[expect(clippy::cast_precision_loss, reason = "far under 2^52")]
fn per_second(bytes: u64, size: &Size) -> f64 {
    let seconds = since(size.time, size.warm).as_secs_f64();
    bytes as f64 / seconds / size.instances as f64
}

impl Default for Meter {
    fn default() -> Self {
        Self::new()
    }
}
