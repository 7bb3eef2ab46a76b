//! Tests of the fold; each test writes its own stream.

mod gaps;
mod order;
mod peers;
mod schedules;

use std::time::Duration;

use crate::blob::Digest;
use crate::fold::{Fold, Next};
use crate::key::PrivateKey;
use crate::record::{self, Change, Record};
use crate::root::Tree;
use crate::schema::{Bundle, Operator, Workspace};
use crate::source;
use crate::source::tests::FULL_BUNDLE;

/// A stream and the fold of all its records.
pub(crate) struct Stream {
    pub(crate) records: Vec<Vec<u8>>,
    pub(crate) outcomes: Vec<Next>,
    reader: Fold,
}

pub(crate) fn root_key() -> PrivateKey {
    PrivateKey::from_seed(&[1; 32])
}

/// Operators of every test bundle.
pub(crate) fn operator_key(name: &str) -> PrivateKey {
    PrivateKey::from_seed(&[name.as_bytes()[0]; 32])
}

pub(crate) fn new_fold() -> Fold {
    Fold::new("kitakaze", [root_key().public()])
}

/// Returns the test bundle of a version with this `concurrency`.
pub(crate) fn bundle(version: u64, concurrency: u32) -> Bundle {
    let mut bundle = source::read(FULL_BUNDLE).expect("it is right");
    bundle.version = version;
    bundle.operators.clear();
    for name in ["asahikawa", "kushiro"] {
        let key = operator_key(name).public();
        bundle.operators.insert(name.to_owned(), Operator { key });
    }
    let otaru = bundle.workspaces.get_mut("otaru").expect("it is there");
    otaru.concurrency = concurrency;
    bundle
}

impl Stream {
    pub(crate) fn new() -> Self {
        Self {
            records: Vec::new(),
            outcomes: Vec::new(),
            reader: new_fold(),
        }
    }

    /// Returns a stream with the versions 1 to `last`.
    pub(crate) fn rolled(last: u64) -> Self {
        let mut stream = Self::new();
        for version in 1..=last {
            stream.roll(version);
        }
        stream
    }

    pub(crate) fn fold(&self) -> &Fold {
        &self.reader
    }

    /// Returns the change to a version of the test bundle without appending it.
    pub(crate) fn change(&self, version: u64, concurrency: u32) -> Record {
        self.sign(&bundle(version, concurrency), "asahikawa")
    }

    pub(crate) fn sign(&self, bundle: &Bundle, operator: &str) -> Record {
        let mut bundle = bundle.clone();
        if let Some(tree) = self.reader.tree() {
            let held = crate::entry::join(1, tree.entries()).expect("it is in force");
            for (name, workspace) in held.workspaces {
                bundle.workspaces.entry(name).or_insert(workspace);
            }
        }
        let parent = self.reader.tree();
        let key = if parent.is_some() {
            operator_key(operator)
        } else {
            root_key()
        };
        Record::Change(Change::sign(parent, &bundle, operator, &key))
    }

    pub(crate) fn append(&mut self, record: &Record) -> Next {
        let bytes = record.encode().expect("it fits");
        let offset = self.records.len() as u64;
        let next = self.reader.apply(offset, time(offset), &bytes);
        self.records.push(bytes);
        self.outcomes.push(next.clone());
        next
    }

    pub(crate) fn roll(&mut self, version: u64) {
        let change = self.change(version, u32::try_from(version).expect("it is small"));
        assert_eq!(self.append(&change), Next::InForce(version));
    }

    /// Rolls a version with this many workspaces.
    pub(crate) fn roll_many(&mut self, version: u64, count: u32) {
        let mut bundle = bundle(version, 1);
        for index in 0..count {
            let workspace = Workspace {
                weight: 1.0,
                rate: 50.0,
                concurrency: 40,
                services: ["drafting".to_owned(), "ordering".to_owned()].into(),
            };
            bundle.workspaces.insert(format!("w{index}"), workspace);
        }
        let change = self.sign(&bundle, "asahikawa");
        assert_eq!(self.append(&change), Next::InForce(version));
    }

    /// Appends the checkpoint that an instance would write.
    pub(crate) fn checkpoint(&mut self, writer: &Fold) {
        let snapshot = writer.snapshot().expect("it is in force");
        for part in record::checkpoint(&snapshot) {
            self.append(&part);
        }
    }

    /// Applies the records from an offset on and returns the last result.
    pub(crate) fn read(&self, from: u64, fold: &mut Fold) -> Next {
        let mut next = Next::Ignored;
        for (offset, bytes) in (0..).zip(&self.records).skip(to_usize(from)) {
            next = fold.apply(offset, time(offset), bytes);
        }
        next
    }
}

pub(crate) fn to_usize(offset: u64) -> usize {
    usize::try_from(offset).expect("it is small")
}

pub(crate) fn time(offset: u64) -> Duration {
    Duration::from_secs(1_000 + offset)
}

pub(crate) fn root(fold: &Fold) -> Digest {
    fold.tree().map_or(Digest::ZERO, Tree::root)
}
