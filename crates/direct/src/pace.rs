//! Paces the lists of endpoints that an instance sends to others.
//!
//! When hundreds of instances start or change their peer at the same time, each needs a
//! list of a megabyte and more. Sent all at once over one link, each part arrives after its
//! recipient has given up, which then asks elsewhere and wastes the link again. So parts
//! are sent one after the other, at a rate that the link bears, and whoever would have to
//! wait for too long is told so at once.

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};

/// The fraction of the link that lists may use. Requests, and updates that have to arrive
/// in time, use the rest.
const LINK_FRACTION: f64 = 0.75;

/// The turns of the parts that this instance sends.
#[derive(Debug)]
pub struct Pace {
    // Bytes a second that lists may use.
    rate: f64,
    next: Moment,
}

impl Pace {
    /// Returns the pace for a link that carries `link_rate` bytes a second.
    #[must_use]
    pub fn new(link_rate: u64) -> Self {
        // Exact for all links slower than 72 Pbit/s.
        #[expect(clippy::cast_precision_loss, reason = "only a pause depends on it")]
        let rate = link_rate.max(1) as f64 * LINK_FRACTION;
        Self {
            rate,
            next: Duration::ZERO,
        }
    }

    /// Reserves the next turn, for a part of this many bytes. Returns how long to wait for it,
    /// or `None` if that is longer than `patience`.
    pub fn reserve(&mut self, bytes: u32, now: Moment, patience: Duration) -> Option<Duration> {
        let turn = self.next.max(now);
        let delay = since(turn, now);
        if delay > patience {
            return None;
        }
        self.next = turn + self.transfer_time(bytes);
        Some(delay)
    }

    /// Reserves a turn before all others, for a part of this many bytes.
    pub fn reserve_first(&mut self, bytes: u32, now: Moment) {
        self.next = self.next.max(now) + self.transfer_time(bytes);
    }

    fn transfer_time(&self, bytes: u32) -> Duration {
        Duration::from_secs_f64(f64::from(bytes) / self.rate)
    }
}

#[cfg(test)]
mod tests;
