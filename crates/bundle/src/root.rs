//! The root digest of all entries, updated incrementally.
//!
//! Entries are assigned to buckets by the digest of their name. A bucket's
//! digest covers the sorted digests of its entries, and the root covers the
//! digests of the buckets. A change of one entry rehashes one bucket and the
//! root instead of every entry: `docs/design/bundles.md` has the figures.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;

use blake3::Hasher;

use crate::blob::{Blob, Digest};
use crate::delta::Delta;
use crate::entry::Entries;

/// At 8,900 entries a bucket has 35, about a kilobyte of digests, and the root
/// covers eight kilobytes. With more buckets the root would cost more to hash
/// than smaller buckets save; with fewer buckets the reverse.
const BUCKETS: usize = 256;

/// Entries with their root digest.
#[derive(Clone, Debug)]
pub struct Tree {
    entries: Entries,
    buckets: Vec<Bucket>,
    root: Digest,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    leaves: BTreeSet<Digest>,
    digest: Digest,
}

impl Tree {
    /// Builds the tree of `entries`.
    #[must_use]
    pub fn new(entries: Entries) -> Self {
        let mut buckets = vec![Bucket::default(); BUCKETS];
        for (name, blob) in &entries {
            buckets[bucket_index(name)]
                .leaves
                .insert(leaf_digest(name, blob));
        }
        for bucket in &mut buckets {
            bucket.digest = bucket_digest(&bucket.leaves);
        }
        let root = root_digest(&buckets);
        Self {
            entries,
            buckets,
            root,
        }
    }

    /// Returns the entries.
    #[must_use]
    pub const fn entries(&self) -> &Entries {
        &self.entries
    }

    /// Returns the root digest.
    #[must_use]
    pub const fn root(&self) -> Digest {
        self.root
    }

    /// Applies a change and returns the change that undoes it.
    pub fn apply(&mut self, delta: Delta) -> Delta {
        let mut undo = Delta::default();
        let mut changed = BTreeSet::new();
        for name in delta.removes {
            if let Some(old) = self.entries.remove(&name) {
                changed.insert(self.drop_leaf(&name, &old));
                undo.puts.insert(name, old);
            }
        }
        for (name, blob) in delta.puts {
            let index = bucket_index(&name);
            self.buckets[index].leaves.insert(leaf_digest(&name, &blob));
            changed.insert(index);
            match self.entries.insert(name.clone(), blob) {
                Some(old) if self.entries[&name] != old => {
                    self.drop_leaf(&name, &old);
                    undo.puts.entry(name).or_insert(old);
                }
                Some(_same) => {}
                None if undo.puts.contains_key(&name) => {}
                None => {
                    undo.removes.insert(name);
                }
            }
        }
        for index in changed {
            let bucket = &mut self.buckets[index];
            bucket.digest = bucket_digest(&bucket.leaves);
        }
        self.root = root_digest(&self.buckets);
        undo
    }

    fn drop_leaf(&mut self, name: &str, blob: &Blob) -> usize {
        let index = bucket_index(name);
        self.buckets[index].leaves.remove(&leaf_digest(name, blob));
        index
    }
}

/// Returns the root digest of `entries`.
#[must_use]
pub fn of(entries: &Entries) -> Digest {
    let mut leaves = vec![BTreeSet::new(); BUCKETS];
    for (name, blob) in entries {
        leaves[bucket_index(name)].insert(leaf_digest(name, blob));
    }
    let mut hasher = Hasher::new();
    for leaves in &leaves {
        hasher.update(&bucket_digest(leaves).0);
    }
    Digest(*hasher.finalize().as_bytes())
}

fn bucket_index(name: &str) -> usize {
    usize::from(blake3::hash(name.as_bytes()).as_bytes()[0])
}

// The length of the name is hashed first, so that no two pairs of name and
// bytes produce the same input.
fn leaf_digest(name: &str, blob: &Blob) -> Digest {
    let mut hasher = Hasher::new();
    hasher.update(&(name.len() as u64).to_le_bytes());
    hasher.update(name.as_bytes());
    hasher.update(&blob.0);
    Digest(*hasher.finalize().as_bytes())
}

fn bucket_digest(leaves: &BTreeSet<Digest>) -> Digest {
    if leaves.is_empty() {
        return Digest::ZERO;
    }
    let mut hasher = Hasher::new();
    for leaf in leaves {
        hasher.update(&leaf.0);
    }
    Digest(*hasher.finalize().as_bytes())
}

fn root_digest(buckets: &[Bucket]) -> Digest {
    let mut hasher = Hasher::new();
    for bucket in buckets {
        hasher.update(&bucket.digest.0);
    }
    Digest(*hasher.finalize().as_bytes())
}
