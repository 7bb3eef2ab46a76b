//! Holds back appends while the log fails, except for one that probes it.
//!
//! Otherwise each waiting record would be retried on its own. With a thousand
//! waiting records, each instance would send the log a thousand requests per
//! pause while the log tries to recover.

#[cfg(test)]
mod tests;

use godwitpost_types::clock::Moment;
use rand::Rng;

use super::backoff::Backoff;

/// Whether a call to the log may be made now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be made.
    Allowed,
    /// It may try again at this moment, or as soon as another call succeeded.
    RetryAt(Moment),
}

/// A circuit breaker for the calls to one log.
#[derive(Clone, Debug)]
pub struct Gate {
    backoff: Backoff,
    // When the next attempt may be made; `None` while the log works.
    next_attempt: Option<Moment>,
}

impl Gate {
    /// Creates an open gate. `backoff` gives the pauses between attempts while it
    /// is closed.
    #[must_use]
    pub const fn new(backoff: Backoff) -> Self {
        Self {
            backoff,
            next_attempt: None,
        }
    }

    /// Returns whether the log works, as far as known.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.next_attempt.is_none()
    }

    /// Requests permission to make a call now. While the log fails, each permitted
    /// call holds the others back for a pause.
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

    /// Records a successful call. Returns whether this opened the gate.
    pub const fn record_success(&mut self) -> bool {
        self.backoff.reset();
        self.next_attempt.take().is_some()
    }

    /// Records a failed call: rejected because of load, not sent, or without a
    /// response.
    pub fn record_failure(&mut self, now: Moment, random: &mut impl Rng) {
        // If the gate was closed already, the pause was set when the call was
        // permitted.
        if self.next_attempt.is_none() {
            self.next_attempt = Some(now + self.backoff.next_pause(random));
        }
    }
}
