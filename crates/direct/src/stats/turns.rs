//! The order in which an endpoint begins the responses to this instance's requests.
//!
//! An endpoint that reads a long prompt, or many, begins its responses late but in turn. One
//! that fails to answer some requests begins others meanwhile, as quickly as usual.

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};

/// A request waits in turn if one before it waited at least the time that it has waited,
/// divided by this.
const WAIT_DIVISOR: u32 = 2;

/// For how many times as long as the request has waited an endpoint that begins no responses
/// may be busy. After that it answers nobody, although it goes on with what it has begun.
const MAX_BUSY_WAITS: u32 = 3;

/// Which of the instance's requests an endpoint has begun to answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Turns {
    // When the latest request was sent that was answered.
    newest_sent_at: Option<Moment>,
    // When the last response began, and how long its request had waited.
    last: Option<(Moment, Duration)>,
    // When the first request was sent that has waited too long since the endpoint last began a
    // response.
    unanswered_since: Option<Moment>,
}

impl Turns {
    /// Records that the response to a request sent at `sent_at` begins.
    pub(super) fn record(&mut self, sent_at: Moment, now: Moment) {
        self.newest_sent_at = self.newest_sent_at.max(Some(sent_at));
        self.last = Some((now, since(now, sent_at)));
    }

    /// Returns when the last response began.
    pub(super) fn last_at(self) -> Option<Moment> {
        self.last.map(|(at, _)| at)
    }

    /// Returns whether the response to a later request than the one sent at `sent_at` has
    /// begun.
    pub(super) fn has_passed_over(self, sent_at: Moment) -> bool {
        self.newest_sent_at > Some(sent_at)
    }

    /// Records that a request sent at `sent_at` has waited too long, and that the endpoint has
    /// begun no response since `answered_at`. Returns whether it may be busy.
    pub(super) fn record_none_begun(
        &mut self,
        sent_at: Moment,
        answered_at: Option<Moment>,
        now: Moment,
    ) -> bool {
        let before = self.unanswered_since.filter(|at| Some(*at) > answered_at);
        let since_when = before.map_or(sent_at, |before| before.min(sent_at));
        self.unanswered_since = Some(since_when);
        since(now, since_when) <= since(now, sent_at) * MAX_BUSY_WAITS
    }

    /// Returns whether a response has begun, while the request sent at `sent_at` waited, to
    /// one that had waited for a like time.
    pub(super) fn is_late_in_turn(self, sent_at: Moment, now: Moment) -> bool {
        self.last.is_some_and(|(at, waited)| {
            at >= sent_at && waited * WAIT_DIVISOR >= since(now, sent_at)
        })
    }
}

#[cfg(test)]
mod tests;
