//! The difference between two versions: entries put and entries removed.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::entry::Entries;

/// A set of entries to put and to remove.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Entries that are new or whose bytes differ.
    pub puts: Entries,
    /// Names of entries to remove.
    pub removes: BTreeSet<String>,
}

impl Delta {
    /// Returns the change that turns `old` into `new`.
    #[must_use]
    pub fn between(old: &Entries, new: &Entries) -> Self {
        let puts = new
            .iter()
            .filter(|(name, blob)| old.get(*name) != Some(*blob))
            .map(|(name, blob)| (name.clone(), blob.clone()))
            .collect();
        let removes = old
            .keys()
            .filter(|name| !new.contains_key(*name))
            .cloned()
            .collect();
        Self { puts, removes }
    }

    /// Returns whether nothing changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.puts.is_empty() && self.removes.is_empty()
    }

    /// Returns the names of all entries that it puts or removes.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.puts.keys().chain(&self.removes).map(String::as_str)
    }
}
