//! The dispatcher's side of a claim, which decides whether a request starts.
//!
//! A claim in the log allows its holder to start the request but does not
//! require it. When the caller's deadline passes or the caller disconnects, the
//! holder abandons the claim in its own memory. From then on
//! [`Holder::try_start`] returns false, so *not run* is correct whatever happens
//! to the record in the log. A holder that was paused calls
//! [`Holder::try_start`] with the time after the pause and is refused likewise.

use std::collections::BTreeMap;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{BodyDigest, Incarnation, InstanceId};
use godwitpost_types::outcome::{Outcome, Scope};

use super::key::Key;
use super::{Id, Item, Record, Verdict};

// Abandoned claims are retained so that a resend of their key is refused as not
// run even if the log has no outcome. 512 last a hundred seconds at a
// dispatcher's 5 claims per second. Once an entry is dropped, the resend is
// answered with *unknown*.
const MAX_ABANDONED_CLAIMS: usize = 512;

/// The claims of one dispatcher incarnation.
#[derive(Debug)]
pub struct Holder {
    instance: InstanceId,
    incarnation: Incarnation,
    sequence: u64,
    claims: BTreeMap<u64, Claim>,
    abandoned: BTreeMap<u64, Record>,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    record: Record,
    deadline: Moment,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Pending,
    Claimed,
    Started,
}

/// What to do with a request after the verdict on its claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The request may proceed; [`Holder::try_start`] decides right before its
    /// first byte is sent.
    Claimed,
    /// Refuse the request.
    Refuse {
        /// The reason, which determines the outcome to report to the caller.
        refusal: Refusal,
        /// An outcome to send to the batcher, if the claim may be in the log.
        report: Option<Item>,
    },
    /// The claim won after it was abandoned. Send this outcome to the batcher so
    /// that a resend of the key is refused as not run.
    Report(Item),
    /// Nothing to do; the claim is unknown here or was already decided.
    Ignore,
}

/// The result of abandoning a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AbandonResult {
    /// The request will never start, so *not run* may be reported. Send the
    /// outcome to the batcher, for resends of the key.
    NotRun(Item),
    /// The request has started, or its claim is not held here, so the outcome is
    /// unknown.
    TooLate,
}

/// Why an unrepeatable request is refused, and what the caller can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Refusal {
    /// a request with this key already ran; do not send it again, its answer is no longer held
    Ran,
    /// a request with this key was accepted and may be running; send the same key again later to learn its outcome
    Running,
    /// this key was given up before its request ran; send the request again with a new key
    Spent,
    /// this key was used with another method, path or body; send this request with a new key
    OtherBody,
    /// this key is older than the claim window; find out whether it ran before you send the request with a new key
    Expired,
    /// this key's time of issue lies ahead of the log's clock; set the caller's clock and send a new key
    Early,
    /// the log gave no verdict, so the request was not started; send it again with the same key
    Unavailable,
    /// the deadline passed before the request could start; send it again with a new key
    Deadline,
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// Returns the outcome to report to the caller.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Ran => Outcome::Ran,
            // An expired key was most likely sent before.
            Self::Running | Self::Expired => Outcome::Unknown,
            Self::Spent | Self::OtherBody | Self::Early | Self::Unavailable | Self::Deadline => {
                Outcome::NotRun
            }
        }
    }

    /// Returns whether the outcome applies to the attempt or to the key.
    #[must_use]
    pub const fn scope(self) -> Scope {
        match self {
            Self::Ran | Self::Running | Self::Spent => Scope::Key,
            Self::OtherBody | Self::Expired | Self::Early | Self::Unavailable | Self::Deadline => {
                Scope::Attempt
            }
        }
    }
}

impl Holder {
    /// Returns a holder without claims.
    #[must_use]
    pub const fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            instance,
            incarnation,
            sequence: 0,
            claims: BTreeMap::new(),
            abandoned: BTreeMap::new(),
        }
    }

    /// Opens a claim and returns the record to send to the batcher.
    pub fn open(&mut self, key: &Key, body: BodyDigest, deadline: Moment) -> Record {
        self.sequence += 1;
        let record = Record {
            id: self.id(self.sequence),
            key: key.digest,
            body,
            issued: key.issued,
        };
        let claim = Claim {
            record,
            deadline,
            stage: Stage::Pending,
        };
        self.claims.insert(self.sequence, claim);
        record
    }

    /// Applies the batcher's verdict on a claim.
    pub fn apply_verdict(&mut self, now: Moment, id: Id, verdict: Verdict) -> Step {
        if !self.owns(id) {
            return Step::Ignore;
        }
        match self.claims.get_mut(&id.sequence) {
            None => self.late_verdict(id, verdict),
            Some(claim) if claim.stage != Stage::Pending => Step::Ignore,
            Some(claim) if verdict == Verdict::Claimed && now < claim.deadline => {
                claim.stage = Stage::Claimed;
                Step::Claimed
            }
            Some(_) => self.refuse(id, verdict),
        }
    }

    /// Returns whether the request may start, and marks it as started.
    ///
    /// Must be called once, right before the first byte is sent to an endpoint.
    #[must_use]
    pub fn try_start(&mut self, now: Moment, id: Id) -> bool {
        if !self.owns(id) {
            return false;
        }
        match self.claims.get_mut(&id.sequence) {
            Some(claim) if claim.stage == Stage::Claimed && now < claim.deadline => {
                claim.stage = Stage::Started;
                true
            }
            _ => false,
        }
    }

    /// Abandons a claim whose caller's deadline passed or whose caller
    /// disconnected.
    pub fn abandon(&mut self, id: Id) -> AbandonResult {
        if !self.owns(id) {
            return AbandonResult::TooLate;
        }
        match self.claims.get(&id.sequence) {
            None => AbandonResult::TooLate,
            Some(claim) if claim.stage == Stage::Started => AbandonResult::TooLate,
            Some(_) => self
                .abandon_claim(id)
                .map_or(AbandonResult::TooLate, AbandonResult::NotRun),
        }
    }

    /// Returns whether this holder abandoned a claim, so that its request never
    /// starts. Used when the claim won the key of another claim.
    #[must_use]
    pub fn has_abandoned(&self, id: Id) -> bool {
        self.owns(id) && self.abandoned.contains_key(&id.sequence)
    }

    /// Removes a claim whose request ended and returns the outcome to record, if
    /// it is known.
    pub fn finish(&mut self, id: Id, outcome: Outcome) -> Option<Item> {
        if !self.owns(id) {
            return None;
        }
        let claim = self.claims.remove(&id.sequence)?;
        let known = outcome != Outcome::Unknown;
        known.then(|| outcome_item(&claim.record, outcome))
    }

    /// Returns the claims whose deadline passed before their request started.
    pub fn overdue(&self, now: Moment) -> impl Iterator<Item = Id> + '_ {
        self.claims
            .values()
            .filter(move |claim| claim.stage != Stage::Started && claim.deadline <= now)
            .map(|claim| claim.record.id)
    }

    /// Returns the number of claims that are neither finished nor abandoned.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    const fn id(&self, sequence: u64) -> Id {
        Id {
            holder: self.instance,
            incarnation: self.incarnation,
            sequence,
        }
    }

    const fn owns(&self, id: Id) -> bool {
        id.holder == self.instance && id.incarnation == self.incarnation
    }

    fn refuse(&mut self, id: Id, verdict: Verdict) -> Step {
        let refusal = match verdict {
            // The claim won, but after the caller's deadline.
            Verdict::Claimed => Refusal::Deadline,
            Verdict::Taken { by, outcome } => self.refusal_for_taken(by, outcome),
            Verdict::OtherBody => Refusal::OtherBody,
            Verdict::Expired => Refusal::Expired,
            Verdict::Early => Refusal::Early,
            Verdict::Unavailable => Refusal::Unavailable,
        };
        // A claim that won too late, or got no verdict, may be in the log without
        // an outcome.
        let report = match verdict {
            Verdict::Claimed | Verdict::Unavailable => self.abandon_claim(id),
            _ => None,
        };
        self.claims.remove(&id.sequence);
        Step::Refuse { refusal, report }
    }

    fn refusal_for_taken(&self, by: Id, outcome: Option<Outcome>) -> Refusal {
        match outcome {
            Some(Outcome::Ran) => Refusal::Ran,
            Some(Outcome::NotRun) => Refusal::Spent,
            // The log has no outcome, but this holder abandoned the claim itself.
            None if self.has_abandoned(by) => Refusal::Spent,
            Some(Outcome::Unknown) | None => Refusal::Running,
        }
    }

    fn late_verdict(&mut self, id: Id, verdict: Verdict) -> Step {
        match self.abandoned.get(&id.sequence) {
            Some(record) if verdict == Verdict::Claimed => {
                Step::Report(outcome_item(record, Outcome::NotRun))
            }
            _ => Step::Ignore,
        }
    }

    // The claim may be in the log now or later, so an outcome is always returned.
    // The table applies it only if the claim has won.
    fn abandon_claim(&mut self, id: Id) -> Option<Item> {
        let claim = self.claims.remove(&id.sequence)?;
        self.retain_abandoned(claim.record);
        Some(outcome_item(&claim.record, Outcome::NotRun))
    }

    fn retain_abandoned(&mut self, record: Record) {
        self.abandoned.insert(record.id.sequence, record);
        if self.abandoned.len() > MAX_ABANDONED_CLAIMS {
            self.abandoned.pop_first();
        }
    }
}

const fn outcome_item(record: &Record, outcome: Outcome) -> Item {
    Item::Outcome {
        key: record.key,
        id: record.id,
        outcome,
    }
}

#[cfg(test)]
mod tests;
