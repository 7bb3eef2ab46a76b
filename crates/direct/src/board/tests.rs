use std::collections::BTreeSet;
use std::time::Duration;

use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{MAX_HOLDINGS, MAX_REMOVED_ENDPOINTS, Replica, Update, UpdateRequest, Urgency};
use crate::evacuation::Evacuation;
use crate::holders::{MAX_HOLDERS_PER_MESSAGE, PrefixHolder};
use crate::policy::Content;
use crate::roster::Registration;
use crate::source::Position;
use crate::suspects::{Evidence, Observed};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn registration(name: &str) -> Registration {
    Registration {
        endpoint: Endpoint {
            id: id::of(name),
            name: name.to_owned(),
            incarnation: 1,
            service: 1,
            models: BTreeSet::new(),
            zone: 1,
            region: 0,
            address: "10.0.0.1:80".parse().expect("an address"),
            standing: Standing::Live,
        },
        slots: 8,
        warming: Duration::ZERO,
    }
}

// Whether it says anything but ages.
const fn is_news(update: &Update) -> bool {
    let entries = update.set.len() + update.expired.len() + update.removed.len();
    let more = entries + update.evidence.len();
    update.full || update.policy.is_some() || update.evacuation.is_some() || more > 0
}

const fn next_request(update: &Update) -> UpdateRequest {
    UpdateRequest {
        incarnation: update.incarnation,
        revision: update.revision,
        digest: 0,
        peer_address: None,
        version: 0,
        evacuation: Position::START,
        wait: Duration::ZERO,
        loads: Vec::new(),
        holdings: Vec::new(),
    }
}

const FIRST_REQUEST: UpdateRequest = UpdateRequest {
    incarnation: 0,
    revision: 0,
    digest: 0,
    peer_address: None,
    version: 0,
    evacuation: Position::START,
    wait: Duration::ZERO,
    loads: Vec::new(),
    holdings: Vec::new(),
};

fn position(rng: &mut ChaCha8Rng) -> Position {
    Position {
        era: rng.random_range(0..2),
        offset: rng.random_range(0..5),
    }
}

fn names(update: &Update) -> Vec<&str> {
    update
        .set
        .iter()
        .map(|one| one.endpoint.name.as_str())
        .collect()
}

#[test]
fn who_asks_again_is_told_what_changed() {
    let mut replica = Replica::new(7);
    replica.set_endpoint(registration("a"), Duration::ZERO);
    replica.set_endpoint(registration("b"), Duration::ZERO);
    let first = replica.build_update(&FIRST_REQUEST, at(0), at(0));
    assert!(first.full);
    assert_eq!(names(&first), ["a", "b"]);
    assert!(!is_news(&replica.build_update(
        &next_request(&first),
        at(0),
        at(0)
    )));
    replica.remove_endpoint("a");
    replica.set_endpoint(registration("c"), Duration::ZERO);
    let second = replica.build_update(&next_request(&first), at(0), at(0));
    assert!(!second.full);
    assert_eq!(names(&second), ["c"]);
    assert_eq!(second.removed, ["a"]);
}

/// The instance that was asked has been replaced by a new one, which counts
/// its stamps from the beginning. Told only what comes after an old stamp, a
/// peer would keep endpoints that left in between.
#[test]
fn a_stamp_of_another_life_is_worth_nothing() {
    let mut replica = Replica::new(7);
    replica.set_endpoint(registration("a"), Duration::ZERO);
    let first = replica.build_update(&FIRST_REQUEST, at(0), at(0));
    let mut next = Replica::new(8);
    next.set_endpoint(registration("b"), Duration::ZERO);
    let update = next.build_update(&next_request(&first), at(0), at(0));
    assert!(update.full);
    assert_eq!(names(&update), ["b"]);
}

/// A peer was away while more endpoints left than are remembered.
#[test]
fn a_stamp_from_before_what_is_remembered_is_worth_nothing() {
    let mut replica = Replica::new(7);
    replica.set_endpoint(registration("stays"), Duration::ZERO);
    let first = replica.build_update(&FIRST_REQUEST, at(0), at(0));
    for n in 0..=MAX_REMOVED_ENDPOINTS {
        replica.set_endpoint(registration(&n.to_string()), Duration::ZERO);
        replica.remove_endpoint(&n.to_string());
    }
    let update = replica.build_update(&next_request(&first), at(0), at(0));
    assert!(update.full);
    assert_eq!(names(&update), ["stays"]);
}

/// The one that is asked was itself turned away by the log four seconds ago.
/// Told without its age, a revoked key would live on for another lease.
#[test]
fn what_is_told_carries_its_age() {
    let mut replica = Replica::new(7);
    assert_eq!(
        replica
            .build_update(&FIRST_REQUEST, at(0), at(9))
            .policy_age,
        None
    );
    replica.set_policy(Content {
        version: 3,
        ..Content::default()
    });
    replica.confirm_policy(at(1_000));
    replica.confirm_policy(at(400));
    replica.confirm_endpoints(at(2_000));
    let update = replica.build_update(&FIRST_REQUEST, at(0), at(5_000));
    assert_eq!(update.policy_age, Some(at(4_000)));
    assert_eq!(update.endpoints_age, Some(at(3_000)));
    assert_eq!(update.policy.map(|content| content.version), Some(3));
    let knows = UpdateRequest {
        version: 3,
        ..FIRST_REQUEST
    };
    assert_eq!(replica.build_update(&knows, at(0), at(5_000)).policy, None);
}

/// The instance that was asked had been turned away by the log, and kept an
/// entry that had lapsed for all it knew. It had really been removed, and a
/// peer that had read so took the endpoint in again.
#[test]
fn a_lapsed_entry_is_told_as_one() {
    let mut replica = Replica::new(7);
    replica.set_endpoint(registration("a"), Duration::ZERO);
    replica.set_endpoint(registration("b"), Duration::ZERO);
    let first = replica.build_update(&FIRST_REQUEST, at(0), at(0));
    replica.mark_expired("a");
    let update = replica.build_update(&next_request(&first), at(0), at(0));
    assert_eq!(
        (names(&update).len(), &update.expired),
        (0, &vec!["a".to_owned()])
    );
    let whole = replica.build_update(&FIRST_REQUEST, at(0), at(0));
    assert_eq!(
        (names(&whole), &whole.expired),
        (vec!["b"], &vec!["a".to_owned()])
    );
    replica.set_endpoint(registration("a"), Duration::ZERO);
    let back = replica.build_update(&next_request(&update), at(0), at(0));
    assert_eq!((names(&back), back.expired.len()), (vec!["a"], 0));
}

/// Hundreds of instances ask, and each is told what it doesn't know yet of who
/// holds what: the newest, a message's worth. No answer is given early for it.
#[test]
fn holders_are_told_once_and_wake_nobody() {
    let mut replica = Replica::new(7);
    let holding = |span| PrefixHolder {
        span,
        endpoint: 1,
        age: at(5),
    };
    for span in 0..2 * MAX_HOLDINGS as u64 {
        replica.add_holding(holding(span), at(span));
    }
    let now = at(2 * MAX_HOLDINGS as u64);
    let update = replica.build_update(&FIRST_REQUEST, at(0), now);
    assert_eq!(update.holdings.len(), MAX_HOLDERS_PER_MESSAGE);
    assert_eq!(update.holdings[0].span, 2 * MAX_HOLDINGS as u64 - 1);
    assert_eq!(update.holdings[0].age, at(6));
    replica.add_holding(holding(1), now);
    let update = replica.build_update(&next_request(&update), at(0), now);
    assert_eq!(update.holdings, vec![holding(1)]);
    assert!(!is_news(&update));
    let update = replica.build_update(&next_request(&update), at(0), now);
    assert!(update.holdings.is_empty());
}

/// Three hundred instances start together, read the log, and then ask. Told all
/// endpoints again, they kept the three that are asked busy with what they knew.
#[test]
fn who_knows_the_same_is_told_no_list() {
    let mut replica = Replica::new(7);
    let mut other = Replica::new(8);
    replica.set_endpoint(registration("a"), Duration::ZERO);
    replica.set_endpoint(registration("b"), Duration::ZERO);
    // Another order, and one that has changed in between.
    let leaving = Registration {
        slots: 9,
        ..registration("b")
    };
    other.set_endpoint(leaving.clone(), Duration::ZERO);
    other.set_endpoint(registration("a"), Duration::ZERO);
    assert_ne!(replica.endpoint_digest(), other.endpoint_digest());
    other.set_endpoint(registration("b"), Duration::ZERO);
    assert_eq!(replica.endpoint_digest(), other.endpoint_digest());
    let asks = UpdateRequest {
        digest: other.endpoint_digest(),
        ..FIRST_REQUEST
    };
    let update = replica.build_update(&asks, Duration::ZERO, at(1));
    assert!(!update.full && update.set.is_empty() && update.removed.is_empty());
    // From then on changes are told.
    replica.remove_endpoint("a");
    let update = replica.build_update(&next_request(&update), Duration::ZERO, at(1));
    assert_eq!(update.removed, ["a"]);
}

/// An endpoint left while an instance that is asked was away from the log, and its
/// entry counts as lapsed there. Another one knows it as live: that is not the same.
#[test]
fn a_lapsed_entry_shows_in_the_digest() {
    let mut replica = Replica::new(7);
    replica.set_endpoint(registration("a"), Duration::ZERO);
    let before = replica.endpoint_digest();
    replica.mark_expired("a");
    assert_ne!(replica.endpoint_digest(), before);
    replica.remove_endpoint("a");
    assert_eq!(replica.endpoint_digest(), 0);
    let update = replica.build_update(&FIRST_REQUEST, Duration::ZERO, at(1));
    assert!(update.full);
}

/// Guards against an endpoint that warms up anew at each instance that is told of it
/// later.
#[test]
fn what_is_left_of_warming_up_is_told() {
    let mut replica = Replica::new(7);
    replica.set_endpoint(registration("a"), at(5_000));
    let left = |now| {
        replica
            .build_update(&FIRST_REQUEST, Duration::ZERO, at(now))
            .set[0]
            .warming
    };
    assert_eq!(left(2_000), at(3_000));
    assert_eq!(left(4_500), at(500));
    assert_eq!(left(9_000), Duration::ZERO);
}

/// Guards against peers that wait although there is news, and against answers by the
/// hundred without any.
#[test]
fn urgency_agrees_with_what_is_told() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..300 {
        let mut replica = Replica::new(7);
        let mut asked = FIRST_REQUEST;
        assert_eq!(replica.urgency(&asked), Urgency::NotReady);
        replica.confirm_policy(at(1));
        replica.confirm_endpoints(at(1));
        for _ in 0..30 {
            let name = ["a", "b", "c"][rng.random_range(0..3)];
            match rng.random_range(0..7) {
                0 => replica.set_endpoint(registration(name), Duration::ZERO),
                1 => replica.remove_endpoint(name),
                2 => replica.mark_expired(name),
                3 => replica.set_policy(Content {
                    version: rng.random_range(0..5),
                    ..Content::default()
                }),
                4 => replica.set_evacuation(Evacuation {
                    as_of: position(&mut rng),
                    ..Evacuation::NONE
                }),
                5 => replica.add_evidence(Evidence {
                    digest: [7; 16],
                    observed: Observed::Answered,
                    sent_at: at(0),
                    observed_at: at(1),
                }),
                _ => {
                    let update = replica.build_update(&asked, Duration::ZERO, at(2));
                    asked = next_request(&update);
                    asked.version = rng.random_range(0..5);
                    asked.evacuation = position(&mut rng);
                }
            }
            let update = replica.build_update(&asked, Duration::ZERO, at(2));
            let wanted = match (update.full || update.policy.is_some(), is_news(&update)) {
                (true, _) => Urgency::Full,
                (false, true) => Urgency::Incremental,
                (false, false) => Urgency::None,
            };
            assert_eq!(replica.urgency(&asked), wanted);
        }
    }
}

/// Guards against prompts that are read anew since their new holders were told to
/// nobody: a quarter of a thousand prompts moves at once when a zone is left.
#[test]
fn holders_of_all_prompts_that_moved_are_told() {
    let mut replica = Replica::new(7);
    let asked = next_request(&replica.build_update(&FIRST_REQUEST, Duration::ZERO, at(0)));
    for span in 0..500 {
        let holding = PrefixHolder {
            span,
            endpoint: 3,
            age: Duration::ZERO,
        };
        replica.add_holding(holding, at(1));
    }
    let update = replica.build_update(&asked, Duration::ZERO, at(2));
    assert_eq!(update.holdings.len(), 500);
}
