//! Holds appends back while the log fails, but for one that tries.
//!
//! Without it each waiting record would try for itself: an outage under a
//! thousand records would cost the log a thousand tries a pause from each
//! instance, at the very moment at which it tries to come back.

#[cfg(test)]
mod tests;

use godwitpost_types::clock::Moment;
use rand::Rng;

use super::backoff::Backoff;

/// Whether a call to the log may go now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Allowed,
    /// It may ask again then, or when the log has worked for another.
    RetryAt(Moment),
}

/// The gate before one log.
#[derive(Clone, Debug)]
pub struct Gate {
    backoff: Backoff,
    // When the next try may go; `None` while the log works.
    next_attempt: Option<Moment>,
}

impl Gate {
    /// Makes an open gate with the pauses between tries while it is closed.
    #[must_use]
    pub const fn new(backoff: Backoff) -> Self {
        Self {
            backoff,
            next_attempt: None,
        }
    }

    /// Returns whether the log works, as far as is known.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.next_attempt.is_none()
    }

    /// Asks to make a call now. While the log fails, the one that may go
    /// holds the others back for a pause.
    pub fn try_pass(&mut self, now: Moment, random: &mut impl Rng) -> Admission {
        match self.next_attempt {
            None => Admission::Allowed,
            Some(next) if next > now => Admission::RetryAt(next),
            Some(_) => {
                self.next_attempt = Some(now + self.backoff.next_pause(random));
                Admission::Allowed
            }
        }
    }

    /// A call worked. Returns whether that opened the gate.
    pub const fn record_success(&mut self) -> bool {
        self.backoff.reset();
        self.next_attempt.take().is_some()
    }

    /// A call failed: refused for load, not sent, or not answered.
    pub fn record_failure(&mut self, now: Moment, random: &mut impl Rng) {
        // The failure of a call that the gate let go while closed has its
        // pause already.
        if self.next_attempt.is_none() {
            self.next_attempt = Some(now + self.backoff.next_pause(random));
        }
    }
}
