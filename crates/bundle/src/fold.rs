//! Determines the bundle in force by a pure fold of the `bundles` stream in
//! log order.
//!
//! Every instance folds the same records to the same result, so instances
//! need no agreement protocol. A change is accepted if it is for this fleet,
//! its parent is the bundle in force, its version is one more, an operator of
//! the parent signed it, its digests match and its content passes all checks.
//! Of two changes with the same parent, the first in the log wins on every
//! instance.
//!
//! Besides the records, an instance can apply three other inputs. A peer's
//! *snapshot* or *update* advances it while the log is slow or down. A
//! *checkpoint* on the stream is a snapshot for readers that start after
//! older records were dropped. Each names the first offset that it does not
//! cover, and is applied only if that offset is beyond what is folded here.
//! So neither a peer with an old bundle nor a paused instance that appends an
//! old checkpoint can revert the version.

mod assembly;
mod gap;
mod held;
mod peer;
mod refusal;
#[cfg(test)]
pub(crate) mod tests;
mod times;

use std::collections::VecDeque;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{Offset, Version};
use godwitpost_types::policy::Policy;

pub use self::refusal::Refusal;
use crate::blob::{Blob, Digest};
use crate::lineage::Signers;
use crate::record::{Change, Record};
use crate::root::Tree;
use crate::snapshot::Anchor;
use crate::statement::Statement;
use assembly::Assembly;
use gap::Gap;
use held::ActiveBundle;
use times::Times;

/// Accepted changes that are retained to update peers that are behind and to
/// recognize duplicates.
const MAX_RETAINED_CHANGES: usize = 64;

/// The result of applying a record, snapshot or update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// This version is now in force.
    InForce(Version),
    /// It was rejected for this reason.
    Refused(Refusal),
    /// It changes nothing: already read, a duplicate, or a checkpoint.
    Ignored,
    /// It is buffered: records before it were dropped and nothing covers them
    /// yet. Request a snapshot from a peer.
    Waiting,
}

/// The state of the fold.
#[derive(Clone, Debug)]
pub struct Fold {
    fleet: String,
    roots: Vec<Digest>,
    active: Option<ActiveBundle>,
    next: Offset,
    gap: Option<Gap>,
    assembly: Assembly,
    times: Times,
    accepted: VecDeque<AcceptedChange>,
}

#[derive(Clone, Debug)]
struct AcceptedChange {
    statement: Statement,
    // Encoded as it is sent to peers.
    change: Blob,
}

impl Fold {
    /// Returns a fold with nothing in force, whose first version must be
    /// signed by one of the root keys.
    #[must_use]
    pub fn new(fleet: impl Into<String>, roots: impl IntoIterator<Item = Digest>) -> Self {
        Self {
            fleet: fleet.into(),
            roots: roots.into_iter().collect(),
            active: None,
            next: 0,
            gap: None,
            assembly: Assembly::default(),
            times: Times::default(),
            accepted: VecDeque::new(),
        }
    }

    /// Returns the version in force; 0 for none.
    #[must_use]
    pub const fn version(&self) -> Version {
        match &self.active {
            Some(active) => active.statement.version,
            None => 0,
        }
    }

    /// Returns the policy in force.
    #[must_use]
    pub fn policy(&self) -> Option<&Policy> {
        self.active.as_ref().map(|active| &active.policy)
    }

    /// Returns the signed statement in force.
    #[must_use]
    pub fn statement(&self) -> Option<&Statement> {
        self.active.as_ref().map(|active| &active.statement)
    }

    /// Returns the entries in force.
    #[must_use]
    pub fn tree(&self) -> Option<&Tree> {
        self.active.as_ref().map(|active| &active.tree)
    }

    /// Returns the offset to read the stream from.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.gap.as_ref().map_or(self.next, |gap| gap.next)
    }

    /// Returns whether records were dropped that no snapshot or checkpoint
    /// seen here covers.
    ///
    /// Until a snapshot or checkpoint covers the gap, changes are not folded.
    #[must_use]
    pub const fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Returns the oldest record that a reader with no state needs; `None`
    /// while nothing is in force or the stream has a gap.
    #[must_use]
    pub fn anchor(&self) -> Option<Anchor> {
        let active = self.active.as_ref().filter(|_| self.gap.is_none())?;
        Some(active.anchor)
    }

    /// Applies the next record of the stream.
    pub fn apply(&mut self, offset: Offset, time: Moment, bytes: &[u8]) -> Next {
        // A log never reaches the maximum offset, and it has no successor.
        if offset < self.next_offset() || offset == Offset::MAX {
            return Next::Ignored;
        }
        if offset > self.next_offset() {
            self.gap = Some(Gap::new(offset));
            self.assembly = Assembly::default();
        }
        self.times.record(offset, time);
        match &mut self.gap {
            Some(gap) => gap.next = offset + 1,
            None => self.next = offset + 1,
        }
        match Record::decode(bytes) {
            Err(error) => Next::Refused(Refusal::Record(error)),
            Ok(Record::Change(change)) => self.apply_or_buffer(offset, change, bytes),
            Ok(Record::Checkpoint(part)) => match self.assembly.add(offset, &part) {
                Some(whole) => self.apply_checkpoint(&whole),
                None => Next::Ignored,
            },
        }
    }

    fn check_fleet(&self, statement: &Statement) -> Result<(), Refusal> {
        if statement.fleet == self.fleet {
            return Ok(());
        }
        Err(Refusal::Fleet {
            wanted: self.fleet.clone(),
            found: statement.fleet.clone(),
        })
    }

    fn apply_or_buffer(&mut self, offset: Offset, change: Change, bytes: &[u8]) -> Next {
        if let Some(gap) = &mut self.gap {
            gap.buffer(offset, bytes.to_vec());
            return Next::Waiting;
        }
        // Without a checkpoint a reader needs every record from the first one.
        // If that record's time is no longer known, it counts as old, which
        // makes a checkpoint due.
        let since = self.times.time_of(0).unwrap_or_default();
        self.apply_change(change, bytes, Anchor { from: 0, since })
    }

    // The anchor is used for the first version only; later versions keep the
    // current anchor.
    fn apply_change(&mut self, change: Change, bytes: &[u8], anchor: Anchor) -> Next {
        if let Err(next) = self.check_change(&change) {
            return next;
        }
        let statement = change.statement.clone();
        let result = match &mut self.active {
            Some(active) => active.apply_change(change),
            None => ActiveBundle::from_first_change(change, anchor)
                .map(|active| self.active = Some(active)),
        };
        if let Err(refusal) = result {
            return Next::Refused(refusal);
        }
        let version = statement.version;
        self.retain_change(statement, bytes);
        Next::InForce(version)
    }

    fn check_change(&self, change: &Change) -> Result<(), Next> {
        let statement = &change.statement;
        self.check_fleet(statement).map_err(Next::Refused)?;
        let known = |accepted: &AcceptedChange| accepted.statement == *statement;
        if self.statement() == Some(statement) || self.accepted.iter().any(known) {
            return Err(Next::Ignored);
        }
        self.check_sequence(statement).map_err(Next::Refused)?;
        if self.signers().verify(statement, &change.signature) {
            Ok(())
        } else {
            let operator = statement.operator.clone();
            Err(Next::Refused(Refusal::Signature(operator)))
        }
    }

    fn check_sequence(&self, statement: &Statement) -> Result<(), Refusal> {
        let current = self.version();
        let found = statement.version;
        if found <= current {
            return Err(match self.signer_of(found) {
                Some(winner) => Refusal::Lost {
                    version: found,
                    winner,
                },
                None => Refusal::Old { current, found },
            });
        }
        if found > current + 1 {
            return Err(Refusal::Ahead { current, found });
        }
        let parent = self.tree().map_or(Digest::ZERO, Tree::root);
        if statement.parent == parent {
            Ok(())
        } else {
            Err(Refusal::Parent)
        }
    }

    fn signer_of(&self, version: Version) -> Option<String> {
        let accepted = self.accepted.iter().map(|accepted| &accepted.statement);
        accepted
            .chain(self.statement())
            .find(|statement| statement.version == version)
            .map(|statement| statement.operator.clone())
    }

    fn signers(&self) -> Signers<'_> {
        match &self.active {
            Some(active) => Signers::Operators(&active.operators),
            None => Signers::Roots(&self.roots),
        }
    }

    fn retain_change(&mut self, statement: Statement, bytes: &[u8]) {
        if self.accepted.len() == MAX_RETAINED_CHANGES {
            self.accepted.pop_front();
        }
        let change = Blob(bytes.to_vec());
        self.accepted
            .push_back(AcceptedChange { statement, change });
    }

    fn raise_anchor(&mut self, anchor: Anchor) {
        if let Some(active) = &mut self.active {
            active.anchor = active.anchor.max(anchor);
        }
    }
}
