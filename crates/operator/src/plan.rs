//! Builds the signed records that lead from the version in force to a bundle.
//!
//! Usually this is one record. A first bundle with thousands of workspaces
//! does not fit into one record and is rolled in several versions, each of
//! which is a complete bundle: first the entries that workspaces refer to,
//! then workspaces, and removals last.

use std::time::Duration;

use godwitpost_bundle::blob::Digest;
use godwitpost_bundle::delta::Delta;
use godwitpost_bundle::entry::{self, Entries, WORKSPACE};
use godwitpost_bundle::fold::{Fold, Next};
use godwitpost_bundle::key::PrivateKey;
use godwitpost_bundle::lineage::{Link, Operators};
use godwitpost_bundle::record::{self, Change, MAX_RECORD_BYTES, Record};
use godwitpost_bundle::root::{self, Tree};
use godwitpost_bundle::schema::Bundle;
use godwitpost_bundle::signature;
use godwitpost_bundle::snapshot::{Anchor, Snapshot};
use godwitpost_bundle::statement::Statement;
use godwitpost_types::id::{Offset, Version};

use crate::error::Error;

/// The bytes of entries in one record of several; the rest is for encoding.
const CHUNK_BYTES: usize = MAX_RECORD_BYTES / 2;

/// One signed version, ready to append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Signed {
    /// Its version.
    pub version: Version,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// The operator who signs.
#[derive(Clone, Debug)]
pub struct Signer {
    /// The operator's name in the bundle in force.
    pub operator: String,
    /// The private key.
    pub key: PrivateKey,
}

/// Returns the signed records that lead from `fold` to `bundle`; none if it is
/// already in force.
///
/// # Errors
///
/// Returns an error if the version does not follow, if nothing changes, or if
/// routers would refuse the result.
pub fn sign(fold: &Fold, bundle: &Bundle, signer: &Signer) -> Result<Vec<Signed>, Error> {
    let current = fold.version();
    let target = entry::split(bundle);
    let in_force = fold
        .tree()
        .map_or_else(Entries::new, |tree| tree.entries().clone());
    let same = in_force == target;
    if same && bundle.version <= current {
        // The command was run before with an unknown outcome.
        return Ok(Vec::new());
    }
    if bundle.version != current + 1 {
        return Err(Error::Version {
            current,
            found: bundle.version,
            next: current + 1,
        });
    }
    if same {
        return Err(Error::Same(current));
    }
    let mut fold = fold.clone();
    let mut versions = Vec::new();
    for entries in intermediate_entries(in_force, target)? {
        let version = fold.version() + 1;
        let bundle = entry::join(version, &entries).map_err(Error::Entry)?;
        let bytes = encode_change(fold.tree(), &bundle, signer)?;
        dry_run(&mut fold, &bytes)?;
        versions.push(Signed { version, bytes });
    }
    Ok(versions)
}

/// Returns the records of a checkpoint that covers everything before `next`,
/// for a fleet whose stream no longer has its bundle.
///
/// # Errors
///
/// Returns an error if routers would refuse it.
pub fn anew(
    bundle: &Bundle,
    signer: &Signer,
    roots: Vec<Digest>,
    next: Offset,
) -> Result<Vec<Vec<u8>>, Error> {
    let entries = entry::split(bundle);
    let root = root::of(&entries);
    let statement = Statement::new(bundle, Digest::ZERO, root, &signer.operator);
    let signature = signature::sign(&statement, &signer.key);
    let snapshot = Snapshot {
        next,
        // Readers use the time of the checkpoint itself.
        anchor: Anchor {
            from: next,
            since: Duration::ZERO,
        },
        lineage: vec![Link {
            statement: statement.clone(),
            signature,
            operators: Operators::of(bundle),
        }],
        statement,
        signature,
        entries,
    };
    let mut fold = Fold::new(bundle.fleet.name.clone(), roots);
    fold.apply_snapshot(snapshot.clone())
        .map_err(Error::Refused)?;
    let parts = record::checkpoint(&snapshot);
    parts
        .iter()
        .map(|part| part.encode().map_err(Error::Record))
        .collect()
}

fn encode_change(
    parent: Option<&Tree>,
    bundle: &Bundle,
    signer: &Signer,
) -> Result<Vec<u8>, Error> {
    let change = Change::sign(parent, bundle, &signer.operator, &signer.key);
    Record::Change(change).encode().map_err(Error::Record)
}

// Applies the record to a local fold, to see before anything is appended
// whether routers would refuse it.
fn dry_run(fold: &mut Fold, bytes: &[u8]) -> Result<(), Error> {
    match fold.apply(fold.next_offset(), Duration::ZERO, bytes) {
        Next::Refused(refusal) => Err(Error::Refused(refusal)),
        Next::InForce(_) | Next::Ignored | Next::Waiting => Ok(()),
    }
}

// Returns the entries after each version.
fn intermediate_entries(in_force: Entries, target: Entries) -> Result<Vec<Entries>, Error> {
    let delta = Delta::between(&in_force, &target);
    if delta_bytes(&delta) <= CHUNK_BYTES {
        return Ok(vec![target]);
    }
    let (workspaces, others): (Entries, Entries) = delta
        .puts
        .into_iter()
        .partition(|(name, _)| name.starts_with(WORKSPACE));
    let mut tree = Tree::new(in_force);
    let mut steps = Vec::new();
    let mut chunk = Delta::default();
    for (name, blob) in others.into_iter().chain(workspaces) {
        let bytes = name.len() + blob.0.len();
        if bytes > CHUNK_BYTES {
            return Err(Error::TooLarge);
        }
        if delta_bytes(&chunk) + bytes > CHUNK_BYTES {
            tree.apply(std::mem::take(&mut chunk));
            steps.push(tree.entries().clone());
        }
        chunk.puts.insert(name, blob);
    }
    tree.apply(chunk);
    steps.push(tree.entries().clone());
    if tree.root() != Tree::new(target.clone()).root() {
        steps.push(target);
    }
    Ok(steps)
}

fn delta_bytes(delta: &Delta) -> usize {
    let puts = delta.puts.iter();
    let puts = puts.map(|(name, blob)| name.len() + blob.0.len());
    puts.chain(delta.removes.iter().map(String::len)).sum()
}

/// Returns the statement's version and digest of a signed record's bytes.
#[must_use]
pub fn statement(bytes: &[u8]) -> Option<(Version, Digest)> {
    match Record::decode(bytes) {
        Ok(Record::Change(change)) => Some((change.statement.version, change.statement.digest())),
        Ok(Record::Checkpoint(_)) | Err(record::Error::IllFormed | record::Error::TooLarge(..)) => {
            None
        }
    }
}
