//! Measures the memory and the processor time of a piece of work.

use std::hint::black_box;
use std::time::{Duration, Instant};

/// Returns the bytes that are allocated now.
pub type Allocated = fn() -> usize;

/// Rounds of a timing; the least counts, since others only add to it.
const ROUNDS: u32 = 7;

/// Returns what `build` makes and the bytes that it holds.
pub fn memory<T>(allocated: Allocated, build: impl FnOnce() -> T) -> (T, f64) {
    let before = allocated();
    let made = black_box(build());
    let after = allocated();
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52 bytes")]
    let bytes = after.saturating_sub(before) as f64;
    (made, bytes)
}

/// Returns the time of one call of `work`, in nanoseconds, from `calls` calls
/// a round.
pub fn nanoseconds(calls: u32, mut work: impl FnMut(u32)) -> f64 {
    let mut least = Duration::MAX;
    for _ in 0..ROUNDS {
        let began = Instant::now();
        for call in 0..calls {
            work(black_box(call));
        }
        least = least.min(began.elapsed());
    }
    least.as_secs_f64() * 1e9 / f64::from(calls)
}
