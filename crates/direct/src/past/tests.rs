use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::id;

use super::{MIN_INTERVAL_FRACTION, Past};
use crate::roster::Registration;
use crate::source::{Record, Value};

const SERVICE: u64 = 7;
const HEARTBEAT: Duration = Duration::from_secs(1);

fn record(name: &str, value: Value<Registration>) -> Record<Registration> {
    Record {
        key: name.to_owned(),
        offset: 0,
        value,
    }
}

fn set(name: &str, build: &str) -> Record<Registration> {
    let registration = Registration {
        endpoint: Endpoint {
            id: 1,
            name: name.to_owned(),
            incarnation: 1,
            service: SERVICE,
            models: BTreeSet::new(),
            zone: 1,
            region: 0,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 80)),
            standing: Standing::Live,
        },
        slots: 8,
        warming: Duration::ZERO,
        build: build.to_owned(),
        started_at: None,
    };
    record(name, Value::Set(registration))
}

fn removed(name: &str) -> Record<Registration> {
    record(name, Value::Removed)
}

// Returns this many heartbeats of some endpoints of a build.
fn heartbeats(count: usize, names: &[&str], build: &str) -> Vec<Record<Registration>> {
    let round = || names.iter().map(|name| set(name, build));
    (0..count).flat_map(|_| round()).collect()
}

fn past(records: &[Vec<Record<Registration>>]) -> Past {
    let mut past = Past::new(false);
    for some in records {
        past.add(some);
    }
    past
}

fn reach_of(intervals: u32) -> Duration {
    HEARTBEAT.mul_f64(MIN_INTERVAL_FRACTION) * intervals
}

// Returns the builds with these names, each last mentioned so many intervals ago.
fn builds_of(named: &[(&str, u32)]) -> BTreeMap<(u64, u64), Duration> {
    let of =
        |(name, intervals): &(&str, u32)| ((SERVICE, id::from_name(name)), reach_of(*intervals));
    named.iter().map(of).collect()
}

#[test]
fn heartbeats_tell_how_far_records_reach_back() {
    let past = past(&[heartbeats(11, &["a", "b", "c"], "v1")]);
    assert_eq!(past.reach(HEARTBEAT), reach_of(10));
    assert_eq!(past.builds(HEARTBEAT), builds_of(&[("v1", 0)]));
    assert_eq!(Past::new(false).reach(HEARTBEAT), Duration::ZERO);
}

#[test]
fn records_of_which_none_was_deleted_reach_back_to_the_first() {
    let mut past = Past::new(true);
    past.add(&[set("a", "v1"), set("b", "v2"), removed("a")]);
    assert_eq!(past.reach(HEARTBEAT), Duration::MAX);
    assert_eq!(past.builds(HEARTBEAT), builds_of(&[("v1", 0), ("v2", 0)]));
}

#[test]
fn builds_of_endpoints_that_have_left_are_known() {
    let past = past(&[
        heartbeats(5, &["a", "b"], "v1"),
        heartbeats(5, &["c", "d"], "v2"),
        vec![removed("a"), removed("b")],
        heartbeats(2, &["c", "d"], "v2"),
    ]);
    assert_eq!(past.builds(HEARTBEAT), builds_of(&[("v1", 1), ("v2", 0)]));
    // What comes before the endpoints that are left counts for nothing, as nobody that is left
    // tells how long it took.
    assert_eq!(past.reach(HEARTBEAT), reach_of(6));
}

/// Guards against counting a build as gone since its last record where its endpoint is back at
/// another one, which nothing but that endpoint's next record tells.
#[test]
fn build_serves_until_its_endpoint_is_back_at_another_one() {
    let past = past(&[
        vec![set("a", "v1")],
        heartbeats(8, &["c"], "v2"),
        vec![set("a", "v2")],
        heartbeats(3, &["c"], "v2"),
    ]);
    let gone_for = past.builds(HEARTBEAT);
    assert_eq!(gone_for, builds_of(&[("v1", 2), ("v2", 0)]));
}

/// Guards against records that seem to tell all builds although one endpoint's are deleted
/// already, and only its removal is left.
#[test]
fn removal_of_an_unknown_endpoint_hides_what_was_before() {
    let past = past(&[
        heartbeats(8, &["c", "d"], "v2"),
        vec![removed("a")],
        heartbeats(3, &["c", "d"], "v2"),
    ]);
    assert_eq!(past.reach(HEARTBEAT), reach_of(2));
}

/// Guards against one endpoint that writes its entry oftener than others, and against one that
/// was silent.
#[test]
fn single_endpoints_do_not_change_the_reach() {
    let past = past(&[
        heartbeats(40, &["a"], "v1"),
        heartbeats(1, &["b"], "v1"),
        heartbeats(10, &["c", "d", "e"], "v1"),
    ]);
    assert_eq!(past.reach(HEARTBEAT), reach_of(9));
}

/// Guards against another writer's entries that hide what was before, or count as heartbeats.
#[test]
fn unreadable_entries_name_no_endpoint() {
    let unreadable = || record("x", Value::Unreadable("no address".to_owned()));
    let past = past(&[
        vec![unreadable()],
        heartbeats(4, &["a"], "v1"),
        vec![unreadable(), removed("x")],
        heartbeats(1, &["a"], "v1"),
    ]);
    assert_eq!(past.reach(HEARTBEAT), reach_of(4));
    assert_eq!(past.builds(HEARTBEAT), builds_of(&[("v1", 0)]));
}
