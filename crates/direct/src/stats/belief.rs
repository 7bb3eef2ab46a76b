//! Estimates an endpoint's load between its reports.
//!
//! A report describes one moment. The requests that it counted end one by one and others
//! replace them: after about the duration of a request it says little, and the mean of
//! the endpoint's reports says more. So an estimate comes with a standard deviation,
//! which keeps hundreds of instances that got the same report from all relying on it as
//! exact.

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};

/// The time in seconds over which the weight of a report in the mean falls to 1/e.
const REPORT_DECAY_SECONDS: f64 = 5.0;

/// Reports that are closer together than this, in seconds, have a lower weight, since
/// they count the same requests.
const REPORT_CORRELATION_SECONDS: f64 = 1.0;

/// The weight of the service's mean, as a number of an endpoint's own reports.
const PRIOR_WEIGHT: f64 = 1.0;

/// The duration of requests in seconds that is assumed before one has ended.
const DEFAULT_DURATION_SECONDS: f64 = 1.0;

/// The factor by which earlier requests count less whenever a request ends.
const DURATION_DECAY: f64 = 0.9;

/// The reported numbers of other instances' requests at an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportHistory {
    others: u32,
    at: Option<Moment>,
    sum: f64,
    weight: f64,
    // Whether it was idle when it was last heard of, and is used again.
    is_filling: bool,
}

/// The weighted sum of reports; adding up those of several endpoints gives their common
/// mean.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WeightedMean {
    sum: f64,
    weight: f64,
}

/// The estimated number of other instances' requests at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    /// Requests of other instances.
    pub(super) others: f64,
    /// The standard deviation of `others`.
    pub(super) std_dev: f64,
    /// How much of `others` is based on the endpoint's own reports rather than on other
    /// endpoints, 0 to 1.
    pub(super) known: f64,
    /// How many of the requests of other instances in the last report are left.
    pub(super) remaining: f64,
    /// How many more requests than `others` an endpoint that is used again may have got
    /// from instances that believe it to be idle.
    pub(super) filling: f64,
    /// How many requests of other instances are expected to have arrived since the last
    /// report; infinite if there is none.
    pub(super) arrivals: f64,
}

impl WeightedMean {
    /// Returns the weighted mean, or 0 without reports.
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
    /// Returns the history of an endpoint that was idle until now and is used again.
    pub(super) fn idle(others: u32, at: Moment) -> Self {
        let mut history = Self::default();
        history.add(others, at);
        history.is_filling = true;
        history
    }

    /// Adds the number of other instances' requests at a moment.
    pub(super) fn add(&mut self, others: u32, at: Moment) {
        if self.is_filling {
            // What it had while it was idle says nothing of what it usually has.
            *self = Self::default();
        }
        let gap = self.at.map_or(f64::INFINITY, |last| seconds(at, last));
        let decay = (-gap / REPORT_DECAY_SECONDS).exp();
        let gain = 1.0 - (-gap / REPORT_CORRELATION_SECONDS).exp();
        self.sum = self.sum * decay + gain * f64::from(others);
        self.weight = self.weight * decay + gain;
        self.others = others;
        self.at = self.at.max(Some(at));
    }

    /// Sets the number of other instances' requests at a moment, which says nothing of how
    /// many there usually are: only large numbers are recorded this way.
    pub(super) fn set_last(&mut self, others: u32, at: Moment) {
        let gap = self.at.map_or(f64::INFINITY, |last| seconds(at, last));
        let decay = (-gap / REPORT_DECAY_SECONDS).exp();
        self.sum *= decay;
        self.weight *= decay;
        self.others = others;
        self.at = self.at.max(Some(at));
    }

    /// Returns the number of other instances' requests in the last report.
    pub(super) const fn last_others(&self) -> u32 {
        self.others
    }

    /// Returns how many of these are left if the last report has this weight.
    pub(super) fn decayed_others(&self, weight: f64) -> u32 {
        // At most the reported number.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "0 to others"
        )]
        let remaining = (f64::from(self.others) * weight).round() as u32;
        remaining
    }

    /// Returns when the last report was made.
    pub(super) const fn last_at(&self) -> Option<Moment> {
        self.at
    }

    /// Returns the weighted sum of the reports as of `now`.
    pub(super) fn decayed_mean(&self, now: Moment) -> WeightedMean {
        let decay = (-self.age(now) / REPORT_DECAY_SECONDS).exp();
        WeightedMean {
            sum: self.sum * decay,
            weight: self.weight * decay,
        }
    }

    /// Returns the estimate at `now`, where requests last `mean_duration` seconds and the
    /// endpoints have `mean` requests of other instances on average.
    pub(super) fn estimate(&self, mean: f64, mean_duration: f64, now: Moment) -> Estimate {
        let recent = self.decayed_mean(now);
        let known = recent.weight / (recent.weight + PRIOR_WEIGHT);
        let mean_others = (recent.sum + PRIOR_WEIGHT * mean) / (recent.weight + PRIOR_WEIGHT);
        let remaining = (-self.age(now) / mean_duration).exp();
        // Requests arrive and end independently, so the variance of their number equals
        // its mean, less what is left of the reported requests.
        let variance = mean_others * (1.0 - remaining * remaining);
        let arrivals = if self.at.is_some() {
            mean * self.age(now) / mean_duration
        } else {
            f64::INFINITY
        };
        Estimate {
            others: f64::from(self.others) * remaining + mean_others * (1.0 - remaining),
            std_dev: variance.max(0.0).sqrt(),
            known: remaining + (1.0 - remaining) * known,
            remaining: f64::from(self.others) * remaining,
            filling: if self.is_filling {
                (mean - mean_others).max(0.0) * (1.0 - remaining)
            } else {
                0.0
            },
            arrivals,
        }
    }

    // Returns the seconds since the last report; infinite if there is none.
    fn age(&self, now: Moment) -> f64 {
        self.at.map_or(f64::INFINITY, |at| seconds(now, at))
    }
}

/// Statistics of the duration of requests at an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DurationStats {
    time: f64,
    squares: f64,
}

impl DurationStats {
    /// Adds a request that has ended.
    pub(super) fn add(&mut self, duration: Duration) {
        let duration = duration.as_secs_f64();
        self.time = self.time * DURATION_DECAY + duration;
        self.squares = self.squares * DURATION_DECAY + duration * duration;
    }
}

/// Returns the mean duration in seconds of the requests that run at a moment. Long
/// requests are more likely to be running, so they are weighted by their duration.
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

fn seconds(now: Moment, earlier: Moment) -> f64 {
    since(now, earlier).as_secs_f64()
}

#[cfg(test)]
mod tests;
