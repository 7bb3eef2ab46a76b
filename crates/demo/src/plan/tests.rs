use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{Session, draw};
use crate::deployment::KITAKAZE;

fn drawn(seed: u64) -> Vec<Session> {
    draw(&KITAKAZE, 1000, &mut ChaCha8Rng::seed_from_u64(seed))
}

#[test]
fn one_seed_gives_one_plan() {
    assert_eq!(drawn(3), drawn(3));
    assert_ne!(drawn(3), drawn(4));
}

#[test]
fn the_mix_is_as_stated() {
    let (mut chats, mut orders, mut lookups) = (0, 0, 0);
    for session in drawn(3) {
        match session {
            Session::Chat(_) => chats += session.requests(),
            Session::Order(_) => orders += 1,
            Session::Lookup(_) => lookups += 1,
        }
    }
    assert_eq!(chats + orders + lookups, 1000);
    assert!((500..700).contains(&chats), "{chats} turns of chats");
    assert!((120..280).contains(&orders), "{orders} orders");
}

/// Two orders under one key would be one order.
#[test]
fn keys_are_unique() {
    let sessions = drawn(3);
    let keys = sessions.iter().filter_map(|session| match session {
        Session::Order(order) => Some(&order.key),
        _ => None,
    });
    let mut keys: Vec<_> = keys.collect();
    let all = keys.len();
    keys.sort();
    keys.dedup();
    assert_eq!(keys.len(), all);
}
