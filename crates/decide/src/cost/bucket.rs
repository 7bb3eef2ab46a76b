//! Buckets of token counts, of logarithmic width.

use std::f64::consts::{LN_2, SQRT_2};

use super::Tokens;

/// Number of buckets. Two an octave reach from 1 to 1,048,576 tokens.
pub(super) const COUNT: usize = 40;

/// Width of a bucket, as the logarithm of the quotient of its edges.
pub(super) const WIDTH: f64 = LN_2 / 2.0;

/// A weight for each bucket.
pub(super) type Weights = [f64; COUNT];

/// The lower edges of the buckets in tokens, and the upper edge of the last.
pub(super) const EDGES: [f64; COUNT + 1] = edges();

const fn edges() -> [f64; COUNT + 1] {
    let mut edges = [1.0; COUNT + 1];
    edges[1] = SQRT_2;
    let mut index = 2;
    while index <= COUNT {
        edges[index] = 2.0 * edges[index - 2];
        index += 1;
    }
    edges
}

/// Returns the bucket of a length. The last one also holds all greater
/// lengths.
pub(super) fn of(tokens: Tokens) -> usize {
    position(tokens).min(COUNT - 1)
}

/// Returns the bucket that a length has on a scale without a last bucket.
pub(super) fn position(tokens: Tokens) -> usize {
    let tokens = u64::from(tokens.max(1));
    let octave = tokens.ilog2();
    let is_upper_half = tokens * tokens >= 2 << (2 * octave);
    2 * octave as usize + usize::from(is_upper_half)
}
