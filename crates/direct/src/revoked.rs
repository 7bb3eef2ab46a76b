//! Keys that were revoked, and the version that revoked each.
//!
//! A request with an unknown key gets the same refusal whether its caller
//! mistyped the key or lost it. To let support staff tell these cases apart,
//! the instance remembers digests of the keys that it saw being revoked.

use std::collections::BTreeMap;

use godwitpost_types::id::{self, Version};

use crate::policy::Policy;

/// The number of keys remembered, at some 50 bytes each. All workspaces of a
/// deployment with 8,900 of them could change their keys.
const MAX_REVOKED_KEYS: usize = 10_000;

/// The revoked keys.
#[derive(Clone, Debug, Default)]
pub struct RevokedKeys {
    versions: BTreeMap<u64, Version>,
}

/// How many keys a version added and removed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyChanges {
    /// The number of new keys.
    pub added: usize,
    /// The number of revoked keys.
    pub removed: usize,
}

impl RevokedKeys {
    /// Records that the version `new` replaces `old`.
    pub fn record_replacement(&mut self, old: &Policy, new: &Policy) -> KeyChanges {
        let no_keys = BTreeMap::new();
        let old_keys = old.content().keys.as_ref().unwrap_or(&no_keys);
        let new_keys = new.content().keys.as_ref().unwrap_or(&no_keys);
        let added_keys = new_keys.keys().filter(|key| !old_keys.contains_key(*key));
        let mut changes = KeyChanges {
            added: 0,
            removed: 0,
        };
        for key in added_keys {
            self.versions.remove(&id::from_name(key));
            changes.added += 1;
        }
        for key in old_keys.keys().filter(|key| !new_keys.contains_key(*key)) {
            self.versions.insert(id::from_name(key), new.version());
            changes.removed += 1;
        }
        self.drop_oldest();
        changes
    }

    /// Returns the version that revoked a key, if that is remembered.
    #[must_use]
    pub fn revoking_version(&self, key: &str) -> Option<Version> {
        self.versions.get(&id::from_name(key)).copied()
    }

    // Drops the keys revoked longest ago, which are the least likely to be
    // looked up.
    fn drop_oldest(&mut self) {
        while self.versions.len() > MAX_REVOKED_KEYS {
            let oldest = self.versions.values().min().copied();
            self.versions.retain(|_, version| Some(*version) != oldest);
        }
    }
}

#[cfg(test)]
mod tests;
