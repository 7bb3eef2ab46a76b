//! Snapshots and updates: building them for peers, and applying those of
//! peers and checkpoints.

use godwitpost_types::id::{Offset, Version};

use super::assembly::CompleteCheckpoint;
use super::held::ActiveBundle;
use super::{Fold, Next, Refusal};
use crate::record::{Change, Record};
use crate::snapshot::{Anchor, Snapshot, Update};
use crate::statement::Statement;

impl Fold {
    /// Returns the bundle in force with the signatures that prove it.
    #[must_use]
    pub fn snapshot(&self) -> Option<Snapshot> {
        let active = self.active.as_ref()?;
        Some(Snapshot {
            next: self.next,
            anchor: active.anchor,
            statement: active.statement.clone(),
            signature: active.signature,
            lineage: active.lineage.clone(),
            entries: active.tree.entries().clone(),
        })
    }

    /// Applies a peer's snapshot if it is ahead in log order.
    ///
    /// # Errors
    ///
    /// Returns why it is rejected; the bundle in force does not change.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot) -> Result<Next, Refusal> {
        self.check_fleet(&snapshot.statement)?;
        if snapshot.next <= self.next {
            return Ok(Next::Ignored);
        }
        let before = self.version();
        let (next, anchor) = (snapshot.next, snapshot.anchor);
        if snapshot.version() > before {
            self.replace_bundle(snapshot)?;
        } else if self.statement() != Some(&snapshot.statement) {
            return Err(Refusal::Contradiction);
        }
        self.advance_to(next, anchor);
        Ok(self.outcome(before))
    }

    /// Returns the changes after `version`; `None` if they are no longer
    /// retained, so that the peer needs a full snapshot.
    #[must_use]
    pub fn update(&self, version: Version) -> Option<Update> {
        let active = self.active.as_ref()?;
        let behind = usize::try_from(self.version().checked_sub(version)?).ok()?;
        let skipped = self.accepted.len().checked_sub(behind)?;
        let changes = self.accepted.iter().skip(skipped);
        Some(Update {
            next: self.next,
            anchor: active.anchor,
            statement: active.statement.digest(),
            changes: changes.map(|accepted| accepted.change.clone()).collect(),
        })
    }

    /// Applies a peer's latest changes if they are ahead in log order.
    ///
    /// Versions up to the one in force here are skipped.
    ///
    /// # Errors
    ///
    /// Returns why a change is rejected; the bundle in force does not change.
    pub fn apply_update(&mut self, update: &Update) -> Result<Next, Refusal> {
        if update.next <= self.next {
            return Ok(Next::Ignored);
        }
        let before = self.version();
        let changes = self.new_changes(update)?;
        // The update is applied entirely or not at all. After a part of it the
        // offset on the stream would be unknown, and folding from the old
        // offset could accept a version that the fleet rejected because it
        // came too early. A single rejected change leaves no trace, so it
        // needs no saved state.
        let saved = (changes.len() > 1).then(|| (self.active.clone(), self.accepted.clone()));
        for (change, bytes) in changes {
            if let Next::Refused(refusal) = self.apply_change(change, bytes, update.anchor) {
                if let Some((active, accepted)) = saved {
                    self.active = active;
                    self.accepted = accepted;
                }
                return Err(refusal);
            }
        }
        self.advance_to(update.next, update.anchor);
        Ok(self.outcome(before))
    }

    // Returns the changes of an update that are newer than the version in
    // force, with their bytes.
    fn new_changes<'a>(&self, update: &'a Update) -> Result<Vec<(Change, &'a [u8])>, Refusal> {
        let mut changes = Vec::new();
        for bytes in &update.changes {
            match Record::decode(&bytes.0).map_err(Refusal::Record)? {
                Record::Change(change) if change.statement.version > self.version() => {
                    changes.push((change, bytes.0.as_slice()));
                }
                Record::Change(_) | Record::Checkpoint(_) => {}
            }
        }
        let last = changes.last().map(|(change, _)| &change.statement);
        let last = last.or(self.statement()).map(Statement::digest);
        if last == Some(update.statement) {
            Ok(changes)
        } else {
            Err(Refusal::Contradiction)
        }
    }

    fn outcome(&self, before: Version) -> Next {
        let version = self.version();
        if version > before {
            Next::InForce(version)
        } else {
            Next::Ignored
        }
    }

    fn replace_bundle(&mut self, snapshot: Snapshot) -> Result<(), Refusal> {
        let active = ActiveBundle::from_snapshot(snapshot, self.signers(), self.version())?;
        self.active = Some(active);
        // The retained changes no longer lead to the version in force.
        self.accepted.clear();
        Ok(())
    }

    // Records that everything before `next` is folded. If that covers the
    // gap, the changes buffered after it are folded too.
    fn advance_to(&mut self, next: Offset, anchor: Anchor) {
        self.raise_anchor(anchor);
        self.next = self.next.max(next);
        let Some(kept) = self.gap.as_ref().and_then(|gap| gap.changes_from(next)) else {
            return;
        };
        let next_read = self.gap.take().map_or(next, |gap| gap.next);
        self.next = self.next.max(next_read);
        for record in kept {
            if let Ok(Record::Change(change)) = Record::decode(&record.bytes.0) {
                self.apply_change(change, &record.bytes.0, anchor);
            }
        }
    }

    pub(super) fn apply_checkpoint(&mut self, whole: &CompleteCheckpoint) -> Next {
        let snapshot = match Snapshot::decode(&whole.bytes) {
            Ok(snapshot) => snapshot,
            Err(error) => return Next::Refused(Refusal::Snapshot(error)),
        };
        if snapshot.next > whole.first {
            return Next::Refused(Refusal::Future);
        }
        // The age of a checkpoint is that of the first record it does not cover.
        let anchor = self.times.time_of(snapshot.next).map(|since| Anchor {
            from: snapshot.next,
            since,
        });
        match &self.gap {
            None => {
                if let Some(anchor) = anchor {
                    self.raise_anchor(anchor);
                }
                Next::Ignored
            }
            Some(gap) if snapshot.next < gap.first => Next::Ignored,
            Some(_) => {
                let anchor = anchor.unwrap_or(snapshot.anchor);
                let snapshot = Snapshot { anchor, ..snapshot };
                self.apply_snapshot(snapshot).unwrap_or_else(Next::Refused)
            }
        }
    }
}
