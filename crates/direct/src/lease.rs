//! The lease that limits how long an unconfirmed configuration may be used.
//!
//! A revoked key must stop working within a bound, even at an instance that the
//! log refuses or that was suspended. The right to accept keys is therefore a
//! lease. It runs from the moment at which the read that last confirmed the
//! configuration was *sent*, on a clock that includes the time a machine is
//! suspended. A slow answer can't extend it.

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};

/// The part of the bound by which the lease ends early. The request still has
/// to reach its endpoint, over a few milliseconds of network and, on a small
/// machine, up to a tenth of a second without the processor.
const SAFETY_MARGIN: Duration = Duration::from_millis(300);

/// The lease on the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    bound: Option<Duration>,
}

impl Lease {
    /// Returns a lease on keys that must stop working within `bound` of being
    /// revoked, or that never ends if there is no bound.
    #[must_use]
    pub const fn new(bound: Option<Duration>) -> Self {
        Self { bound }
    }

    /// Returns whether keys may be accepted at `now`, where the read that last
    /// confirmed the configuration was sent at `confirmed`.
    #[must_use]
    pub fn is_valid(self, confirmed: Option<Moment>, now: Moment) -> bool {
        let Some(confirmed) = confirmed else {
            return false;
        };
        self.bound
            .is_none_or(|bound| since(now, confirmed) < bound.saturating_sub(SAFETY_MARGIN))
    }
}

#[cfg(test)]
mod tests;
