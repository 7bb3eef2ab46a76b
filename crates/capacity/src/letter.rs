//! The sizes that the users' letter asks to build for, and what follows.

use std::time::Duration;

/// Instances of the fleet.
pub const INSTANCES: f64 = 320.0;
/// Endpoints that run model engines.
pub const RUNNERS: f64 = 3_300.0;
/// Requests a second at the peak.
pub const REQUESTS: f64 = 17_000.0;
/// Tokens generated a second at the peak.
pub const TOKENS: f64 = 6_400_000.0;
/// Chats that may return.
pub const CHATS: f64 = 5_500_000.0;
/// Workspaces in steady use.
pub const WORKSPACES: f64 = 8_900.0;
/// Models in steady use.
pub const MODELS: f64 = 35.0;
/// Availability zones.
pub const ZONES: usize = 12;
/// Regions.
pub const REGIONS: usize = 4;
/// Changes of configuration a day.
pub const CHANGES: f64 = 3_400.0;
/// Seconds of a day.
pub const DAY: f64 = 86_400.0;

/// Memory for control on one instance, in bytes.
pub const MEMORY: f64 = 64.0 * 1024.0 * 1024.0;
/// Share of one core for control on one instance.
pub const CORE: f64 = 0.021;
/// Control bytes a second of one instance.
pub const BYTES: f64 = 6.0 * 1024.0;

/// The share of requests that may run at most once. The letter does not say;
/// one in ten is far above what the two services of today see.
pub const UNREPEATABLE: f64 = 0.1;
/// How long an idempotency key is honoured; the bundles' default.
pub const CLAIM_WINDOW: Duration = Duration::from_mins(15);
/// Seconds that a request is in flight on average: 376 tokens at 36 ms, the
/// letter's tokens over its requests.
pub const IN_FLIGHT: f64 = TOKENS / REQUESTS * 0.036;

/// Returns requests a second that enter at one instance.
#[must_use]
pub const fn entered() -> f64 {
    REQUESTS / INSTANCES
}

/// Returns endpoints that one instance owns on average.
#[must_use]
pub const fn owned() -> f64 {
    RUNNERS / INSTANCES
}

/// Returns keys that one partition of claims remembers.
#[must_use]
pub fn keys() -> f64 {
    let partitions = f64::from(godwitpost_state::claim::PARTITIONS);
    REQUESTS * UNREPEATABLE * CLAIM_WINDOW.as_secs_f64() / partitions
}
