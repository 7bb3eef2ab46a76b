use std::collections::BTreeSet;
use std::time::Duration;

use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{MAX_HOLDERS, MAX_REMOVED_ENDPOINTS, Replica, Update, UpdateRequest, Urgency};
use crate::crashes::{Evidence, Observed};
use crate::evacuation::Evacuation;
use crate::holders::{MAX_HOLDERS_PER_MESSAGE, PrefixHolder};
use crate::policy::Content;
use crate::roster::Registration;
use crate::source::Position;

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn registration(name: &str) -> Registration {
    Registration {
        endpoint: Endpoint {
            id: id::from_name(name),
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

// Returns whether an update contains anything but ages.
const fn has_changes(update: &Update) -> bool {
    let entries = update.set.len() + update.expired.len() + update.removed.len();
    let changes = entries + update.evidence.len();
    update.full || update.policy.is_some() || update.evacuation.is_some() || changes > 0
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
        holders: Vec::new(),
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
    holders: Vec::new(),
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
fn a_later_request_gets_only_changes() {
    let mut replica = Replica::new(7);
    replica.set_endpoint(registration("a"), Duration::ZERO);
    replica.set_endpoint(registration("b"), Duration::ZERO);
    let first = replica.build_update(&FIRST_REQUEST, at(0), at(0));
    assert!(first.full);
    assert_eq!(names(&first), ["a", "b"]);
    assert!(!has_changes(&replica.build_update(
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

/// A restarted instance counts revisions from the start. If it answered an old revision
/// with only later changes, a peer would keep endpoints that left in between.
#[test]
fn a_revision_of_another_incarnation_gets_the_full_state() {
    let mut replica = Replica::new(7);
    replica.set_endpoint(registration("a"), Duration::ZERO);
    let first = replica.build_update(&FIRST_REQUEST, at(0), at(0));
    let mut next = Replica::new(8);
    next.set_endpoint(registration("b"), Duration::ZERO);
    let update = next.build_update(&next_request(&first), at(0), at(0));
    assert!(update.full);
    assert_eq!(names(&update), ["b"]);
}

/// More endpoints left while a peer was away than are remembered.
#[test]
fn a_revision_older_than_remembered_removals_gets_the_full_state() {
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

/// Guards against a revoked key that stays in use for another lease because the answering
/// instance, which lost the log four seconds ago, sends its state without an age.
#[test]
fn an_update_carries_the_age_of_its_content() {
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
    let request = UpdateRequest {
        version: 3,
        ..FIRST_REQUEST
    };
    assert_eq!(
        replica.build_update(&request, at(0), at(5_000)).policy,
        None
    );
}

/// Guards against an endpoint that a peer adds again after reading its removal, because
/// the answering instance lost the log and still has the entry as expired.
#[test]
fn an_expired_entry_is_sent_as_expired() {
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
    let full = replica.build_update(&FIRST_REQUEST, at(0), at(0));
    assert_eq!(
        (names(&full), &full.expired),
        (vec!["b"], &vec!["a".to_owned()])
    );
    replica.set_endpoint(registration("a"), Duration::ZERO);
    let returned = replica.build_update(&next_request(&update), at(0), at(0));
    assert_eq!((names(&returned), returned.expired.len()), (vec!["a"], 0));
}

/// Each of hundreds of polling instances gets the holders that it doesn't have yet: the
/// newest, as many as fit in one message. They cause no early answer.
#[test]
fn holders_are_sent_once_and_cause_no_early_answer() {
    let mut replica = Replica::new(7);
    let holder = |prefix| PrefixHolder {
        prefix,
        endpoint: 1,
        age: at(5),
    };
    for prefix in 0..2 * MAX_HOLDERS as u64 {
        replica.add_holder(holder(prefix), at(prefix));
    }
    let now = at(2 * MAX_HOLDERS as u64);
    let update = replica.build_update(&FIRST_REQUEST, at(0), now);
    assert_eq!(update.holders.len(), MAX_HOLDERS_PER_MESSAGE);
    assert_eq!(update.holders[0].prefix, 2 * MAX_HOLDERS as u64 - 1);
    assert_eq!(update.holders[0].age, at(6));
    replica.add_holder(holder(1), now);
    let update = replica.build_update(&next_request(&update), at(0), now);
    assert_eq!(update.holders, vec![holder(1)]);
    assert!(!has_changes(&update));
    let update = replica.build_update(&next_request(&update), at(0), now);
    assert!(update.holders.is_empty());
}

/// Three hundred instances that start together read the log and then poll. Sending all of
/// them the full list of endpoints overloads the three that they poll.
#[test]
fn a_request_with_the_same_digest_gets_no_list() {
    let mut replica = Replica::new(7);
    let mut other = Replica::new(8);
    replica.set_endpoint(registration("a"), Duration::ZERO);
    replica.set_endpoint(registration("b"), Duration::ZERO);
    // Set in another order, and with one endpoint that changed in between.
    let changed = Registration {
        slots: 9,
        ..registration("b")
    };
    other.set_endpoint(changed.clone(), Duration::ZERO);
    other.set_endpoint(registration("a"), Duration::ZERO);
    assert_ne!(replica.endpoint_digest(), other.endpoint_digest());
    other.set_endpoint(registration("b"), Duration::ZERO);
    assert_eq!(replica.endpoint_digest(), other.endpoint_digest());
    let request = UpdateRequest {
        digest: other.endpoint_digest(),
        ..FIRST_REQUEST
    };
    let update = replica.build_update(&request, Duration::ZERO, at(1));
    assert!(!update.full && update.set.is_empty() && update.removed.is_empty());
    // Later changes are sent.
    replica.remove_endpoint("a");
    let update = replica.build_update(&next_request(&update), Duration::ZERO, at(1));
    assert_eq!(update.removed, ["a"]);
}

/// An endpoint whose entry expired while this instance couldn't read the log must not
/// count as the same as the live entry of another instance.
#[test]
fn an_expired_entry_changes_the_digest() {
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

/// Guards against an endpoint whose warm-up starts over at each instance that learns of
/// it later.
#[test]
fn an_update_carries_the_remaining_warm_up_time() {
    let mut replica = Replica::new(7);
    replica.set_endpoint(registration("a"), at(5_000));
    let remaining = |now| {
        replica
            .build_update(&FIRST_REQUEST, Duration::ZERO, at(now))
            .set[0]
            .warming
    };
    assert_eq!(remaining(2_000), at(3_000));
    assert_eq!(remaining(4_500), at(500));
    assert_eq!(remaining(9_000), Duration::ZERO);
}

/// Guards against peers that wait although something changed, and against hundreds of
/// answers without a change.
#[test]
fn urgency_agrees_with_the_update() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..300 {
        let mut replica = Replica::new(7);
        let mut request = FIRST_REQUEST;
        assert_eq!(replica.urgency(&request), Urgency::NotReady);
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
                    let update = replica.build_update(&request, Duration::ZERO, at(2));
                    request = next_request(&update);
                    request.version = rng.random_range(0..5);
                    request.evacuation = position(&mut rng);
                }
            }
            let update = replica.build_update(&request, Duration::ZERO, at(2));
            let expected = match (update.full || update.policy.is_some(), has_changes(&update)) {
                (true, _) => Urgency::Full,
                (false, true) => Urgency::Incremental,
                (false, false) => Urgency::None,
            };
            assert_eq!(replica.urgency(&request), expected);
        }
    }
}

/// Guards against prompts that are processed again because their new holders were never
/// sent to peers: when a zone is evacuated, a quarter of a thousand prompts moves at
/// once.
#[test]
fn holders_of_all_moved_prompts_are_sent() {
    let mut replica = Replica::new(7);
    let request = next_request(&replica.build_update(&FIRST_REQUEST, Duration::ZERO, at(0)));
    for prefix in 0..500 {
        let holder = PrefixHolder {
            prefix,
            endpoint: 3,
            age: Duration::ZERO,
        };
        replica.add_holder(holder, at(1));
    }
    let update = replica.build_update(&request, Duration::ZERO, at(2));
    assert_eq!(update.holders.len(), 500);
}
