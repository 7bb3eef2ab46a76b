//! A token bucket in bytes that control traffic is paid from.

use godwitpost_types::clock::{Moment, since};

/// Whether a message may use the part of the bucket that is kept for news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// It may wait.
    Routine,
    /// It carries a bundle version or a leaving sign that is new.
    Urgent,
}

/// A hard limit on control bytes: over any time `t`, at most
/// `burst + rate x t` bytes are granted.
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

// Seconds of its rate that a bucket holds: enough for the burst of pushes that
// follows a new version.
const BURST_SECONDS: u64 = 2;

// The part of the bucket that routine messages leave untouched: a quarter pays
// for three pushes of news at about a kilobyte each.
const RESERVE_DIVISOR: u64 = 4;

impl Budget {
    /// Returns a full bucket of `rate` bytes a second.
    ///
    /// `headers` is what one message costs beside its body: HTTP head, framing
    /// and the TCP/IP headers of its packets and their acknowledgements, as
    /// the router measures them.
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

    /// Takes the cost of one message with a body of `body` bytes, or refuses.
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

    /// Gives back the difference after a message turned out shorter.
    pub fn refund(&mut self, taken: usize, used: usize) {
        let refunded = (taken.saturating_sub(used)) as u64;
        self.level = (self.level + refunded).min(self.burst);
        self.spent = self.spent.saturating_sub(refunded);
    }

    /// Gives back the whole cost of a message that is not sent after all.
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
            // Too short a time for a whole byte; it counts the next time.
            return;
        }
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.level = self.level.saturating_add(bytes).min(self.burst);
        self.filled_at = now;
    }
}

#[cfg(test)]
mod tests;
