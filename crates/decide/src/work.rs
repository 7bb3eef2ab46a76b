//! The work that an endpoint still has to do, and how long it is expected to
//! take.
//!
//! A [`Ledger`] holds what this instance's own requests still have to do,
//! exactly. Requests of other instances are known by their number only; each
//! is assumed to cost the [`Mean`] of this instance's own. [`Speed`] is what
//! was learned of a service, [`Pace`] what one endpoint reported lately, and
//! [`expect`] combines them. `docs/design/endpoint-work.md` compares the
//! alternatives.

use std::time::Duration;

mod expect;
mod ledger;
mod mean;
mod pace;
mod speed;

pub use self::expect::{Capacity, Expectation, Situation, expect};
pub use self::ledger::{Demand, Ledger, Load, Request};
pub use self::mean::Mean;
pub use self::pace::{MAX_PACE, Pace, SLOW_FACTOR};
pub use self::speed::Speed;

/// The upper limit of the tokens of one request; greater figures are clamped.
///
/// The memory of an engine holds half of it, so no request is longer.
pub const MAX_TOKENS: f64 = 1_000_000.0;

/// The upper limit of the requests at one endpoint; greater figures are
/// clamped. More than a thousand times the slots of an engine.
const MAX_REQUESTS: f64 = 100_000.0;

/// The longest time that is observed or predicted.
///
/// Far above every deadline, and far below the greatest `Duration`.
const MAX_TIME: Duration = Duration::from_hours(1);

// Returns a figure clamped to 0 and `max`, or 0 if it is NaN or infinite.
fn bounded(figure: f64, max: f64) -> f64 {
    if figure.is_finite() {
        figure.clamp(0.0, max)
    } else {
        0.0
    }
}

// Returns a time clamped to `MAX_TIME`, also if its computation overflowed to
// infinity, or zero if it is NaN.
fn duration(ms: f64) -> Duration {
    let secs = (ms / 1e3).max(0.0).min(MAX_TIME.as_secs_f64());
    Duration::from_secs_f64(secs)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
