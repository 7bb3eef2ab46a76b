//! A token bucket, in bytes, that limits control traffic.

use godwitpost_types::clock::{Moment, since};

/// Whether a message may use the part of the bucket that is reserved for urgent
/// updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// The message may be deferred.
    Routine,
    /// The message carries a new update, such as a bundle version or a leaving
    /// notice.
    Urgent,
}

/// A hard limit on control bytes: over any time `t`, at most `burst + rate x t`
/// bytes are granted.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: u64,
    burst: u64,
    headers: u64,
    level: u64,
    filled_at: Moment,
    spent: u64,
    refused: u64,
}

// Seconds of its rate that the bucket holds: enough for the burst of messages
// that follows a new bundle version.
const BURST_SECONDS: u64 = 2;

// Routine messages leave one part in this many of the bucket untouched: a
// quarter covers three urgent messages of about a kilobyte each.
const RESERVE_DIVISOR: u64 = 4;

impl Budget {
    /// Returns a full bucket of `rate` bytes a second.
    ///
    /// `headers` is the overhead of one message in bytes: the HTTP head, the
    /// framing and the TCP/IP headers of its packets and their
    /// acknowledgements, as the router measures them.
    #[must_use]
    pub const fn new(now: Moment, rate: u64, headers: u64) -> Self {
        let burst = rate * BURST_SECONDS;
        Self {
            rate,
            burst,
            headers,
            level: burst,
            filled_at: now,
            spent: 0,
            refused: 0,
        }
    }

    /// Takes the cost of one message with a body of `body` bytes and returns
    /// true, or returns false if the bucket does not cover it.
    pub fn try_take(&mut self, now: Moment, body: usize, urgency: Urgency) -> bool {
        self.refill(now);
        let cost = self.cost(body);
        let reserve = match urgency {
            Urgency::Routine => self.burst / RESERVE_DIVISOR,
            Urgency::Urgent => 0,
        };
        if self.level < cost + reserve {
            self.refused += 1;
            return false;
        }
        self.level -= cost;
        self.spent += cost;
        true
    }

    /// Refunds the difference if a message was shorter than the size taken.
    pub fn refund(&mut self, taken: usize, used: usize) {
        let refunded = (taken.saturating_sub(used)) as u64;
        self.level = (self.level + refunded).min(self.burst);
        self.spent = self.spent.saturating_sub(refunded);
    }

    /// Refunds the whole cost of a message that was not sent.
    pub fn cancel(&mut self, body: usize) {
        let cost = self.cost(body);
        self.level = (self.level + cost).min(self.burst);
        self.spent = self.spent.saturating_sub(cost);
    }

    /// Returns whether the bucket is at least five eighths full.
    #[must_use]
    pub const fn has_surplus(&self) -> bool {
        self.level >= self.burst / 8 * 5
    }

    /// Returns the bytes granted since the start.
    #[must_use]
    pub const fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns the messages refused since the start.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }

    const fn cost(&self, body: usize) -> u64 {
        self.headers + body as u64
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = since(now, self.filled_at);
        let bytes = elapsed.as_millis() * u128::from(self.rate) / 1000;
        if bytes == 0 {
            // The time is too short for a whole byte; the next refill counts it.
            return;
        }
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.level = self.level.saturating_add(bytes).min(self.burst);
        self.filled_at = now;
    }
}

#[cfg(test)]
mod tests;
