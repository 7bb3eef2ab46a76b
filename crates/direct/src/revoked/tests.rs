use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{Changes, REMEMBERED, Revoked};
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
    let mut revoked = Revoked::default();
    let changes = revoked.replaced(&of(3, &["a", "b"]), &of(7, &["b", "c"]));
    assert_eq!(
        changes,
        Changes {
            added: 1,
            removed: 1
        }
    );
    assert_eq!((revoked.by("a"), revoked.by("b")), (Some(7), None));
    assert_eq!(revoked.by("mistyped"), None);
    revoked.replaced(&of(7, &["b", "c"]), &of(9, &["a", "b", "c"]));
    assert_eq!(revoked.by("a"), None);
}

#[test]
fn what_went_longest_ago_is_forgotten_first() {
    let mut revoked = Revoked::default();
    revoked.replaced(&of(1, &["first"]), &of(2, &[]));
    let many = policy(3, (0..REMEMBERED).map(|n| n.to_string()));
    revoked.replaced(&many, &of(4, &[]));
    assert_eq!((revoked.by("first"), revoked.by("7")), (None, Some(4)));
}
