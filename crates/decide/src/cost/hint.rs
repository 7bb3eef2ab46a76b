//! What a hint tells of a length, by the past errors of hints.
//!
//! The distribution of lengths is multiplied with the likelihood of the hint
//! at each length, raised to a power that is called the level here. The level
//! is the one that would have predicted past lengths best. Where none
//! predicted them better than no hint, the hint is ignored.

use super::Tokens;
use super::bucket::{self, COUNT, Weights};

/// Number of buckets of the ratio of length and hint, up to a factor of 4,096
/// in both directions. The outer ones also hold all ratios beyond.
pub(super) const RATIOS: usize = 49;

/// Number of levels: the powers 1/4, 1/2 and 1.
pub(super) const LEVELS: usize = 3;

/// The bucket of a ratio of 1.
const EQUAL: usize = RATIOS / 2;

/// The least mean gain at which a hint counts, in nats for each request.
///
/// A correlation of 0.3 between hint and length has this gain. Less than that
/// can't be told from chance by some hundred samples.
const MIN_GAIN: f64 = 0.05;

/// The share of lengths on either side beyond which a hint does not raise the
/// likelihood any further.
const OUTER_SHARE: f64 = 0.01;

/// Returns the bucket of the ratio of a length in the given bucket and a hint.
pub(super) fn ratio(length: usize, hint: Tokens) -> usize {
    (length + EQUAL)
        .saturating_sub(bucket::position(hint))
        .min(RATIOS - 1)
}

/// Returns the distribution of ratios that is assumed when nothing is known:
/// each is as likely, so that a hint tells nothing.
pub(super) fn unknown_ratios() -> [f64; RATIOS] {
    let share = 1.0 / f64::from(u8::try_from(RATIOS).unwrap_or(u8::MAX));
    [share; RATIOS]
}

/// Returns the likelihood of a hint at each length.
///
/// Beyond the inner range it is at most the mean within it, so that a hint
/// does not make lengths likely that hardly any request of the class has.
pub(super) fn likelihood(lengths: &Weights, ratios: &[f64; RATIOS], hint: Tokens) -> Weights {
    let mut likelihood: Weights = std::array::from_fn(|length| ratios[ratio(length, hint)]);
    let (low, high) = inner_range(lengths);
    let inner = lengths[low..=high].iter().zip(&likelihood[low..=high]);
    let (total, sum) = inner.fold((0.0, 0.0), |(total, sum), (weight, value)| {
        (total + weight, sum + weight * value)
    });
    let most = sum / total;
    let (before, others) = likelihood.split_at_mut(low);
    let (_, after) = others.split_at_mut(high + 1 - low);
    for value in before.iter_mut().chain(after) {
        *value = value.min(most);
    }
    likelihood
}

// Returns the first and the last bucket of the lengths that are left without
// `OUTER_SHARE` on either side.
fn inner_range(lengths: &Weights) -> (usize, usize) {
    let outer = OUTER_SHARE * lengths.iter().sum::<f64>();
    let low = count_within(lengths.iter(), outer);
    let high = COUNT - 1 - count_within(lengths.iter().rev(), outer);
    (low, high)
}

// Returns how many of the first weights have no more than `limit` together.
fn count_within<'a>(weights: impl Iterator<Item = &'a f64>, limit: f64) -> usize {
    let sums = weights.scan(0.0, |sum, weight| {
        *sum += weight;
        Some(*sum)
    });
    sums.take_while(|sum| *sum <= limit).count()
}

/// Returns the distribution of lengths given a hint of that likelihood, at a
/// level.
pub(super) fn apply(lengths: &Weights, likelihood: &Weights, level: usize) -> Weights {
    std::array::from_fn(|index| lengths[index] * raise(likelihood[index], level))
}

fn raise(likelihood: f64, level: usize) -> f64 {
    match level {
        0 => likelihood.sqrt().sqrt(),
        1 => likelihood.sqrt(),
        _ => likelihood,
    }
}

/// Returns by how much the hint would have raised the logarithm of the
/// probability of a length, for each level.
pub(super) fn gains(lengths: &Weights, likelihood: &Weights, written: Tokens) -> [f64; LEVELS] {
    let bucket = bucket::of(written);
    let total: f64 = lengths.iter().sum();
    std::array::from_fn(|level| {
        let sum: f64 = apply(lengths, likelihood, level).iter().sum();
        (raise(likelihood[bucket], level) * total / sum).ln()
    })
}

/// Returns the level with the greatest mean gain, or `None` where hints told
/// too little to count.
pub(super) fn best_level(gains: &[f64; LEVELS]) -> Option<usize> {
    (0..LEVELS)
        .filter(|level| gains[*level] > MIN_GAIN)
        .max_by(|one, other| gains[*one].total_cmp(&gains[*other]))
}
