//! The dispatcher's side of a claim: it alone decides whether a request starts.
//!
//! A claim in the log permits its holder to start the request; it does not
//! oblige it. When the caller's deadline passes, or the caller goes away, the
//! holder gives the claim up in its own memory. From then on
//! [`Holder::try_start`] refuses, so *not run* is true whatever the log still
//! does with the record. A holder that was paused asks [`Holder::try_start`] with
//! the moment it woke at and is refused in the same way.

use std::collections::BTreeMap;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{BodyDigest, Incarnation, InstanceId};
use godwitpost_types::outcome::{Outcome, Scope};

use super::key::Key;
use super::{Id, Item, Record, Verdict};

// Claims given up that are remembered, so that a resend of their key is told
// that it never ran though the log may not have heard. A hundred seconds of a
// dispatcher's share of claims at 5 a second; forgetting one only means that
// the resend is told *unknown*.
const REMEMBERED: usize = 512;

/// The claims of one dispatcher in one incarnation.
#[derive(Debug)]
pub struct Holder {
    own: InstanceId,
    incarnation: Incarnation,
    sequence: u64,
    claims: BTreeMap<u64, Claim>,
    given_up: BTreeMap<u64, Record>,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    record: Record,
    deadline: Moment,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Asked,
    Claimed,
    Started,
}

/// What to do with a request after a verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The request may go on; [`Holder::try_start`] decides just before its first
    /// byte leaves.
    Claimed,
    /// The caller is refused.
    Refuse {
        /// Why, and the outcome to tell.
        refusal: Refusal,
        /// A fate to send to the batcher, if the claim may be in the log.
        report: Option<Item>,
    },
    /// The claim was given up before, and won: send this fate to the batcher,
    /// so that a resend of the key hears that it never ran.
    Report(Item),
    /// The claim was settled before; nothing is to be done.
    Ignore,
}

/// What giving up came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AbandonResult {
    /// The request never starts; *not run* may be told. The fate is to be
    /// sent to the batcher, for whoever comes with the key again.
    NotRun(Item),
    /// It has started, or was never held here: its fate is unknown.
    TooLate,
}

/// Why an unrepeatable request is refused, and the way out.
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
    /// Returns the outcome to tell the caller.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Ran => Outcome::Ran,
            // An old key has most likely been sent before.
            Self::Running | Self::Expired => Outcome::Unknown,
            Self::Spent | Self::OtherBody | Self::Early | Self::Unavailable | Self::Deadline => {
                Outcome::NotRun
            }
        }
    }

    /// Returns whether the outcome speaks for the attempt or for the key.
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
    pub const fn new(own: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            own,
            incarnation,
            sequence: 0,
            claims: BTreeMap::new(),
            given_up: BTreeMap::new(),
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
            stage: Stage::Asked,
        };
        self.claims.insert(self.sequence, claim);
        record
    }

    /// Takes the batcher's verdict on a claim.
    pub fn apply_verdict(&mut self, now: Moment, id: Id, verdict: Verdict) -> Step {
        if !self.owns(id) {
            return Step::Ignore;
        }
        match self.claims.get_mut(&id.sequence) {
            None => self.late(id, verdict),
            Some(claim) if claim.stage != Stage::Asked => Step::Ignore,
            Some(claim) if verdict == Verdict::Claimed && now < claim.deadline => {
                claim.stage = Stage::Claimed;
                Step::Claimed
            }
            Some(_) => self.refuse(id, verdict),
        }
    }

    /// Returns whether the request may start, and counts it as started.
    ///
    /// To be asked once, right before the first byte leaves for an endpoint.
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

    /// Gives a claim up because its caller's deadline passed or it went away.
    pub fn abandon(&mut self, id: Id) -> AbandonResult {
        if !self.owns(id) {
            return AbandonResult::TooLate;
        }
        match self.claims.get(&id.sequence) {
            None => AbandonResult::TooLate,
            Some(claim) if claim.stage == Stage::Started => AbandonResult::TooLate,
            Some(_) => self
                .give_up(id)
                .map_or(AbandonResult::TooLate, AbandonResult::NotRun),
        }
    }

    /// Returns whether a claim was given up here, so that its request never
    /// starts; for instances that met the claim as their key's winner.
    #[must_use]
    pub fn has_abandoned(&self, id: Id) -> bool {
        self.owns(id) && self.given_up.contains_key(&id.sequence)
    }

    /// Forgets a claim whose request ended and returns the fate to record, if
    /// it is known.
    pub fn finish(&mut self, id: Id, outcome: Outcome) -> Option<Item> {
        if !self.owns(id) {
            return None;
        }
        let claim = self.claims.remove(&id.sequence)?;
        let known = outcome != Outcome::Unknown;
        known.then(|| fate(&claim.record, outcome))
    }

    /// Returns claims that have passed their deadline without starting.
    pub fn overdue(&self, now: Moment) -> impl Iterator<Item = Id> + '_ {
        self.claims
            .values()
            .filter(move |claim| claim.stage != Stage::Started && claim.deadline <= now)
            .map(|claim| claim.record.id)
    }

    /// Returns the number of claims that are neither finished nor given up.
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
            holder: self.own,
            incarnation: self.incarnation,
            sequence,
        }
    }

    const fn owns(&self, id: Id) -> bool {
        id.holder == self.own && id.incarnation == self.incarnation
    }

    fn refuse(&mut self, id: Id, verdict: Verdict) -> Step {
        let refusal = match verdict {
            // It won, after the caller's deadline.
            Verdict::Claimed => Refusal::Deadline,
            Verdict::Taken { by, outcome } => self.taken(by, outcome),
            Verdict::OtherBody => Refusal::OtherBody,
            Verdict::Expired => Refusal::Expired,
            Verdict::Early => Refusal::Early,
            Verdict::Unavailable => Refusal::Unavailable,
        };
        // What may be in the log without a fate: a claim that won too late, or
        // that nobody could tell about.
        let spent = match verdict {
            Verdict::Claimed | Verdict::Unavailable => self.give_up(id),
            _ => None,
        };
        self.claims.remove(&id.sequence);
        Step::Refuse {
            refusal,
            report: spent,
        }
    }

    fn taken(&self, by: Id, outcome: Option<Outcome>) -> Refusal {
        match outcome {
            Some(Outcome::Ran) => Refusal::Ran,
            Some(Outcome::NotRun) => Refusal::Spent,
            // The log has not heard, but it was this holder's own claim.
            None if self.has_abandoned(by) => Refusal::Spent,
            Some(Outcome::Unknown) | None => Refusal::Running,
        }
    }

    fn late(&mut self, id: Id, verdict: Verdict) -> Step {
        match self.given_up.get(&id.sequence) {
            Some(record) if verdict == Verdict::Claimed => {
                Step::Report(fate(record, Outcome::NotRun))
            }
            _ => Step::Ignore,
        }
    }

    // The claim may be in the log by now or later, so its fate is always told:
    // the fold takes it only if the claim has won.
    fn give_up(&mut self, id: Id) -> Option<Item> {
        let claim = self.claims.remove(&id.sequence)?;
        self.remember(claim.record);
        Some(fate(&claim.record, Outcome::NotRun))
    }

    fn remember(&mut self, record: Record) {
        self.given_up.insert(record.id.sequence, record);
        if self.given_up.len() > REMEMBERED {
            self.given_up.pop_first();
        }
    }
}

const fn fate(record: &Record, outcome: Outcome) -> Item {
    Item::Outcome {
        key: record.key,
        id: record.id,
        outcome,
    }
}

#[cfg(test)]
mod tests;
