//! Requests that crash the endpoints that run them.
//!
//! Such a request comes again, through any instance, and takes one endpoint
//! after the other with it. What gives it away is a chain: it was sent, its
//! endpoint ended, it was sent again *afterwards*, that endpoint ended too, and
//! so on, with no answer in between. One that merely was in flight beside it
//! gets through sooner or later, and an answer clears a request for good. Of
//! several endpoints that end at the same moment only one counts, since what
//! was in flight on all of them was sent before.
//!
//! A connection that breaks is no evidence, for answers are lost in many ways;
//! the endpoint's end is, and the instance that saw the break looks for it. What
//! is seen is passed on to the instances that are asked, and by them to all.
//!
//! After the third of a chain the request is held back, each time for longer.
//! It is told so with the time to come back, and has not run.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{BodyDigest, EndpointId};
use serde::{Deserialize, Serialize};

/// The links of a chain from which on a request is held back. Two are met by
/// requests that are sent again to an endpoint that goes down as well; a third
/// in a row costs one more endpoint and spares nearly all of those.
const HOLD_CHAIN_LENGTH: u32 = 3;

/// How long a request is held back at first; twice as long after each further
/// link. An endpoint that crashed is back after some seconds, so that at most
/// one of ten is down for one such request.
const INITIAL_HOLD: Duration = Duration::from_secs(30);

/// The longest that it is held back: a mended endpoint should not wait longer
/// to show itself.
const MAX_HOLD: Duration = Duration::from_hours(1);

/// How long evidence counts; longer than a request is held back.
const EVIDENCE_RETENTION: Duration = Duration::from_hours(2);

/// Requests on which evidence is kept, about 200 bytes each. An endpoint that
/// ends leaves up to a hundred.
const MAX_TRACKED_REQUESTS: usize = 4_096;

/// By how much moments that come from another instance may be off: the way of
/// the message that brought them.
const MAX_TRANSIT: Duration = Duration::from_millis(5);

/// One thing seen of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The request.
    pub digest: BodyDigest,
    /// What was seen.
    pub observed: Observed,
    /// When it was sent.
    pub sent_at: Moment,
    /// When its fate was seen.
    pub observed_at: Moment,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observed {
    /// The endpoint that had it ended.
    Crashed(EndpointId),
    /// It was answered.
    Answered,
}

/// Evidence as it is passed on: with ages, since clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedEvidence {
    digest: BodyDigest,
    #[serde(rename = "fate")]
    observed: Observed,
    sent_ago: Duration,
    seen_ago: Duration,
}

impl ForwardedEvidence {
    /// Returns evidence as it is passed on `now`.
    #[must_use]
    pub fn from_evidence(evidence: &Evidence, now: Moment) -> Self {
        Self {
            digest: evidence.digest,
            observed: evidence.observed,
            sent_ago: since(now, evidence.sent_at),
            seen_ago: since(now, evidence.observed_at),
        }
    }

    /// Returns the evidence that was passed on at `then`.
    #[must_use]
    pub fn to_evidence(&self, then: Moment) -> Evidence {
        Evidence {
            digest: self.digest,
            observed: self.observed,
            sent_at: since(then, self.sent_ago),
            observed_at: since(then, self.seen_ago),
        }
    }
}

/// All evidence that an instance has.
#[derive(Debug, Default)]
pub struct CrashTracker {
    histories: BTreeMap<BodyDigest, History>,
    // What was seen here and not yet passed on.
    unforwarded: Vec<Evidence>,
    // Whether somebody is about to take that.
    forwarding: bool,
}

#[derive(Debug, Default)]
struct History {
    // By endpoint, each life of which ends once: when the request was sent
    // there, and when the end was seen.
    crashes: BTreeMap<EndpointId, (Moment, Moment)>,
    answered: Option<Moment>,
    latest: Moment,
}

impl History {
    // The links of the longest chain, and when the last was seen. Taking the
    // crash that was seen first each time leaves the most for what follows.
    fn chain_length(&self) -> (u32, Moment) {
        let mut crashes: Vec<_> = self.crashes.values().copied().collect();
        crashes.sort_by_key(|(_, at)| *at);
        let mut links = 0;
        let mut last = Moment::ZERO;
        for (sent, at) in crashes {
            let counts = self.answered.is_none_or(|answered| sent > answered);
            if counts && (links == 0 || sent + MAX_TRANSIT >= last) {
                links += 1;
                last = at;
            }
        }
        (links, last)
    }
}

impl CrashTracker {
    /// Returns whether there is no evidence on any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    /// Takes in what was seen here, to be passed on. An answer says something
    /// only of a request on which there is evidence.
    pub fn record_local(&mut self, evidence: Evidence) {
        if evidence.observed == Observed::Answered && self.chain_length(&evidence.digest) == 0 {
            return;
        }
        if self.record(evidence) {
            self.unforwarded.push(evidence);
        }
    }

    /// Takes in evidence; returns whether it is new.
    pub fn record(&mut self, evidence: Evidence) -> bool {
        let history = self.histories.entry(evidence.digest).or_default();
        history.latest = history.latest.max(evidence.observed_at);
        let new = match evidence.observed {
            Observed::Crashed(endpoint) => {
                let new = !history.crashes.contains_key(&endpoint);
                let seen = (evidence.sent_at, evidence.observed_at);
                history.crashes.entry(endpoint).or_insert(seen);
                new
            }
            Observed::Answered => {
                let newer = history.answered < Some(evidence.observed_at);
                history.answered = history.answered.max(Some(evidence.observed_at));
                newer
            }
        };
        self.histories
            .retain(|_, history| since(evidence.observed_at, history.latest) < EVIDENCE_RETENTION);
        self.evict_oldest();
        new
    }

    /// Returns how many endpoints, one after the other, ended with this request
    /// since it was last answered.
    #[must_use]
    pub fn chain_length(&self, digest: &BodyDigest) -> u32 {
        self.histories
            .get(digest)
            .map_or(0, |history| history.chain_length().0)
    }

    /// Returns for how long a request is still held back.
    #[must_use]
    pub fn remaining_hold(&self, digest: &BodyDigest, now: Moment) -> Option<Duration> {
        let (links, last) = self.histories.get(digest)?.chain_length();
        let further = links.checked_sub(HOLD_CHAIN_LENGTH)?;
        let hold = INITIAL_HOLD
            .saturating_mul(1 << further.min(16))
            .min(MAX_HOLD);
        let left = hold.saturating_sub(since(now, last));
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether there is something to be passed on and nobody about to.
    /// Whoever is told so is.
    pub fn begin_forwarding(&mut self) -> bool {
        let begin = !self.forwarding && !self.unforwarded.is_empty();
        self.forwarding |= begin;
        begin
    }

    /// Returns what was seen here and not yet passed on.
    pub fn take_unforwarded(&mut self) -> Vec<Evidence> {
        self.forwarding = false;
        std::mem::take(&mut self.unforwarded)
    }

    // Over its capacity the case that was quiet longest goes: it is the least
    // likely to come again.
    fn evict_oldest(&mut self) {
        if self.histories.len() <= MAX_TRACKED_REQUESTS {
            return;
        }
        let oldest = self
            .histories
            .iter()
            .min_by_key(|(_, history)| history.latest);
        if let Some(digest) = oldest.map(|(digest, _)| *digest) {
            self.histories.remove(&digest);
        }
    }
}

#[cfg(test)]
mod tests;
