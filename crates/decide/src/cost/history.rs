//! Decayed counts of lengths and of the errors of hints.

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};

use super::bucket::{self, COUNT};
use super::hint::{self, LEVELS, RATIOS};
use super::{HALF_LIFE, PRIOR_HALF_COUNT, Tokens};

/// Counts and sums nearer to zero than this are set to zero when they decay.
///
/// Without it, a length that is no longer seen leaves a subnormal number after
/// four hours, which rounding never brings to zero. Such numbers made `record`
/// six times as slow.
const NEGLIGIBLE: f32 = 1e-30;

/// What was recorded of one class, or of all.
#[derive(Clone, Debug)]
pub(super) struct History {
    lengths: [f32; COUNT],
    count: f32,
    ratios: [f32; RATIOS],
    hinted: f32,
    gains: [f32; LEVELS],
    /// The time to which the counts are decayed.
    decayed: Moment,
}

impl Default for History {
    fn default() -> Self {
        Self {
            lengths: [0.0; COUNT],
            count: 0.0,
            ratios: [0.0; RATIOS],
            hinted: 0.0,
            gains: [0.0; LEVELS],
            decayed: Moment::ZERO,
        }
    }
}

impl History {
    /// Returns the share of the counts that is left at `now`.
    pub(super) fn share(&self, now: Moment) -> f64 {
        share_after(since(now, self.decayed))
    }

    /// Lets the counts decay until `now`.
    pub(super) fn decay(&mut self, now: Moment) {
        let share = to_f32(self.share(now));
        let counts = self.lengths.iter_mut().chain(&mut self.ratios);
        let sums = [&mut self.count, &mut self.hinted];
        for value in counts.chain(&mut self.gains).chain(sums) {
            let decayed = *value * share;
            *value = if decayed.abs() < NEGLIGIBLE {
                0.0
            } else {
                decayed
            };
        }
        self.decayed = self.decayed.max(now);
    }

    /// Counts a length.
    pub(super) fn add_length(&mut self, written: Tokens) {
        self.lengths[bucket::of(written)] += 1.0;
        self.count += 1.0;
    }

    /// Counts the error of a hint and what the hint would have gained.
    pub(super) fn add_hint(&mut self, hint: Tokens, written: Tokens, gains: &[f64; LEVELS]) {
        // The neighbours share in a count, since a few counts in narrow
        // buckets would tell equally likely lengths apart.
        let center = hint::ratio(bucket::of(written), hint);
        self.ratios[center] += 0.5;
        self.ratios[center.saturating_sub(1)] += 0.25;
        self.ratios[(center + 1).min(RATIOS - 1)] += 0.25;
        self.hinted += 1.0;
        for (sum, gain) in self.gains.iter_mut().zip(gains) {
            *sum += to_f32(*gain);
        }
    }

    /// Returns the distribution of lengths, with `prior` counted as
    /// `strength` samples, and as fewer the more there are of its own.
    pub(super) fn lengths(&self, share: f64, prior: &[f64; COUNT], strength: f64) -> [f64; COUNT] {
        let count = f64::from(self.count) * share;
        let strength = strength / (1.0 + count / PRIOR_HALF_COUNT);
        blend(&self.lengths, self.count, share, prior, strength)
    }

    /// Returns the distribution of the ratio of length and hint, with `prior`
    /// counted as `strength` samples.
    pub(super) fn ratios(&self, share: f64, prior: &[f64; RATIOS], strength: f64) -> [f64; RATIOS] {
        blend(&self.ratios, self.hinted, share, prior, strength)
    }

    /// Returns the mean gains of hints, with `prior` counted as `strength`
    /// samples.
    pub(super) fn gains(&self, share: f64, prior: &[f64; LEVELS], strength: f64) -> [f64; LEVELS] {
        blend(&self.gains, self.hinted, share, prior, strength)
    }
}

fn blend<const N: usize>(
    sums: &[f32; N],
    count: f32,
    share: f64,
    prior: &[f64; N],
    strength: f64,
) -> [f64; N] {
    let scale = 1.0 / (f64::from(count) * share + strength);
    let (own, other) = (share * scale, strength * scale);
    std::array::from_fn(|index| f64::from(sums[index]) * own + prior[index] * other)
}

fn share_after(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "counts and gains need no more than seven digits"
)]
fn to_f32(value: f64) -> f32 {
    value as f32
}
