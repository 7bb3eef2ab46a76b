//! What an endpoint's load is believed to be between its reports.
//!
//! A report tells of one moment. The requests that it counted end one by one and
//! others come in their place: after about the time that a request lasts it says
//! little, and what is usual at the endpoint says more. What is believed therefore
//! comes with how far it may be off, so that hundreds of instances that were told
//! the same don't all take it for the truth.

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};

/// The time in seconds over which reports count towards what is usual.
const REPORT_DECAY_SECONDS: f64 = 5.0;

/// Reports closer together than this, in seconds, count for less: they tell of the
/// same requests.
const MIN_REPORT_GAP_SECONDS: f64 = 1.0;

/// How many reports the mean of the service is worth, beside an endpoint's own.
const PRIOR_WEIGHT: f64 = 1.0;

/// How long a request lasts at an endpoint, in seconds, before one has ended.
const DEFAULT_DURATION_SECONDS: f64 = 1.0;

/// The part that an ended request keeps when the next one ends.
const DURATION_DECAY: f64 = 0.9;

/// What other instances have at an endpoint, by its reports.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportHistory {
    others: u32,
    at: Option<Moment>,
    sum: f64,
    weight: f64,
}

/// What reports of some endpoints come to; sums over them give their mean.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WeightedMean {
    sum: f64,
    weight: f64,
}

/// What others are believed to have at an endpoint now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    /// Requests of others.
    pub(super) others: f64,
    /// How far that may be off, as a standard deviation.
    pub(super) std_dev: f64,
    /// How much of it was reported rather than taken from other endpoints, 0 to 1.
    pub(super) known: f64,
}

impl WeightedMean {
    /// Returns what is usual at any of the endpoints.
    pub(super) fn mean(self) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            0.0
        }
    }
}

impl std::iter::Sum for WeightedMean {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::default(), |sum, one| Self {
            sum: sum.sum + one.sum,
            weight: sum.weight + one.weight,
        })
    }
}

impl ReportHistory {
    /// Takes in what others had at a moment.
    pub(super) fn add(&mut self, others: u32, at: Moment) {
        let gap = self.at.map_or(f64::INFINITY, |then| seconds(at, then));
        let keep = (-gap / REPORT_DECAY_SECONDS).exp();
        let gain = 1.0 - (-gap / MIN_REPORT_GAP_SECONDS).exp();
        self.sum = self.sum * keep + gain * f64::from(others);
        self.weight = self.weight * keep + gain;
        self.others = others;
        self.at = self.at.max(Some(at));
    }

    /// Returns what others had at the last report.
    pub(super) const fn last_others(&self) -> u32 {
        self.others
    }

    /// Returns how many of them are left where the last report counts this much.
    pub(super) fn decayed_others(&self, weight: f64) -> u32 {
        // No greater than what was reported.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "0 to others"
        )]
        let left = (f64::from(self.others) * weight).round() as u32;
        left
    }

    /// Returns when the last report was made.
    pub(super) const fn last_at(&self) -> Option<Moment> {
        self.at
    }

    /// Returns what the reports come to by now.
    pub(super) fn decayed_mean(&self, now: Moment) -> WeightedMean {
        let keep = (-self.age(now) / REPORT_DECAY_SECONDS).exp();
        WeightedMean {
            sum: self.sum * keep,
            weight: self.weight * keep,
        }
    }

    /// Returns what is believed where requests last this many seconds and endpoints
    /// have `mean` requests of others.
    pub(super) fn estimate(&self, mean: f64, mean_duration: f64, now: Moment) -> Estimate {
        let recent = self.decayed_mean(now);
        let known = recent.weight / (recent.weight + PRIOR_WEIGHT);
        let mean_others = (recent.sum + PRIOR_WEIGHT * mean) / (recent.weight + PRIOR_WEIGHT);
        let left = (-self.age(now) / mean_duration).exp();
        // Requests come and end independently: where as many are usual, their number
        // varies by its square root, less what is left of those that were reported.
        let variance = mean_others * (1.0 - left * left);
        Estimate {
            others: f64::from(self.others) * left + mean_others * (1.0 - left),
            std_dev: variance.max(0.0).sqrt(),
            known: left + (1.0 - left) * known,
        }
    }

    // Seconds since the last report; none is as old as can be.
    fn age(&self, now: Moment) -> f64 {
        self.at.map_or(f64::INFINITY, |at| seconds(now, at))
    }
}

/// How long requests lasted at an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DurationStats {
    time: f64,
    squares: f64,
}

impl DurationStats {
    /// Takes in a request that has ended.
    pub(super) fn add(&mut self, duration: Duration) {
        let duration = duration.as_secs_f64();
        self.time = self.time * DURATION_DECAY + duration;
        self.squares = self.squares * DURATION_DECAY + duration * duration;
    }
}

/// Returns how long the requests that run at a moment last on average, in seconds.
/// Long ones are met running for longer, so they count by their length.
pub(super) fn mean_duration(all: impl Iterator<Item = DurationStats>) -> f64 {
    let (time, squares) = all.fold((0.0, 0.0), |(time, squares), one| {
        (time + one.time, squares + one.squares)
    });
    if squares > 0.0 {
        squares / time
    } else {
        DEFAULT_DURATION_SECONDS
    }
}

fn seconds(now: Moment, then: Moment) -> f64 {
    since(now, then).as_secs_f64()
}

#[cfg(test)]
mod tests;
