//! How long the configuration may be acted on without being confirmed.
//!
//! A key that is taken away must stop working within a bound, also at an
//! instance that the log turns away or that was suspended. So the right to act
//! on a key is a lease: it runs from the moment at which the read that last
//! confirmed the configuration was *sent*, on a clock that counts the time a
//! machine is suspended. Answers may be slow; they can't make it longer.

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};

/// The part of the bound that is kept back. The request still has to reach
/// its endpoint, over a few milliseconds of network and, on a small machine,
/// a tenth of a second without the processor.
const MARGIN: Duration = Duration::from_millis(300);

/// The lease on the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    bound: Option<Duration>,
}

impl Lease {
    /// Returns a lease of keys that must stop working within `bound` of being
    /// taken away; `None` if that has no bound.
    #[must_use]
    pub const fn new(bound: Option<Duration>) -> Self {
        Self { bound }
    }

    /// Returns whether keys may be acted on, the configuration having last
    /// been confirmed by a read sent at `confirmed`.
    #[must_use]
    pub fn is_valid(self, confirmed: Option<Moment>, now: Moment) -> bool {
        let Some(confirmed) = confirmed else {
            return false;
        };
        self.bound
            .is_none_or(|bound| since(now, confirmed) < bound.saturating_sub(MARGIN))
    }
}

#[cfg(test)]
mod tests;
