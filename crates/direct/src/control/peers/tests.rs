use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::id;

use super::peer::{KnownState, PeerError, collect_list, peer_update};
use crate::policy::Content;
use crate::polling::age::{
    ANSWER_TIMEOUT, MAX_POLL_WAIT, MIN_STALE_AGE, RESERVED_TIME, max_age, poll_wait,
    poll_wait_at_reduced_service, remaining_time,
};
use crate::replica::{MAX_CHANGES_PER_ANSWER, Replica, UpdateRequest};
use crate::roster::Registration;
use crate::source::Position;

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn replica(read: u64) -> Replica {
    let mut replica = Replica::new(7);
    replica.confirm_policy(at(read));
    replica.confirm_endpoints(at(read));
    replica
}

fn content(version: u64) -> Content {
    Content {
        version,
        routes: Vec::new(),
        services: BTreeMap::new(),
        keys: None,
        limits: None,
    }
}

fn registration(n: usize) -> Registration {
    let name = format!("e{n}");
    Registration {
        endpoint: Endpoint {
            id: id::from_name(&name),
            name,
            incarnation: 1,
            service: 1,
            models: BTreeSet::new(),
            zone: 1,
            region: 0,
            address: SocketAddr::from(([10, 0, 0, 1], 80)),
            standing: Standing::Live,
        },
        slots: 8,
        warming: Duration::ZERO,
        build: "v1".to_owned(),
        started_at: None,
    }
}

const REQUEST: UpdateRequest = UpdateRequest {
    incarnation: 7,
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
    wait: at(400),
    loads: Vec::new(),
    holders: Vec::new(),
};

/// A peer is cut off from the log. The instances that poll it use an outdated
/// list of endpoints for 2.7 s and send an order to an endpoint that has left.
/// The age limit of an answer, the wait for the next one and its timeout
/// together have to stay below the two seconds allowed.
#[test]
fn a_peer_that_lost_the_log_is_left_in_time() {
    for bound in [2_000, 3_000, 6_000] {
        let oldest = max_age(at(bound)) + poll_wait(at(bound)) + ANSWER_TIMEOUT;
        assert!(oldest < at(bound - 100), "{oldest:?} of {bound} ms");
    }
    assert_eq!(poll_wait(at(2_000)), at(400));
    assert_eq!(poll_wait(at(1_000)), at(0));
}

/// The log is slow or loses a few answers, and updates may be four seconds old.
/// If peers are left at 1.2 s of age all the same, hundreds of instances turn
/// to the log and make it slower.
#[test]
fn a_peer_with_a_slow_log_is_kept_while_time_is_left() {
    assert_eq!(max_age(at(2_000)), MIN_STALE_AGE);
    assert_eq!(max_age(at(4_000)), at(2_200));
    let answer = replica(1_000).build_update(&REQUEST, at(0), at(3_100));
    let update = peer_update(answer, at(50), max_age(at(4_000)));
    assert!(update.is_ok_and(|update| update.policy_confirmed_at == Duration::ZERO));
    let answer = replica(1_000).build_update(&REQUEST, at(0), at(3_300));
    assert!(matches!(
        peer_update(answer, at(50), max_age(at(4_000))),
        Err(PeerError::Stale)
    ));
}

/// The followed peer fails. Another one may be polled only while the log can
/// still be read before the known state is too old.
#[test]
fn another_peer_is_polled_only_while_time_is_left() {
    assert_eq!(remaining_time(at(4_000), at(2_500)), at(1_350));
    assert_eq!(remaining_time(at(2_000), at(1_850)), Duration::ZERO);
    assert_eq!(remaining_time(at(2_000), at(9_000)), Duration::ZERO);
    assert_eq!(
        remaining_time(at(2_000), at(1_000)) + RESERVED_TIME,
        at(1_000)
    );
}

#[test]
fn state_that_is_stale_at_the_peer_is_rejected() {
    let oldest = max_age(at(2_000));
    let answer = replica(1_000).build_update(&REQUEST, at(0), at(1_800));
    assert!(
        peer_update(answer, at(50), oldest)
            .is_ok_and(|update| update.endpoints_confirmed_at == Some(Duration::ZERO))
    );
    let answer = replica(1_000).build_update(&REQUEST, at(0), at(2_300));
    assert!(matches!(
        peer_update(answer, at(50), oldest),
        Err(PeerError::Stale)
    ));
    let answer = Replica::new(7).build_update(&REQUEST, at(0), at(2_000));
    assert!(matches!(
        peer_update(answer, at(50), oldest),
        Err(PeerError::NotReady(0, _))
    ));
}

/// All instances start at once with hundreds of routes. An instance polls again
/// before the routes it received are in force, and the peer sends all of them
/// again, to this and a hundred others.
#[test]
fn a_configuration_is_sent_once() {
    let mut seed = replica(1_000);
    seed.set_policy(content(15));
    let mut known = KnownState::default();
    let poll = |known: &KnownState, seed: &mut Replica| {
        let request = UpdateRequest {
            incarnation: known.incarnation,
            revision: known.revision,
            version: known.version(0),
            ..REQUEST
        };
        seed.build_update(&request, at(0), at(1_100))
    };
    let answer = poll(&known, &mut seed);
    assert!(answer.policy.is_some());
    known.record(&answer);
    let again = poll(&known, &mut seed);
    assert_eq!(again.policy, None);
    known.record(&again);
    seed.set_policy(content(16));
    assert!(poll(&known, &mut seed).policy.is_some());
    // A version in force that came from elsewhere counts as well.
    assert_eq!(known.version(20), 20);
}

/// An answer takes a long time to arrive. Counted from its arrival, a revoked
/// key would stay valid for as much longer, so its age counts from when the
/// request was sent, plus the wait at the peer.
#[test]
fn a_slow_answer_does_not_make_state_look_younger() {
    let answer = replica(1_000).build_update(&REQUEST, at(300), at(1_500));
    let update = peer_update(answer, at(9_000), at(1_200)).ok();
    assert_eq!(
        update.map(|update| update.policy_confirmed_at),
        Some(at(8_800))
    );
}

/// Guards against loads that arrive so late that endpoints exceed the load
/// bound unnoticed, and against hundreds of instances that poll more often than
/// the polled ones can bear.
#[test]
fn loads_are_polled_more_often_while_a_service_is_reduced() {
    for instances in [1, 6, 82] {
        let wait = poll_wait_at_reduced_service(instances);
        assert!(wait < at(500), "{instances}: {wait:?}");
    }
    for instances in [82, 200, 300, 3_300] {
        let wait = poll_wait_at_reduced_service(instances);
        let usual = f64::from(instances) / MAX_POLL_WAIT.as_secs_f64();
        let questions = f64::from(instances) / wait.as_secs_f64();
        assert!(questions <= usual.max(205.0), "{instances}: {questions}");
    }
}

/// Guards against a list that counts as known before its last part is here: endpoints that
/// the missing parts name would be dropped.
#[test]
fn a_list_in_parts_counts_when_it_is_complete() {
    let mut seed = replica(1_000);
    let endpoints = 2 * MAX_CHANGES_PER_ANSWER + 9;
    for n in 0..endpoints {
        seed.set_endpoint(registration(n), Duration::ZERO);
    }
    let mut known = KnownState::default();
    let mut list = None;
    let mut next = || {
        let request = UpdateRequest {
            incarnation: known.incarnation,
            revision: known.revision,
            list_start: known.list_start,
            ..REQUEST
        };
        let answer = seed.build_update(&request, at(0), at(1_100));
        known.record(&answer);
        let more = answer.more;
        let mut update = peer_update(answer, at(50), at(1_200)).expect("a fresh update");
        collect_list(&mut list, &mut update, more);
        (update, more)
    };
    for _ in 0..2 {
        let (update, more) = next();
        assert!(more && !update.full && update.set.is_empty());
        assert_eq!(update.endpoints_confirmed_at, None);
    }
    let (update, more) = next();
    assert!(!more && update.full && update.endpoints_confirmed_at.is_some());
    assert_eq!(update.set.len(), endpoints);
    let (update, _) = next();
    assert!(!update.full && update.set.is_empty() && update.endpoints_confirmed_at.is_some());
}
