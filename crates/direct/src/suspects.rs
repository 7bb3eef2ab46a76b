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
const CHAIN: u32 = 3;

/// How long a request is held back at first; twice as long after each further
/// link. An endpoint that crashed is back after some seconds, so that at most
/// one of ten is down for one such request.
const HOLD: Duration = Duration::from_secs(30);

/// The longest that it is held back: a mended endpoint should not wait longer
/// to show itself.
const LONGEST: Duration = Duration::from_hours(1);

/// How long evidence counts; longer than a request is held back.
const KEPT: Duration = Duration::from_hours(2);

/// Requests on which evidence is kept, about 200 bytes each. An endpoint that
/// ends leaves up to a hundred.
const CASES: usize = 4_096;

/// By how much moments that come from another instance may be off: the way of
/// the message that brought them.
const WAY: Duration = Duration::from_millis(5);

/// One thing seen of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The request.
    pub digest: BodyDigest,
    /// What was seen.
    pub fate: Fate,
    /// When it was sent.
    pub sent: Moment,
    /// When its fate was seen.
    pub at: Moment,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// The endpoint that had it ended.
    Crashed(EndpointId),
    /// It was answered.
    Answered,
}

/// Evidence as it is passed on: with ages, since clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    digest: BodyDigest,
    fate: Fate,
    sent_ago: Duration,
    seen_ago: Duration,
}

impl Sighting {
    /// Returns evidence as it is passed on `now`.
    #[must_use]
    pub fn of(evidence: &Evidence, now: Moment) -> Self {
        Self {
            digest: evidence.digest,
            fate: evidence.fate,
            sent_ago: since(now, evidence.sent),
            seen_ago: since(now, evidence.at),
        }
    }

    /// Returns the evidence that was passed on at `then`.
    #[must_use]
    pub fn evidence(&self, then: Moment) -> Evidence {
        Evidence {
            digest: self.digest,
            fate: self.fate,
            sent: since(then, self.sent_ago),
            at: since(then, self.seen_ago),
        }
    }
}

/// All evidence that an instance has.
#[derive(Debug, Default)]
pub struct Suspects {
    cases: BTreeMap<BodyDigest, Case>,
    // What was seen here and not yet passed on.
    unsent: Vec<Evidence>,
    // Whether somebody is about to take that.
    passing: bool,
}

#[derive(Debug, Default)]
struct Case {
    // By endpoint, each life of which ends once: when the request was sent
    // there, and when the end was seen.
    crashes: BTreeMap<EndpointId, (Moment, Moment)>,
    answered: Option<Moment>,
    latest: Moment,
}

impl Case {
    // The links of the longest chain, and when the last was seen. Taking the
    // crash that was seen first each time leaves the most for what follows.
    fn chain(&self) -> (u32, Moment) {
        let mut crashes: Vec<_> = self.crashes.values().copied().collect();
        crashes.sort_by_key(|(_, at)| *at);
        let mut links = 0;
        let mut last = Moment::ZERO;
        for (sent, at) in crashes {
            let counts = self.answered.is_none_or(|answered| sent > answered);
            if counts && (links == 0 || sent + WAY >= last) {
                links += 1;
                last = at;
            }
        }
        (links, last)
    }
}

impl Suspects {
    /// Returns whether there is no evidence on any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Takes in what was seen here, to be passed on. An answer says something
    /// only of a request on which there is evidence.
    pub fn saw(&mut self, evidence: Evidence) {
        if evidence.fate == Fate::Answered && self.chain(&evidence.digest) == 0 {
            return;
        }
        if self.learn(evidence) {
            self.unsent.push(evidence);
        }
    }

    /// Takes in evidence; returns whether it is new.
    pub fn learn(&mut self, evidence: Evidence) -> bool {
        let case = self.cases.entry(evidence.digest).or_default();
        case.latest = case.latest.max(evidence.at);
        let new = match evidence.fate {
            Fate::Crashed(endpoint) => {
                let new = !case.crashes.contains_key(&endpoint);
                let seen = (evidence.sent, evidence.at);
                case.crashes.entry(endpoint).or_insert(seen);
                new
            }
            Fate::Answered => {
                let newer = case.answered < Some(evidence.at);
                case.answered = case.answered.max(Some(evidence.at));
                newer
            }
        };
        self.cases
            .retain(|_, case| since(evidence.at, case.latest) < KEPT);
        self.shed();
        new
    }

    /// Returns how many endpoints, one after the other, ended with this request
    /// since it was last answered.
    #[must_use]
    pub fn chain(&self, digest: &BodyDigest) -> u32 {
        self.cases.get(digest).map_or(0, |case| case.chain().0)
    }

    /// Returns for how long a request is still held back.
    #[must_use]
    pub fn held(&self, digest: &BodyDigest, now: Moment) -> Option<Duration> {
        let (links, last) = self.cases.get(digest)?.chain();
        let further = links.checked_sub(CHAIN)?;
        let hold = HOLD.saturating_mul(1 << further.min(16)).min(LONGEST);
        let left = hold.saturating_sub(since(now, last));
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether there is something to be passed on and nobody about to.
    /// Whoever is told so is.
    pub fn begin_passing(&mut self) -> bool {
        let begin = !self.passing && !self.unsent.is_empty();
        self.passing |= begin;
        begin
    }

    /// Returns what was seen here and not yet passed on.
    pub fn take_unsent(&mut self) -> Vec<Evidence> {
        self.passing = false;
        std::mem::take(&mut self.unsent)
    }

    // Over its capacity the case that was quiet longest goes: it is the least
    // likely to come again.
    fn shed(&mut self) {
        if self.cases.len() <= CASES {
            return;
        }
        let oldest = self.cases.iter().min_by_key(|(_, case)| case.latest);
        if let Some(digest) = oldest.map(|(digest, _)| *digest) {
            self.cases.remove(&digest);
        }
    }
}

#[cfg(test)]
mod tests;
