//! Detects requests that crash the endpoints that run them.
//!
//! Such a request is retried through any instance and takes down one endpoint after the
//! other. It is recognized by a chain: it was sent, its endpoint ended, it was sent again
//! *afterwards*, that endpoint ended too, and so on, with no answer in between. A request
//! that merely was in flight beside it succeeds sooner or later, and an answer clears all
//! earlier evidence on a request. Of several endpoints that end at the same moment only
//! one counts, since the requests in flight on all of them were sent before.
//!
//! A broken connection is no evidence, because answers are lost for many reasons. The end
//! of the endpoint is, and the instance whose connection broke looks for it. Evidence is
//! forwarded to the instances that peers poll, and by them to all others.
//!
//! From the third crash of a chain on, the request is rejected for a hold time that grows
//! with each further crash. The rejection names the time after which to retry and says
//! that the request has not run.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{BodyDigest, EndpointId};
use serde::{Deserialize, Serialize};

/// The number of chained crashes from which on a request is held. Requests that are
/// retried at an endpoint that also happens to go down see two; a third in a row costs
/// one more endpoint and spares nearly all of those requests.
const HOLD_CHAIN_LENGTH: u32 = 3;

/// The hold time after [`HOLD_CHAIN_LENGTH`] crashes; it doubles with each further one. A
/// crashed endpoint is back after some seconds, so at most one of ten endpoints is down
/// because of one such request.
const INITIAL_HOLD: Duration = Duration::from_secs(30);

/// The upper bound of the hold time, so that a repaired endpoint gets the request again
/// within this time.
const MAX_HOLD: Duration = Duration::from_hours(1);

/// How long evidence counts: longer than the longest hold time.
const EVIDENCE_RETENTION: Duration = Duration::from_hours(2);

/// How many requests have evidence stored, at about 200 bytes each. An endpoint that ends
/// leaves up to a hundred.
const MAX_TRACKED_REQUESTS: usize = 4_096;

/// By how much times from another instance may be off, because of the transit time of the
/// message.
const MAX_TRANSIT: Duration = Duration::from_millis(5);

/// One observation of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The digest of the request's body.
    pub digest: BodyDigest,
    /// What was observed.
    pub observed: Observed,
    /// When the request was sent.
    pub sent_at: Moment,
    /// When it was observed.
    pub observed_at: Moment,
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observed {
    /// The endpoint that was running it ended.
    Crashed(EndpointId),
    /// It was answered.
    Answered,
}

/// Evidence as sent to other instances, with ages instead of times since clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedEvidence {
    digest: BodyDigest,
    #[serde(rename = "fate")]
    observed: Observed,
    sent_ago: Duration,
    seen_ago: Duration,
}

impl ForwardedEvidence {
    /// Returns evidence in the form in which it is sent at `now`.
    #[must_use]
    pub fn from_evidence(evidence: &Evidence, now: Moment) -> Self {
        Self {
            digest: evidence.digest,
            observed: evidence.observed,
            sent_ago: since(now, evidence.sent_at),
            seen_ago: since(now, evidence.observed_at),
        }
    }

    /// Returns the evidence from a message received at `then`.
    #[must_use]
    pub fn to_evidence(&self, received_at: Moment) -> Evidence {
        Evidence {
            digest: self.digest,
            observed: self.observed,
            sent_at: since(received_at, self.sent_ago),
            observed_at: since(received_at, self.seen_ago),
        }
    }
}

/// Tracks which requests crash endpoints.
#[derive(Debug, Default)]
pub struct CrashTracker {
    histories: BTreeMap<BodyDigest, History>,
    // Evidence observed here and not yet forwarded.
    unforwarded: Vec<Evidence>,
    // Whether a task is about to forward it.
    forwarding: bool,
}

#[derive(Debug, Default)]
struct History {
    // By endpoint id, of which each incarnation has its own and ends once: when the
    // request was sent, and when the end was observed.
    crashes: BTreeMap<EndpointId, (Moment, Moment)>,
    answered: Option<Moment>,
    latest: Moment,
}

impl History {
    // Returns the length of the longest chain, and when its last crash was observed.
    // Taking the earliest crash at each step leaves the most crashes for the rest of the
    // chain.
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

    /// Records evidence observed here and queues it for forwarding. An answer is only
    /// recorded for a request that has a chain.
    pub fn record_local(&mut self, evidence: Evidence) {
        if evidence.observed == Observed::Answered && self.chain_length(&evidence.digest) == 0 {
            return;
        }
        if self.record(evidence) {
            self.unforwarded.push(evidence);
        }
    }

    /// Records evidence; returns whether it is new.
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

    /// Returns how many endpoints in a chain ended with this request since it was last
    /// answered.
    #[must_use]
    pub fn chain_length(&self, digest: &BodyDigest) -> u32 {
        self.histories
            .get(digest)
            .map_or(0, |history| history.chain_length().0)
    }

    /// Returns the remaining hold time of a request, if it is held.
    #[must_use]
    pub fn remaining_hold(&self, digest: &BodyDigest, now: Moment) -> Option<Duration> {
        let (links, last) = self.histories.get(digest)?.chain_length();
        let further = links.checked_sub(HOLD_CHAIN_LENGTH)?;
        let hold = INITIAL_HOLD
            .saturating_mul(1 << further.min(16))
            .min(MAX_HOLD);
        let remaining = hold.saturating_sub(since(now, last));
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Returns whether there is evidence to forward and no task is about to. If so, the
    /// caller has to forward it.
    pub fn begin_forwarding(&mut self) -> bool {
        let begin = !self.forwarding && !self.unforwarded.is_empty();
        self.forwarding |= begin;
        begin
    }

    /// Takes the evidence that was observed here and not yet forwarded.
    pub fn take_unforwarded(&mut self) -> Vec<Evidence> {
        self.forwarding = false;
        std::mem::take(&mut self.unforwarded)
    }

    // Evicts the request with the oldest evidence when over capacity, as it is the least
    // likely to return.
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
