//! What must hold after every step.

use std::collections::BTreeMap;

use godwitpost_bundle::blob::Digest;
use godwitpost_bundle::fold::{Fold, Next, Refusal};
use godwitpost_bundle::root::Tree;
use godwitpost_types::id::Version;

use super::instance::Instance;
use super::operators::new_fold;
use super::stream::Stream;

/// Counts over one or more schedules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// An instance went back, or began to serve with an older version than
    /// the stream's end or its peer gave it.
    pub reversions: u32,
    /// An instance held what a reader of every record never did, or another
    /// version than that reader at the same place.
    pub disagreements: u32,
    /// An instance read the whole stream, within the log's contract, and
    /// could not tell what is in force.
    pub stranded: u32,
    /// Versions that came into force.
    pub in_force: u32,
    /// Changes that lost to another with the same parent.
    pub races_lost: u32,
    /// Steps at which an instance had a gap before it.
    pub gaps: u32,
    /// Checkpoint records seen.
    pub checkpoints: u32,
}

impl Tally {
    /// Adds the counts of another schedule.
    pub fn add(&mut self, other: &Self) {
        self.reversions += other.reversions;
        self.disagreements += other.disagreements;
        self.stranded += other.stranded;
        self.in_force += other.in_force;
        self.races_lost += other.races_lost;
        self.gaps += other.gaps;
        self.checkpoints += other.checkpoints;
    }
}

/// A reader of every record, and what the instances held so far.
#[derive(Debug)]
pub(super) struct Judge {
    harsh: bool,
    reader: Fold,
    // One state for each version in force, the empty one first.
    history: Vec<Fold>,
    // The version in force before each offset.
    versions: Vec<Version>,
    roots: BTreeMap<Version, Digest>,
    served: BTreeMap<usize, Version>,
    tally: Tally,
}

impl Judge {
    pub fn new(harsh: bool) -> Self {
        Self {
            harsh,
            reader: new_fold(),
            history: vec![new_fold()],
            versions: vec![0],
            roots: BTreeMap::new(),
            served: BTreeMap::new(),
            tally: Tally::default(),
        }
    }

    /// Returns the states that were in force, oldest first.
    pub fn history(&self) -> &[Fold] {
        &self.history
    }

    pub fn into_tally(self) -> Tally {
        self.tally
    }

    /// Reads what is new on the stream.
    pub fn stream(&mut self, stream: &Stream) {
        for (offset, time, bytes) in stream.all(self.versions.len() - 1) {
            match self.reader.apply(offset, time, bytes) {
                Next::InForce(version) => {
                    self.tally.in_force += 1;
                    self.roots.insert(version, root(&self.reader));
                    self.history.push(self.reader.clone());
                }
                Next::Refused(Refusal::Lost { .. } | Refusal::Parent) => {
                    self.tally.races_lost += 1;
                }
                Next::Ignored => self.tally.checkpoints += 1,
                Next::Refused(_) | Next::Waiting => {}
            }
            self.versions.push(self.reader.version());
        }
    }

    pub fn restarted(&mut self, index: usize) {
        self.served.remove(&index);
    }

    pub fn instance(&mut self, index: usize, instance: &Instance) {
        let fold = &instance.fold;
        self.tally.gaps += u32::from(fold.has_gap());
        let version = fold.version();
        let held = (version > 0).then(|| root(fold));
        if held != self.roots.get(&version).copied() {
            self.tally.disagreements += 1;
        }
        if instance.placed() && Some(version) != self.version_at(fold.next_offset()) {
            self.tally.disagreements += 1;
        }
        if let Some(version) = instance.version() {
            self.serves(index, version);
        }
        let end = fold.next_offset() + 1 >= self.versions.len() as u64;
        if !self.harsh && end && fold.has_gap() && self.reader.version() > 0 {
            self.tally.stranded += 1;
        }
    }

    // Within one life the version never goes back. At its start an instance
    // must not serve an older one than those that serve already, or, if none
    // does, than the stream holds.
    fn serves(&mut self, index: usize, version: Version) {
        let others = self.served.iter().filter(|(other, _)| **other != index);
        let current = self.reader.version();
        let oldest = others.map(|(_, version)| *version).min();
        let floor = match self.served.get(&index) {
            Some(before) => *before,
            None => oldest.unwrap_or(current).min(current),
        };
        if version < floor {
            self.tally.reversions += 1;
        }
        self.served.insert(index, version);
    }

    fn version_at(&self, offset: u64) -> Option<Version> {
        let offset = usize::try_from(offset).ok()?;
        self.versions.get(offset).copied()
    }
}

fn root(fold: &Fold) -> Digest {
    fold.tree().map_or(Digest::ZERO, Tree::root)
}
