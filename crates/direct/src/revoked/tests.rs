use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{KeyChanges, REMEMBERED, RevokedKeys};
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

fn of(version: u64, keys: &[&str]) -> Policy {
    policy(version, keys.iter().map(|key| (*key).to_owned()))
}

#[test]
fn a_key_that_went_is_known_with_the_version_until_it_returns() {
    let mut revoked = RevokedKeys::default();
    let changes = revoked.record_replacement(&of(3, &["a", "b"]), &of(7, &["b", "c"]));
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
    revoked.record_replacement(&of(7, &["b", "c"]), &of(9, &["a", "b", "c"]));
    assert_eq!(revoked.revoking_version("a"), None);
}

#[test]
fn what_went_longest_ago_is_forgotten_first() {
    let mut revoked = RevokedKeys::default();
    revoked.record_replacement(&of(1, &["first"]), &of(2, &[]));
    let many = policy(3, (0..REMEMBERED).map(|n| n.to_string()));
    revoked.record_replacement(&many, &of(4, &[]));
    assert_eq!(
        (
            revoked.revoking_version("first"),
            revoked.revoking_version("7")
        ),
        (None, Some(4))
    );
}
