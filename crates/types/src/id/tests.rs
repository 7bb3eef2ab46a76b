use std::collections::BTreeSet;

use super::{from_name, incarnation_id};

/// Guards against two endpoints that are taken for one because a later incarnation of one
/// has the id of an earlier incarnation of the other.
#[test]
fn each_incarnation_of_each_name_has_a_distinct_id() {
    let names = (0..100).map(|number| format!("e{number}"));
    let mut ids = BTreeSet::new();
    for name in names {
        for incarnation in 0..100 {
            assert!(
                ids.insert(incarnation_id(incarnation, &name)),
                "{name}, {incarnation}"
            );
        }
    }
}

#[test]
fn an_incarnation_id_differs_from_the_id_of_its_name() {
    assert_ne!(incarnation_id(0, "e1"), from_name("e1"));
    assert_ne!(incarnation_id(1, "e1"), from_name("e1"));
}
