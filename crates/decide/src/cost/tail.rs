//! What remains of a length of which a part was written.

use super::bucket::{self, COUNT, EDGES, WIDTH, Weights};
use super::{Estimate, Tokens};

/// The share of lengths that [`Estimate::high`] is not below.
const HIGH_SHARE: f64 = 0.9;

/// A part of a bucket, within which the logarithm of the length is taken to
/// be uniform.
struct Piece {
    low: f64,
    high: f64,
    weight: f64,
}

/// Returns the estimate of what remains when `written` tokens were written
/// and no more than `limit` can follow.
///
/// Nothing is known beyond the last bucket, so a length in or beyond it is
/// taken for the least length there.
pub(super) fn remaining(weights: &Weights, written: Tokens, limit: f64) -> Estimate {
    let written = f64::from(written).min(EDGES[COUNT - 1]);
    let cap = written + limit;
    let mut total = 0.0;
    let mut sum = 0.0;
    for piece in pieces(weights, written) {
        total += piece.weight;
        sum += piece.weight * piece.mean(cap);
    }
    let left = |length: f64| (length - written).clamp(0.0, limit);
    Estimate {
        mean: left(sum / total),
        high: left(quantile(weights, written, HIGH_SHARE * total)),
    }
}

fn pieces(weights: &Weights, written: f64) -> impl Iterator<Item = Piece> {
    let from = written.max(EDGES[0]);
    let first = first_bucket(from);
    (first..COUNT).map(move |index| {
        let low = EDGES[index].max(from);
        let high = EDGES[index + 1];
        let share = if index == first {
            (high / low).ln() / WIDTH
        } else {
            1.0
        };
        Piece {
            low,
            high,
            weight: weights[index] * share,
        }
    })
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "lengths are between the first and the last edge"
)]
fn first_bucket(from: f64) -> usize {
    // The last edge is not a whole number and would be truncated to a length
    // of the bucket before.
    if from >= EDGES[COUNT - 1] {
        return COUNT - 1;
    }
    bucket::of(from as Tokens)
}

fn quantile(weights: &Weights, written: f64, target: f64) -> f64 {
    let mut below = 0.0;
    for piece in pieces(weights, written) {
        if below + piece.weight >= target {
            let share = (target - below) / piece.weight.max(f64::MIN_POSITIVE);
            return piece.low * (piece.high / piece.low).powf(share);
        }
        below += piece.weight;
    }
    EDGES[COUNT]
}

impl Piece {
    /// Returns the mean of the lengths, each limited to `cap`.
    fn mean(&self, cap: f64) -> f64 {
        if cap <= self.low {
            return cap;
        }
        let top = self.high.min(cap);
        let width = (self.high / self.low).ln();
        if width <= f64::EPSILON {
            return top;
        }
        (top - self.low + top * (self.high / top).ln()) / width
    }
}
