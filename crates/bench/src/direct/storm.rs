//! Endpoints that fail a part of their requests, and instances that repeat.

use std::time::Duration;

use godwitpost_direct::budget::{Budget, Rate};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Repeats for each request that the settings allow.
pub const RATIO: f64 = 0.2;

/// The fixed number of repeats of each instance in a window.
const ALLOWANCE: f64 = 2.0;

const WINDOW: Duration = Duration::from_secs(10);

/// The part of attempts that fail in the storm.
const FAIL: f64 = 0.6;

/// Attempts that a route allows.
const ATTEMPTS: u32 = 3;

/// Requests a second at each instance; callers' own repeats are among them.
const RATE: u32 = 30;

const SECONDS: u32 = 60;

const SERVICE: u64 = 1;

/// What came of a storm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Repeats {
    /// Repeats for each request, in the worst window of the whole fleet.
    pub ratio: f64,
    /// The part of requests that were served.
    pub served: f64,
}

/// Drives a storm at so many instances, with budgets or without.
#[must_use]
pub fn storm(instances: usize, bounded: bool, seed: u64) -> Repeats {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let rate = Rate {
        ratio: RATIO,
        allowance: ALLOWANCE,
        window: WINDOW,
    };
    let mut budgets: Vec<Budget> = (0..instances).map(|_| Budget::new(rate)).collect();
    let mut seconds = Vec::new();
    let mut served = 0_u32;
    for second in 0..SECONDS {
        let (mut requests, mut repeats) = (0_u32, 0_u32);
        for n in 0..RATE {
            let now = Duration::from_secs(second.into()) + Duration::from_secs(1) / RATE * n;
            for budget in &mut budgets {
                budget.record_request(SERVICE, now);
                requests += 1;
                let mut left = ATTEMPTS;
                let mut failed = rng.random_bool(FAIL);
                while failed && left > 1 && (!bounded || budget.try_take(SERVICE, now)) {
                    repeats += 1;
                    left -= 1;
                    failed = rng.random_bool(FAIL);
                }
                served += u32::from(!failed);
            }
        }
        seconds.push((requests, repeats));
    }
    let window = usize::try_from(WINDOW.as_secs()).unwrap_or(usize::MAX);
    let worst = seconds
        .windows(window)
        .map(|window| {
            let requests: u32 = window.iter().map(|(requests, _)| requests).sum();
            let repeats: u32 = window.iter().map(|(_, repeats)| repeats).sum();
            f64::from(repeats) / f64::from(requests)
        })
        .fold(0.0, f64::max);
    let all: u32 = seconds.iter().map(|(requests, _)| requests).sum();
    Repeats {
        ratio: worst,
        served: f64::from(served) / f64::from(all),
    }
}
