use std::collections::BTreeSet;

use super::{life, of};

/// Guards against two endpoints that are taken for one, since a later life of the one has
/// the id of an earlier life of the other.
#[test]
fn each_life_of_each_name_has_an_id_of_its_own() {
    let names = (0..100).map(|number| format!("e{number}"));
    let mut ids = BTreeSet::new();
    for name in names {
        for incarnation in 0..100 {
            assert!(
                ids.insert(life(incarnation, &name)),
                "{name}, {incarnation}"
            );
        }
    }
}

#[test]
fn a_life_is_no_name() {
    assert_ne!(life(0, "e1"), of("e1"));
    assert_ne!(life(1, "e1"), of("e1"));
}
