use std::collections::BTreeSet;
use std::time::Duration;

use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::id;

use super::{Registration, Removal, Roster, Setting};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn endpoint(name: &str, standing: Standing) -> Registration {
    let endpoint = Endpoint {
        id: id::of(name),
        name: name.to_owned(),
        incarnation: 1,
        service: 1,
        models: BTreeSet::new(),
        zone: 1,
        region: 1,
        address: "10.0.0.1:80".parse().expect("an address"),
        standing,
    };
    Registration { endpoint, slots: 6 }
}

fn names(roster: &Roster) -> Vec<&str> {
    roster
        .registrations()
        .map(|one| one.endpoint.name.as_str())
        .collect()
}

/// The log was down for six seconds and all heartbeats lapsed. On its return
/// every entry is removed and set again within two seconds; meanwhile callers
/// must still be served.
#[test]
fn entries_that_lapsed_with_the_log_away_are_kept_until_they_are_back() {
    let mut roster = Roster::new(HEARTBEAT);
    roster.reached(at(0));
    roster.set(endpoint("a", Standing::Live));
    roster.set(endpoint("b", Standing::Live));
    roster.reached(at(6_000));
    assert_eq!(roster.remove("a", at(6_000)), Removal::Kept);
    assert_eq!(roster.remove("b", at(6_100)), Removal::Kept);
    assert_eq!(names(&roster), ["a", "b"]);
    roster.reached(at(7_000));
    let back = roster.set(endpoint("a", Standing::Live));
    assert_eq!(back, Setting::Returned);
    assert_eq!(roster.expire(at(8_000)), [""; 0]);
    assert_eq!(roster.expire(at(8_300)), ["b"]);
    assert_eq!(names(&roster), ["a"]);
}

/// With the log well, a runner that never says it is leaving just has its
/// entry removed. Requests sent to it after the bound would be cut.
#[test]
fn an_entry_removed_while_the_log_is_well_is_gone_at_once() {
    let mut roster = Roster::new(HEARTBEAT);
    roster.reached(at(0));
    roster.set(endpoint("a", Standing::Live));
    roster.reached(at(1_000));
    assert_eq!(roster.remove("a", at(1_000)), Removal::Gone);
    // One lost poll is no absence in which an entry could lapse.
    roster.set(endpoint("a", Standing::Live));
    roster.reached(at(3_100));
    assert_eq!(roster.remove("a", at(3_100)), Removal::Gone);
}

#[test]
fn an_endpoint_that_was_leaving_is_never_kept() {
    let mut roster = Roster::new(HEARTBEAT);
    roster.reached(at(0));
    roster.set(endpoint("a", Standing::Leaving));
    roster.reached(at(9_000));
    assert_eq!(roster.remove("a", at(9_000)), Removal::Gone);
}

#[test]
fn a_mere_heartbeat_changes_nothing() {
    let mut roster = Roster::new(HEARTBEAT);
    let mut set = |standing| roster.set(endpoint("a", standing));
    assert_eq!(set(Standing::Live), Setting::Changed);
    assert_eq!(set(Standing::Live), Setting::Same);
    assert_eq!(set(Standing::Leaving), Setting::Changed);
}
