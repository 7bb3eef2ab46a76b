//! How slow one endpoint is lately, by its reports.

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};

/// The time constant of the exponential decay of reports.
///
/// Endpoints are slow for 600 ms out of 4 s, so this averages over more than
/// one of these periods.
const TIME_CONSTANT: Duration = Duration::from_secs(5);

/// The longest time that one report stands for.
///
/// A slow period lasts some 600 ms, and a report is at a random moment of it.
const REPORT_TIME: Duration = Duration::from_millis(250);

/// The time for which the usual pace counts in the mean.
///
/// Without it, a single report would be the whole estimate.
const USUAL_TIME: Duration = Duration::from_secs(2);

const USUAL_WEIGHT: f64 = USUAL_TIME.as_secs_f64();

/// The factor by which work takes longer while other programs of a machine
/// are busy. A report of more counts as this one.
pub const SLOW_FACTOR: f64 = 2.5;

/// The greatest pace that is expected.
///
/// Halfway from 1 to [`SLOW_FACTOR`], so that [`Pace::draw`] is at least as
/// often the usual pace as the slow one.
pub const MAX_PACE: f64 = 1.75;

/// The factor by which work at one endpoint takes longer than usual; 1 is
/// usual.
///
/// The estimate is the mean of what was reported over some seconds, weighted
/// by the time that each report stands for. It returns to 1 as reports age.
/// Reports of work that is faster than usual balance slower ones, yet the
/// estimate is never below 1: an endpoint must not attract the requests of
/// all instances by being fast for a moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    weight: f64,
    sum: f64,
    square_sum: f64,
    updated: Option<Moment>,
}

impl Pace {
    /// Records a factor that held at the moment `now`, by this instance's
    /// clock; returns whether it was a usable number.
    ///
    /// A factor that isn't later than the latest one is ignored.
    pub fn add(&mut self, factor: f64, now: Moment) -> bool {
        if !factor.is_finite() || factor <= 0.0 {
            return false;
        }
        if self.updated.is_none_or(|updated| now > updated) {
            self.record(factor.min(SLOW_FACTOR), now);
        }
        true
    }

    /// Returns the expected factor, 1 to [`MAX_PACE`].
    ///
    /// It suits expected times, such as those for admission. Endpoints are
    /// compared by [`Pace::draw`].
    #[must_use]
    pub fn expected(&self, now: Moment) -> f64 {
        self.mean(now).clamp(1.0, MAX_PACE)
    }

    /// Returns the standard deviation of the factor around its mean.
    #[must_use]
    pub fn spread(&self, now: Moment) -> f64 {
        let kept = self.kept(now);
        let weight = self.weight * kept + USUAL_WEIGHT;
        let mean_square = (self.square_sum * kept + USUAL_WEIGHT) / weight;
        let mean = self.mean(now);
        (mean_square - mean * mean).max(0.0).sqrt()
    }

    /// Returns the factor to compare endpoints by in one decision: 1 or
    /// [`SLOW_FACTOR`], with a mean of [`Pace::expected`].
    ///
    /// `unit` is drawn evenly from 0 to 1 for each endpoint and decision. If
    /// instances that have the same reports all compared by the mean, all
    /// would choose the same endpoint until its load is heard of. With draws,
    /// each endpoint takes part in at least half of the decisions, so pace
    /// alone gives none more than twice an even share.
    #[must_use]
    pub fn draw(&self, now: Moment, unit: f64) -> f64 {
        let slow = (self.expected(now) - 1.0) / (SLOW_FACTOR - 1.0);
        if unit < slow { SLOW_FACTOR } else { 1.0 }
    }

    fn record(&mut self, factor: f64, now: Moment) {
        let elapsed = self.updated.map_or(REPORT_TIME, |then| since(now, then));
        let weight = elapsed.min(REPORT_TIME).as_secs_f64();
        let kept = self.kept(now);
        self.weight = self.weight * kept + weight;
        self.sum = self.sum * kept + weight * factor;
        self.square_sum = self.square_sum * kept + weight * factor * factor;
        self.updated = Some(now);
    }

    fn mean(&self, now: Moment) -> f64 {
        let kept = self.kept(now);
        (self.sum * kept + USUAL_WEIGHT) / (self.weight * kept + USUAL_WEIGHT)
    }

    fn kept(&self, now: Moment) -> f64 {
        let age = self.updated.map_or(Duration::ZERO, |then| since(now, then));
        (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

#[cfg(test)]
mod tests;
