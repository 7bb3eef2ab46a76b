//! A line through the medians of observations.

use std::collections::{BTreeMap, VecDeque};

/// The observations that are kept in a bucket.
const BUCKET_SIZE: usize = 63;

/// Buckets with fewer observations are ignored if any bucket has this many.
const MIN_BUCKET: usize = 8;

/// A bucket that got none of this many latest observations is dropped: it may
/// be of an earlier version of the endpoints' software.
const MAX_BUCKET_AGE: u64 = 10_000;

/// The least ratio between the greatest and the smallest `x` from which a
/// slope is derived.
///
/// Medians are off by some percent. Over a narrower range, that would be most
/// of the slope.
const MIN_RANGE: f64 = 4.0;

/// A straight line, without negative parameters.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Coefficients {
    pub(super) base: f64,
    pub(super) slope: f64,
}

impl Coefficients {
    pub(super) fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// The line that is used if the range of `x` is too narrow to tell base and
/// slope apart.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fallback {
    /// One through the origin.
    Proportional,
    /// A level one.
    Level,
}

/// Observations of `y` at `x`, in a bucket for each power of two of `x`, and
/// the line through their medians.
///
/// The line is computed with each observation, since it is read far more
/// often: for each endpoint that a request may be sent to.
#[derive(Clone, Debug)]
pub(super) struct Line {
    fallback: Fallback,
    buckets: BTreeMap<u32, Bucket>,
    observations: u64,
    coefficients: Coefficients,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    points: VecDeque<(f64, f64)>,
    median: Median,
    latest: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Median {
    x: f64,
    y: f64,
    weight: f64,
}

impl Line {
    pub(super) const fn new(fallback: Fallback) -> Self {
        Self {
            fallback,
            buckets: BTreeMap::new(),
            observations: 0,
            coefficients: Coefficients {
                base: 0.0,
                slope: 0.0,
            },
        }
    }

    /// Records an observation; both values are positive and finite.
    pub(super) fn record(&mut self, x: f64, y: f64) {
        self.observations += 1;
        let latest = self.observations;
        let bucket = self.buckets.entry(bucket_of(x)).or_default();
        bucket.record(x, y);
        bucket.latest = latest;
        self.buckets
            .retain(|_, bucket| latest - bucket.latest < MAX_BUCKET_AGE);
        self.coefficients = fit(&self.medians(), self.fallback);
    }

    pub(super) const fn observations(&self) -> u64 {
        self.observations
    }

    pub(super) const fn coefficients(&self) -> Coefficients {
        self.coefficients
    }

    fn medians(&self) -> Vec<Median> {
        let full = |bucket: &&Bucket| bucket.points.len() >= MIN_BUCKET;
        let mut medians: Vec<Median> = self
            .buckets
            .values()
            .filter(full)
            .map(|bucket| bucket.median)
            .collect();
        if medians.is_empty() {
            medians.extend(self.buckets.values().map(|bucket| bucket.median));
        }
        medians
    }
}

impl Bucket {
    // The weight makes errors count in proportion to `y`; otherwise the
    // longest times alone would decide.
    fn record(&mut self, x: f64, y: f64) {
        if self.points.len() == BUCKET_SIZE {
            self.points.pop_front();
        }
        self.points.push_back((x, y));
        let x = median(self.points.iter().map(|(x, _)| *x));
        let y = median(self.points.iter().map(|(_, y)| *y));
        #[expect(clippy::cast_precision_loss, reason = "at most BUCKET_SIZE")]
        let weight = self.points.len() as f64 / (y * y);
        self.median = Median { x, y, weight };
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

// The exponent of the power of two at or below `x`, or 0 for smaller values.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "1 or more, and under 2^32"
)]
fn bucket_of(x: f64) -> u32 {
    (x.clamp(1.0, f64::from(u32::MAX)) as u32).ilog2()
}

// Weighted least squares, without negative parameters.
fn fit(medians: &[Median], fallback: Fallback) -> Coefficients {
    let smallest = medians.first().map_or(0.0, |median| median.x);
    let greatest = medians.last().map_or(0.0, |median| median.x);
    if greatest < MIN_RANGE * smallest {
        return match fallback {
            Fallback::Proportional => through_origin(medians),
            Fallback::Level => level(medians),
        };
    }
    let mean_x = mean(medians, |median| median.x);
    let mean_y = mean(medians, |median| median.y);
    let variance = mean(medians, |median| (median.x - mean_x).powi(2));
    let covariance = mean(medians, |median| (median.x - mean_x) * (median.y - mean_y));
    let slope = covariance / variance;
    let base = mean_y - slope * mean_x;
    if slope <= 0.0 {
        level(medians)
    } else if base < 0.0 {
        through_origin(medians)
    } else {
        Coefficients { base, slope }
    }
}

fn through_origin(medians: &[Median]) -> Coefficients {
    let products = mean(medians, |median| median.x * median.y);
    let squares = mean(medians, |median| median.x * median.x);
    Coefficients {
        base: 0.0,
        slope: products / squares,
    }
}

fn level(medians: &[Median]) -> Coefficients {
    Coefficients {
        base: mean(medians, |median| median.y),
        slope: 0.0,
    }
}

fn mean(medians: &[Median], value: impl Fn(&Median) -> f64) -> f64 {
    let weight: f64 = medians.iter().map(|median| median.weight).sum();
    let sum: f64 = medians.iter().map(|m| m.weight * value(m)).sum();
    sum / weight
}
