use std::collections::BTreeSet;
use std::time::Duration;

use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::endpoints::MIN_REMOVED_ENDPOINTS;
use super::{
    Allowance, Answer, ENDPOINT_BYTES, MAX_CHANGES_PER_ANSWER, MAX_HOLDERS, Replica, Update,
    UpdateRequest, Urgency, bucket_of,
};
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
        build: "v1".to_owned(),
        started_at: None,
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
        list_start: update.list_start,
        digests: Vec::new(),
        peer_address: None,
        forwards: None,
        members: 0,
        link_rate: 0,
        reads_log: false,
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
    list_start: 0,
    digests: Vec::new(),
    peer_address: None,
    forwards: None,
    members: 0,
    link_rate: 0,
    reads_log: false,
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
    for n in 0..=MIN_REMOVED_ENDPOINTS {
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
    assert_ne!(replica.endpoint_digests(), other.endpoint_digests());
    other.set_endpoint(registration("b"), Duration::ZERO);
    assert_eq!(replica.endpoint_digests(), other.endpoint_digests());
    let request = UpdateRequest {
        list_start: 0,
        digests: other.endpoint_digests().to_vec(),
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
    let before = replica.endpoint_digests().to_vec();
    replica.mark_expired("a");
    assert_ne!(replica.endpoint_digests(), before);
    replica.remove_endpoint("a");
    assert!(replica.endpoint_digests().iter().all(|digest| *digest == 0));
    let update = replica.build_update(&FIRST_REQUEST, Duration::ZERO, at(1));
    assert!(update.full);
}

/// Guards against an endpoint whose warm-up starts over at each instance that learns of
/// it later.
#[test]
fn an_update_carries_the_remaining_warm_up_time() {
    let mut replica = Replica::new(7);
    replica.set_endpoint(registration("a"), at(5_000));
    let mut remaining = |now| {
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
                    service: 1,
                    parts: Vec::new(),
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

// Adds `count` endpoints.
fn replica_of(count: usize) -> Replica {
    let mut replica = Replica::new(7);
    for n in 0..count {
        replica.set_endpoint(registration(&format!("e{n}")), Duration::ZERO);
    }
    replica.confirm_policy(at(1));
    replica.confirm_endpoints(at(1));
    replica
}

// Applies the endpoint changes of an update.
fn apply(update: &Update, known: &mut BTreeSet<String>) {
    for name in update.removed.iter().chain(&update.expired) {
        known.remove(name);
    }
    known.extend(names(update).into_iter().map(str::to_owned));
}

/// Guards against a list that doesn't fit into the time that an answer may take: it is sent
/// in parts, each of which has to be answered at once.
#[test]
fn a_long_list_is_sent_in_parts() {
    let count = 3 * MAX_CHANGES_PER_ANSWER + 5;
    let mut replica = replica_of(count);
    let mut request = FIRST_REQUEST;
    let mut known = BTreeSet::new();
    for part in 0..4 {
        assert_eq!(replica.urgency(&request), Urgency::Full);
        assert!(replica.is_listing(&request));
        let update = replica.build_update(&request, at(0), at(2));
        assert_eq!((update.full, update.more), (part == 0, part < 3));
        assert!(update.set.len() <= MAX_CHANGES_PER_ANSWER);
        apply(&update, &mut known);
        request = next_request(&update);
    }
    assert_eq!(known.len(), count);
    assert!(!replica.is_listing(&request));
    assert_eq!(replica.urgency(&request), Urgency::None);
}

/// Guards against a list that lacks an endpoint or keeps one that is gone, since endpoints
/// come, change and go while its parts are sent.
#[test]
fn changes_between_the_parts_of_a_list_are_included() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    for _ in 0..20 {
        let mut replica = replica_of(3 * MAX_CHANGES_PER_ANSWER);
        let mut request = FIRST_REQUEST;
        let mut known = BTreeSet::new();
        loop {
            let update = replica.build_update(&request, at(0), at(2));
            assert_eq!(update.full, request.incarnation == 0);
            apply(&update, &mut known);
            request = next_request(&update);
            if !update.more {
                break;
            }
            for _ in 0..rng.random_range(0..200) {
                let name = format!("e{}", rng.random_range(0..5 * MAX_CHANGES_PER_ANSWER));
                match rng.random_range(0..3) {
                    0 => replica.remove_endpoint(&name),
                    1 => replica.mark_expired(&name),
                    _ => replica.set_endpoint(registration(&name), Duration::ZERO),
                }
            }
        }
        let mut other = Replica::new(8);
        for name in &known {
            other.set_endpoint(registration(name), Duration::ZERO);
        }
        let full = replica.endpoint_names();
        let expired = replica.endpoints.changes_after(0, usize::MAX).entries;
        let expired = expired.iter().filter(|(_, entry)| entry.has_expired());
        assert_eq!(known.len() + expired.count(), full.len());
        assert!(known.iter().all(|name| full.contains(name)));
    }
}

/// Guards against a list that begins again for ever: entries that never changed are older
/// than the removals that are remembered.
#[test]
fn a_list_goes_on_although_older_removals_are_forgotten() {
    let mut replica = replica_of(2 * MAX_CHANGES_PER_ANSWER);
    for n in 0..5 * MAX_CHANGES_PER_ANSWER {
        let name = format!("gone{n}");
        replica.set_endpoint(registration(&name), Duration::ZERO);
        replica.remove_endpoint(&name);
    }
    let mut request = FIRST_REQUEST;
    let mut answers = 0;
    loop {
        let update = replica.build_update(&request, at(0), at(2));
        answers += 1;
        assert_eq!(update.full, answers == 1);
        request = next_request(&update);
        if !update.more {
            break;
        }
    }
    assert!(answers < 8, "{answers}");
}

/// An instance that must wait for its list gets what has to be acted on in time at once.
#[test]
fn an_answer_without_a_part_carries_the_policy() {
    let mut replica = replica_of(5);
    replica.set_policy(Content {
        version: 3,
        ..Content::default()
    });
    let answer = replica.build_answer(&FIRST_REQUEST, Allowance::Nothing, at(0), at(2));
    let update = answer.and_then(super::Answer::into_update);
    let update = update.expect("an update");
    assert_eq!(
        (update.full, update.more, update.set.len()),
        (true, true, 0)
    );
    assert_eq!(
        update.policy.as_ref().map(|content| content.version),
        Some(3)
    );
    let update = replica.build_update(&next_request(&update), at(0), at(2));
    assert_eq!(
        (update.full, update.more, update.set.len()),
        (false, false, 5)
    );
}

/// Guards against a seed that encodes a change once for each instance that has to learn of
/// it, and a list of ten thousand endpoints a thousand times when all start at once.
#[test]
fn a_part_is_encoded_once_for_all_that_ask() {
    for pollers in [100, 400] {
        let mut replica = replica_of(3 * MAX_CHANGES_PER_ANSWER);
        for _ in 0..pollers {
            let mut request = FIRST_REQUEST;
            for _ in 0..3 {
                let answer = replica
                    .build_answer(&request, Allowance::Part, at(0), at(2))
                    .expect("an answer");
                request = next_request(&answer.update);
            }
        }
        assert_eq!(replica.encoded_parts(), 3, "{pollers} pollers");
    }
}

/// Guards against a cost of each change that grows with the number of endpoints: only what
/// changed is looked at.
#[test]
fn a_change_costs_the_same_among_more_endpoints() {
    for count in [2_500, 10_000] {
        let mut replica = replica_of(count);
        let revision = replica.endpoints.last_change();
        replica.set_endpoint(registration("e7"), Duration::ZERO);
        replica.remove_endpoint("e9");
        let changes = replica.endpoints.changes_after(revision, usize::MAX);
        assert_eq!(changes.entries.len(), 2, "{count} endpoints");
    }
}

/// Guards against the full list for all that poll during a release that replaces half of
/// the endpoints: as many removals are remembered as there are endpoints.
#[test]
fn removals_of_half_of_the_endpoints_are_remembered() {
    for count in [2_500, 10_000] {
        let mut replica = replica_of(count);
        let mut request = FIRST_REQUEST;
        loop {
            let update = replica.build_update(&request, at(0), at(2));
            request = next_request(&update);
            if !update.more {
                break;
            }
        }
        for n in 0..count / 2 {
            replica.set_endpoint(registration(&format!("new{n}")), Duration::ZERO);
            replica.remove_endpoint(&format!("e{n}"));
        }
        assert!(
            !replica.build_update(&request, at(0), at(2)).full,
            "{count}"
        );
    }
}

/// The digest is kept as endpoints change, and has to be that of the current ones.
#[test]
fn the_digest_depends_on_the_current_endpoints_alone() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut changed = Replica::new(7);
    for _ in 0..2_000 {
        let name = format!("e{}", rng.random_range(0..50));
        match rng.random_range(0..3) {
            0 => changed.remove_endpoint(&name),
            1 => changed.mark_expired(&name),
            _ => changed.set_endpoint(registration(&name), Duration::ZERO),
        }
    }
    let mut same = Replica::new(8);
    let entries = changed.endpoints.changes_after(0, usize::MAX).entries;
    for (name, entry) in entries.iter().filter(|(_, entry)| !entry.is_removed()) {
        same.set_endpoint(registration(name), Duration::ZERO);
        if entry.has_expired() {
            same.mark_expired(name);
        }
    }
    assert_eq!(changed.endpoint_digests(), same.endpoint_digests());
}

/// Guards against full lists for hundreds of instances that turn to another seed during a
/// release: their endpoints differ from the seed's in the last few changes.
#[test]
fn a_request_with_other_digests_gets_the_buckets_that_differ() {
    let count = 10_000;
    let mut replica = replica_of(count);
    let mut other = replica_of(count);
    for n in 0..4 {
        replica.set_endpoint(registration(&format!("new{n}")), Duration::ZERO);
        replica.remove_endpoint(&format!("e{n}"));
        replica.mark_expired(&format!("e{}", 10 + n));
    }
    let request = UpdateRequest {
        digests: other.endpoint_digests().to_vec(),
        ..FIRST_REQUEST
    };
    assert_eq!(replica.urgency(&request), Urgency::Full);
    assert!(!replica.is_listing(&request));
    let update = replica.build_update(&request, at(0), at(2));
    assert!(!update.full && !update.more);
    assert!(update.set.len() < 12 * count / 400, "{}", update.set.len());
    let listed = |name: &String| update.buckets.contains(&bucket_of(name));
    let named: BTreeSet<&str> = names(&update).into_iter().collect();
    let gone: Vec<String> = other
        .endpoint_names()
        .into_iter()
        .filter(|name| listed(name) && !named.contains(name.as_str()))
        .filter(|name| !update.expired.contains(name))
        .collect();
    assert_eq!(gone, ["e0", "e1", "e2", "e3"]);
    for registration in &update.set {
        other.set_endpoint(registration.clone(), Duration::ZERO);
    }
    for name in &gone {
        other.remove_endpoint(name);
    }
    for name in &update.expired {
        other.mark_expired(name);
    }
    assert_eq!(other.endpoint_digests(), replica.endpoint_digests());
}

/// Where most of the endpoints differ, the list is sent, in parts.
#[test]
fn a_request_that_lacks_many_endpoints_gets_the_list() {
    let mut replica = replica_of(3 * MAX_CHANGES_PER_ANSWER);
    let request = UpdateRequest {
        digests: replica_of(MAX_CHANGES_PER_ANSWER)
            .endpoint_digests()
            .to_vec(),
        ..FIRST_REQUEST
    };
    let update = replica.build_update(&request, at(0), at(2));
    assert!(update.full && update.more && update.buckets.is_empty());
}

// An entry as endpoints write it, with ids of the usual size.
fn fleet_registration(n: u64) -> Registration {
    let name = format!("i-{n:010x}");
    let incarnation = 1_764_700_000_000 + n * 31;
    Registration {
        endpoint: Endpoint {
            id: id::from_name(&name),
            incarnation,
            service: id::from_name("drafts"),
            models: BTreeSet::from([id::from_name("m")]),
            zone: id::from_name(["a", "b", "c"][usize::try_from(n % 3).unwrap_or(0)]),
            region: id::from_name("north"),
            address: format!("10.7.{}.{}:8464", n / 200 % 200, n % 200)
                .parse()
                .expect("an address"),
            name,
            ..registration("one").endpoint
        },
        slots: 12,
        started_at: std::time::UNIX_EPOCH.checked_add(at(incarnation)),
        ..registration("one")
    }
}

/// Guards against lists that take more of a link than they need to: one seed that is left
/// sends a thousand of them when all instances start.
#[test]
fn a_list_takes_few_bytes_for_each_endpoint() {
    let mut replica = Replica::new(7);
    for n in 0..512 {
        replica.set_endpoint(fleet_registration(n), Duration::ZERO);
    }
    replica.confirm_policy(at(1_000));
    replica.confirm_endpoints(at(1_000));
    let answer = replica.build_answer(&FIRST_REQUEST, Allowance::Part, at(0), at(1_000));
    let bytes = answer
        .and_then(|answer| answer.encode())
        .expect("an answer")
        .len();
    assert!(bytes < 512 * ENDPOINT_BYTES, "{bytes} bytes");
}

/// Guards against entries that change on the way, whatever their endpoints wrote.
#[test]
fn entries_arrive_as_they_were_sent() {
    let unusual = Registration {
        endpoint: Endpoint {
            id: 5,
            address: "[::1]:80".parse().expect("an address"),
            standing: Standing::Leaving,
            ..registration("unusual").endpoint
        },
        warming: at(1_234),
        build: String::new(),
        started_at: Some(std::time::UNIX_EPOCH + Duration::from_nanos(1_500_000_001)),
        ..registration("unusual")
    };
    let unknown_start = registration("unknown start");
    let sent = [
        unusual,
        unknown_start,
        fleet_registration(1),
        fleet_registration(2),
    ];
    let mut replica = Replica::new(7);
    for one in &sent {
        replica.set_endpoint(one.clone(), at(1_000) + one.warming);
    }
    replica.confirm_policy(at(1_000));
    replica.confirm_endpoints(at(1_000));
    let mut received = replica.build_update(&FIRST_REQUEST, at(0), at(1_000)).set;
    received.sort_by_key(|one| one.endpoint.name.clone());
    let mut sent = sent.to_vec();
    sent.sort_by_key(|one| one.endpoint.name.clone());
    assert_eq!(received, sent);
}

/// Guards against a link that is filled with configurations while hundreds start, so that
/// the parts of lists which were given a turn arrive too late.
#[test]
fn a_busy_peer_sends_a_starting_instance_no_policy() {
    let mut replica = Replica::new(7);
    replica.set_policy(Content {
        version: 3,
        ..Content::default()
    });
    replica.set_endpoint(registration("a"), Duration::ZERO);
    replica.confirm_policy(at(1_000));
    replica.confirm_endpoints(at(1_000));
    let part = replica.list_part_bytes(&FIRST_REQUEST).ok().flatten();
    let policy = replica.policy_after(0).expect("an encoded policy").len();
    let expected = u32::try_from(policy + ENDPOINT_BYTES).ok();
    assert_eq!(part, expected);
    let answer = replica.build_answer(&FIRST_REQUEST, Allowance::NoPolicy, at(0), at(1_000));
    let update = answer.and_then(Answer::into_update).expect("an answer");
    assert!(update.policy.is_none() && update.set.is_empty() && update.more);
}
