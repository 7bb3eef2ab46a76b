//! The home endpoints of chats, and what moves them.

use std::collections::{BTreeMap, BTreeSet};

use godwitpost_decide::view::{Pool, View};
use godwitpost_types::id;
use proptest::prelude::*;

use crate::fleet;

fn pool() -> Pool {
    Pool::for_request(&fleet::request(0))
}

fn homes(view: &View) -> BTreeMap<u64, u64> {
    (0..2_000)
        .map(|chat| {
            let home = view.ranked(pool(), id::scoped(chat, "chat"), 0).next();
            (chat, home.expect("a home"))
        })
        .collect()
}

// An engine joins and a third of all chats lose their context, because a hash
// modulo the number of engines assigns all home endpoints anew.
#[test]
fn joining_endpoint_moves_only_the_chats_that_it_wins() {
    let before = homes(&fleet::view(0, 6, 10));
    let after = homes(&fleet::view(0, 6, 11));
    let joined = fleet::runner(10).id;
    let moved = after.iter().filter(|(chat, home)| before[chat] != **home);
    let moved: Vec<_> = moved.map(|(_, home)| *home).collect();
    assert!(moved.iter().all(|home| *home == joined));
    assert!((120..250).contains(&moved.len()), "{} moved", moved.len());
}

// A chat's next turn arrives through another zone. If the home endpoint
// depended on the entry zone, the context would have to be computed again.
#[test]
fn home_of_a_chat_is_the_same_from_every_zone() {
    let view = fleet::view(0, 6, 10);
    for chat in 0..100 {
        let from = |zone| view.ranked(pool(), chat, id::from_name(zone)).next();
        let homes: BTreeSet<_> = fleet::ZONES.into_iter().map(from).collect();
        assert_eq!(homes.len(), 1);
    }
}

proptest! {
    #[test]
    fn order_of_a_chat_names_each_endpoint_once(chat: u64, runners in 1_usize..40) {
        let view = fleet::view(0, 6, runners);
        let order: Vec<_> = view.ranked(pool(), chat, 0).collect();
        let distinct: BTreeSet<_> = order.iter().collect();
        prop_assert_eq!(order.len(), runners);
        prop_assert_eq!(distinct.len(), runners);
    }

    // Two routers disagree about whether a third is live. The endpoints that
    // the third did not own must have the same owner for both.
    #[test]
    fn missing_instance_moves_only_what_it_owned(missing in 1_usize..6) {
        let runners = || (0..40).map(fleet::runner);
        let all = View::new(1, (0..6).map(fleet::instance), runners());
        let some = (0..6).filter(|i| *i != missing).map(fleet::instance);
        let some = View::new(1, some, runners());
        let gone = fleet::instance(missing).id;
        for runner in runners() {
            let before = all.owner(runner.id);
            prop_assert!(before == gone || before == some.owner(runner.id));
        }
    }
}
