//! Keys that were taken away, and by which version.
//!
//! A request with a key that isn't known is refused alike, whether its caller
//! mistyped it or lost it. Whoever is asked why must be able to tell these
//! apart, so the instance remembers digests of the keys that it saw go.

use std::collections::BTreeMap;

use godwitpost_types::id::{self, Version};

use crate::policy::Policy;

/// Keys that are remembered, some 50 bytes each: all of the letter's 8,900
/// workspaces could change theirs.
const REMEMBERED: usize = 10_000;

/// The keys that went.
#[derive(Clone, Debug, Default)]
pub struct RevokedKeys {
    versions: BTreeMap<u64, Version>,
}

/// How many keys came and went with a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyChanges {
    /// Keys that are new.
    pub added: usize,
    /// Keys that are gone.
    pub removed: usize,
}

impl RevokedKeys {
    /// Takes in that `new` replaces `old`.
    pub fn record_replacement(&mut self, old: &Policy, new: &Policy) -> KeyChanges {
        let none = BTreeMap::new();
        let old = old.content().keys.as_ref().unwrap_or(&none);
        let newer = new.content().keys.as_ref().unwrap_or(&none);
        let added = newer.keys().filter(|key| !old.contains_key(*key));
        let mut changes = KeyChanges {
            added: 0,
            removed: 0,
        };
        for key in added {
            self.versions.remove(&id::of(key));
            changes.added += 1;
        }
        for key in old.keys().filter(|key| !newer.contains_key(*key)) {
            self.versions.insert(id::of(key), new.version());
            changes.removed += 1;
        }
        self.forget();
        changes
    }

    /// Returns the version that took a key away, if one is remembered to have.
    #[must_use]
    pub fn revoking_version(&self, key: &str) -> Option<Version> {
        self.versions.get(&id::of(key)).copied()
    }

    // Those that went longest ago are the least likely to be asked for.
    fn forget(&mut self) {
        while self.versions.len() > REMEMBERED {
            let oldest = self.versions.values().min().copied();
            self.versions.retain(|_, version| Some(*version) != oldest);
        }
    }
}

#[cfg(test)]
mod tests;
