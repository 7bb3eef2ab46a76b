//! Rendezvous hashing (highest random weight).
//!
//! Each candidate gets a pseudo-random score from the key and its id, and the
//! highest score wins. When a candidate joins or leaves, only the keys that it
//! wins or won are reassigned, and instances need not agree on a table.

/// Returns the score of `candidate` for `key`, uniform over `u64`.
#[must_use]
#[inline]
pub fn score(key: u64, candidate: u64) -> u64 {
    mix(key ^ candidate.rotate_left(32))
}

/// Returns the score of a weighted candidate; the highest score wins.
///
/// Uses the logarithm method, so a candidate wins a share of the keys that equals
/// its weight over the sum of all weights. A weight of zero or less never wins
/// against a positive one.
#[must_use]
pub fn weighted(key: u64, candidate: u64, weight: f64) -> f64 {
    const UNIT: f64 = 1.0 / 9_007_199_254_740_992.0; // 2^-53
    #[expect(
        clippy::cast_precision_loss,
        reason = "53 bits are kept, which a f64 holds exactly"
    )]
    let uniform = ((score(key, candidate) >> 11) as f64 + 0.5) * UNIT;
    if weight > 0.0 {
        -weight / uniform.ln()
    } else {
        0.0
    }
}

/// Returns the candidate with the highest score for `key`.
pub fn winner(key: u64, candidates: impl IntoIterator<Item = u64>) -> Option<u64> {
    candidates.into_iter().max_by_key(|&c| (score(key, c), c))
}

// The finalizer of SplitMix64. Two multiplications spread every input bit over
// the word, in about a nanosecond per call.
#[inline]
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
