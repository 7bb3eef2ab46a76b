//! Tracks what endpoints state about themselves in their responses to this instance.
//!
//! These notices take effect at once, and also while the log is unavailable, when an
//! endpoint can't write to it. An endpoint that announced that it is leaving doesn't
//! return in the same incarnation, whatever the log still lists. The notice is passed on
//! to the roster, which remembers it for longer.
//!
//! An endpoint that refuses a request may name a pause for which it wants no requests. It
//! is not forwarded to other instances: an endpoint that is overloaded by one instance
//! may accept requests of others. After the pause the endpoint gets one request at a time
//! until it has responded to one, since all waiting requests would return at once. An
//! endpoint that names no time is paused briefly, and for longer while it refuses
//! everything.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::EndpointId;

use crate::roster::EndpointIncarnation;

/// How long an endpoint counts as leaving here; the roster has applied it by then.
const NOTICE_LIFETIME: Duration = Duration::from_mins(1);

/// The maximum pause. An endpoint that asks for more gets a single request after that
/// time.
const MAX_PAUSE: Duration = Duration::from_mins(10);

/// The pause after a refusal that names no time. Each further one without a response in
/// between doubles it.
const MIN_DEFAULT_PAUSE: Duration = Duration::from_millis(50);

/// The maximum number of doublings, up to a pause below two seconds.
const MAX_PAUSE_DOUBLINGS: u32 = 5;

/// What an endpoint may be sent according to its own notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Nothing, because it is leaving.
    Leaving,
    /// Nothing before the pause is over.
    Paused {
        /// When the pause is over.
        until: Moment,
    },
    /// One request at a time: its pause is over, and it has not responded since.
    Resuming,
}

/// The recent notices of endpoints.
#[derive(Debug, Default)]
pub struct Notices {
    // When they last announced that they are leaving.
    leaving: BTreeMap<EndpointId, Moment>,
    // When their pause ends or ended.
    pauses: BTreeMap<EndpointId, Moment>,
    // The number of consecutive refusals that named no time.
    refusals: BTreeMap<EndpointId, u32>,
    // Leaving incarnations that have not been passed on to the roster.
    unpublished: Vec<EndpointIncarnation>,
}

impl Notices {
    /// Records that an endpoint announced that it is leaving; returns whether that is
    /// new.
    pub fn record_leaving(
        &mut self,
        endpoint: EndpointId,
        incarnation: &EndpointIncarnation,
        now: Moment,
    ) -> bool {
        let is_new = self.leaving.insert(endpoint, now).is_none();
        if is_new {
            self.unpublished.push(incarnation.clone());
        }
        is_new
    }

    /// Records that an endpoint asked for a pause. A later request for a shorter one
    /// doesn't end a longer one.
    pub fn record_pause(&mut self, endpoint: EndpointId, pause: Duration, now: Moment) {
        let until = now + pause.min(MAX_PAUSE);
        let current = self.pauses.entry(endpoint).or_default();
        *current = until.max(*current);
    }

    /// Records that an endpoint refused a request without naming a time; returns the
    /// resulting pause.
    ///
    /// An endpoint that refuses everything at once would look emptier the more requests
    /// it was sent.
    pub fn record_refusal(&mut self, endpoint: EndpointId, now: Moment) -> Duration {
        let refusals = self.refusals.entry(endpoint).or_default();
        let pause = MIN_DEFAULT_PAUSE * 2_u32.pow(*refusals);
        *refusals = (*refusals + 1).min(MAX_PAUSE_DOUBLINGS);
        self.record_pause(endpoint, pause, now);
        pause
    }

    /// Records that an endpoint responded to a request; returns whether this resumes its
    /// use. A response to a request that was sent before the pause doesn't end it.
    pub fn record_response(&mut self, endpoint: EndpointId, now: Moment) -> bool {
        self.refusals.remove(&endpoint);
        let resumed = self.get(endpoint, now) == Some(Notice::Resuming);
        if resumed {
            self.pauses.remove(&endpoint);
        }
        resumed
    }

    /// Returns what an endpoint may be sent according to its notices, or `None` if they
    /// don't restrict it.
    #[must_use]
    pub fn get(&self, endpoint: EndpointId, now: Moment) -> Option<Notice> {
        if self.leaving.contains_key(&endpoint) {
            return Some(Notice::Leaving);
        }
        let until = *self.pauses.get(&endpoint)?;
        Some(if now < until {
            Notice::Paused { until }
        } else {
            Notice::Resuming
        })
    }

    /// Returns the number of paused endpoints.
    #[must_use]
    pub fn paused_count(&self, now: Moment) -> usize {
        self.pauses.values().filter(|until| now < **until).count()
    }

    /// Returns the leaving incarnations that were not returned before, and drops old
    /// notices.
    pub fn take_leaving(&mut self, now: Moment) -> Vec<EndpointIncarnation> {
        self.leaving
            .retain(|_, at| since(now, *at) < NOTICE_LIFETIME);
        self.pauses
            .retain(|_, until| since(now, *until) < NOTICE_LIFETIME);
        let pauses = &self.pauses;
        self.refusals
            .retain(|endpoint, _| pauses.contains_key(endpoint));
        std::mem::take(&mut self.unpublished)
    }
}

#[cfg(test)]
mod tests;
