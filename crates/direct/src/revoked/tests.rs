use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{KeyChanges, MAX_REVOKED_KEYS, RevokedKeys};
use crate::policy::{Content, Policy, Workspace};

fn policy(version: u64, keys: impl Iterator<Item = String>) -> Policy {
    let workspace = Arc::new(Workspace {
        name: "franchise".to_owned(),
        rank: None,
        homes: BTreeSet::new(),
    });
    let keys: BTreeMap<_, _> = keys.map(|key| (key, Arc::clone(&workspace))).collect();
    Policy::new(Content {
        version,
        keys: Some(keys),
        ..Content::default()
    })
}

fn policy_with(version: u64, keys: &[&str]) -> Policy {
    policy(version, keys.iter().map(|key| (*key).to_owned()))
}

#[test]
fn a_revoked_key_is_known_with_its_version_until_it_returns() {
    let mut revoked = RevokedKeys::default();
    let changes =
        revoked.record_replacement(&policy_with(3, &["a", "b"]), &policy_with(7, &["b", "c"]));
    assert_eq!(
        changes,
        KeyChanges {
            added: 1,
            removed: 1
        }
    );
    assert_eq!(
        (revoked.revoking_version("a"), revoked.revoking_version("b")),
        (Some(7), None)
    );
    assert_eq!(revoked.revoking_version("mistyped"), None);
    revoked.record_replacement(
        &policy_with(7, &["b", "c"]),
        &policy_with(9, &["a", "b", "c"]),
    );
    assert_eq!(revoked.revoking_version("a"), None);
}

#[test]
fn the_oldest_revoked_keys_are_dropped_first() {
    let mut revoked = RevokedKeys::default();
    revoked.record_replacement(&policy_with(1, &["first"]), &policy_with(2, &[]));
    let many = policy(3, (0..MAX_REVOKED_KEYS).map(|n| n.to_string()));
    revoked.record_replacement(&many, &policy_with(4, &[]));
    assert_eq!(
        (
            revoked.revoking_version("first"),
            revoked.revoking_version("7")
        ),
        (None, Some(4))
    );
}
