use proptest::collection::{btree_map, btree_set};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::blob::Blob;
use crate::delta::Delta;
use crate::entry::Entries;
use crate::root::{self, Tree};

fn entries() -> impl Strategy<Value = Entries> {
    let blob = proptest::collection::vec(any::<u8>(), 0..4).prop_map(Blob);
    btree_map("[a-c]{1,2}", blob, 0..12)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // The root after a change must equal the root computed from all entries, or
    // instances that started at different times would disagree.
    #[test]
    fn a_change_gives_the_root_of_its_result(old in entries(), new in entries()) {
        let mut tree = Tree::new(old.clone());
        tree.apply(Delta::between(&old, &new));
        prop_assert_eq!(tree.entries(), &new);
        prop_assert_eq!(tree.root(), root::of(&new));
    }

    // A rejected change must be undone completely, whatever it puts and removes.
    #[test]
    fn any_change_can_be_undone(
        old in entries(),
        puts in entries(),
        removes in btree_set("[a-c]{1,2}", 0..6),
    ) {
        let mut tree = Tree::new(old.clone());
        let undo = tree.apply(Delta { puts, removes });
        prop_assert_eq!(tree.root(), root::of(tree.entries()));
        tree.apply(undo);
        prop_assert_eq!(tree.entries(), &old);
        prop_assert_eq!(tree.root(), root::of(&old));
    }
}

#[test]
fn moving_a_byte_between_name_and_value_changes_the_root() {
    let one = Entries::from([("ab".to_owned(), Blob(b"c".to_vec()))]);
    let other = Entries::from([("a".to_owned(), Blob(b"bc".to_vec()))]);
    assert_ne!(root::of(&one), root::of(&other));
}
