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
//! An instance that is cut off with all others that run takes endpoints for ended that are
//! not. Each instance withdraws the evidence on an endpoint once it knows that the same
//! incarnation still ran later.
//!
//! The parts of prompts that requests share are tracked as well, since one of them may
//! crash endpoints in whichever request it is.
//!
//! From the third crash of a chain on, the request is rejected for a hold time that grows
//! with each further crash. The rejection names the time after which to retry and says
//! that the request has not run.

mod answers;
mod evidence;
mod history;
mod parts;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{BodyDigest, EndpointId, PartId, ServiceId};

use self::answers::Answer;
pub use self::evidence::{Evidence, ForwardedEvidence, Observed, loggable_digest};
use self::evidence::{MAX_TRANSIT, NO_DIGEST};
pub use self::history::Suspicion;
use self::parts::Parts;
pub use self::parts::{Change, PartKey, Ruling};

/// How long after it began to answer a request an endpoint crashes of it at most. One that
/// has written for longer crashed of something else.
pub const MAX_CRASH_TIME: Duration = Duration::from_millis(500);

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

/// How many crashes are told of that made this instance hold something. With those of each
/// part and request it is at most some 30 KB.
const MAX_EVIDENCE_ON_HELD: usize = 256;

/// How long evidence counts: longer than the longest hold time.
const EVIDENCE_RETENTION: Duration = Duration::from_hours(2);

/// How many requests have evidence stored, at about 200 bytes each. An endpoint that ends
/// leaves up to a hundred.
const MAX_TRACKED_REQUESTS: usize = 4_096;

/// Tracks which requests crash endpoints.
#[derive(Debug, Default)]
pub struct CrashTracker {
    histories: BTreeMap<BodyDigest, History>,
    parts: Parts,
    // The endpoints that ran on after evidence of their end, and when they still ran.
    survivors: BTreeMap<EndpointId, Moment>,
    // Evidence observed here and not yet forwarded.
    unforwarded: Vec<Evidence>,
    // Whether a task is about to forward it.
    forwarding: bool,
    // Whether a task is about to tell of answers.
    telling: bool,
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
    // Returns the crashes as evidence on the request alone.
    fn evidence(&self, digest: BodyDigest) -> impl Iterator<Item = Evidence> {
        let crashes = self.crashes.iter();
        crashes.map(move |(endpoint, (sent_at, observed_at))| Evidence {
            service: ServiceId::default(),
            digest,
            parts: Vec::new(),
            observed: Observed::Crashed(*endpoint),
            sent_at: *sent_at,
            observed_at: *observed_at,
        })
    }

    fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answered.is_none()
    }

    fn ended_by(&self, moment: Moment) -> impl Iterator<Item = EndpointId> {
        let crashes = self.crashes.iter();
        let earlier = crashes.filter(move |(_, (_, observed_at))| *observed_at <= moment);
        earlier.map(|(endpoint, _)| *endpoint)
    }

    fn withdraw(&mut self, endpoint: EndpointId, running_at: Moment) {
        let crash = self.crashes.get(&endpoint);
        if crash.is_some_and(|(_, observed_at)| *observed_at <= running_at) {
            self.crashes.remove(&endpoint);
        }
    }

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
    /// Returns whether there is no evidence on any request or part.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty() && self.parts.is_empty()
    }

    /// Records evidence observed here and queues it for forwarding. An answer is only
    /// recorded for a request that has a chain.
    pub fn record_local(&mut self, evidence: Evidence) {
        if evidence.observed == Observed::Answered && self.chain_length(&evidence.digest) == 0 {
            return;
        }
        if self.record(&evidence) {
            self.unforwarded.push(evidence);
        }
    }

    /// Records that an answer to a request with these parts was observed here at `seen_at`,
    /// complete or after it had gone on for longer than a crash takes.
    pub fn record_answered_parts(
        &mut self,
        service: ServiceId,
        parts: &[PartId],
        began_at: Moment,
        seen_at: Moment,
    ) {
        let answer = Answer { began_at, seen_at };
        self.parts.record_own_answer(service, parts, answer);
    }

    /// Records evidence; returns whether it is new.
    pub fn record(&mut self, evidence: &Evidence) -> bool {
        if self.is_withdrawn(evidence) {
            return false;
        }
        let is_new = self.record_request(evidence);
        self.parts.record(evidence) || is_new
    }

    fn record_request(&mut self, evidence: &Evidence) -> bool {
        if evidence.digest == NO_DIGEST {
            return false;
        }
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
            Observed::PartsAnswered => false,
        };
        self.histories
            .retain(|_, history| since(evidence.observed_at, history.latest) < EVIDENCE_RETENTION);
        self.evict_oldest();
        new
    }

    /// Returns the endpoints of which there is evidence that they had ended at a moment.
    #[must_use]
    pub fn ended_by(&self, moment: Moment) -> BTreeSet<EndpointId> {
        let of_requests = self.histories.values().flat_map(|one| one.ended_by(moment));
        of_requests.chain(self.parts.ended_by(moment)).collect()
    }

    /// Withdraws the evidence that an endpoint ended before a moment at which it still ran.
    pub fn withdraw(&mut self, endpoint: EndpointId, running_at: Moment) {
        self.survivors
            .retain(|_, at| since(running_at, *at) < EVIDENCE_RETENTION);
        self.survivors.insert(endpoint, running_at);
        for history in self.histories.values_mut() {
            history.withdraw(endpoint, running_at);
        }
        self.histories.retain(|_, history| !history.is_empty());
        self.parts.withdraw(endpoint, running_at);
    }

    fn is_withdrawn(&self, evidence: &Evidence) -> bool {
        let Observed::Crashed(endpoint) = evidence.observed else {
            return false;
        };
        let running_at = self.survivors.get(&endpoint);
        running_at.is_some_and(|running_at| evidence.observed_at <= *running_at)
    }

    /// Returns what may be done with a request that has these parts.
    #[must_use]
    pub fn rule(&self, service: ServiceId, parts: &[PartId], now: Moment) -> Ruling {
        self.parts.rule(service, parts, now)
    }

    /// Returns the part for which a request should not be sent again after a failure, nor
    /// beside others, if there is one.
    #[must_use]
    pub fn suspect_part(&self, service: ServiceId, parts: &[PartId]) -> Option<PartId> {
        self.parts.suspect(service, parts)
    }

    /// Returns whether this instance may let one request with a part through in this
    /// period. If so, it counts as let through.
    pub fn begin_trial(&mut self, part: PartKey, now: Moment) -> bool {
        self.parts.begin_trial(part, now)
    }

    /// Returns the numbers of suspect and of held parts.
    #[must_use]
    pub fn part_counts(&self) -> (usize, usize) {
        self.parts.counts()
    }

    /// Takes the changes of what parts are suspected of since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        self.parts.take_changes()
    }

    /// Returns whether others have to be told of answers and no task is about to. If so,
    /// the caller has to tell them.
    pub fn begin_telling(&mut self) -> bool {
        let begin = !self.telling && self.parts.has_untold();
        self.telling |= begin;
        begin
    }

    /// Takes the answers that others have to be told of, as far as nobody else has told
    /// them meanwhile.
    pub fn take_untold_answers(&mut self) -> Vec<Evidence> {
        self.telling = false;
        self.parts.take_untold()
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

    /// Returns evidence by which another instance holds what is held here, on so many crashes
    /// at most.
    #[must_use]
    pub fn evidence_on_held(&self) -> Vec<Evidence> {
        let parts = self.parts.evidence_on_held();
        let requests = self.histories.iter();
        let requests = requests
            .filter(|(_, history)| history.chain_length().0 >= HOLD_CHAIN_LENGTH)
            .flat_map(|(digest, history)| history.evidence(*digest));
        parts.chain(requests).take(MAX_EVIDENCE_ON_HELD).collect()
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
