use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, SystemTime};

use godwitpost_types::clock::Moment;
use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::id;

use super::{
    Builds, Census, Continuity, MAX_LIST_AGE, Mention, Statement, agree, earliest_knowledge,
};
use crate::roster::Registration;

const SERVICE: u64 = 7;
const OTHER_SERVICE: u64 = 8;
const RETENTION: Duration = Duration::from_secs(20);

fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

// The time of day at a moment.
fn time_of_day(now: Moment) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000) + now
}

fn endpoint(service: u64, build: &str, started_at: Option<SystemTime>) -> Registration {
    Registration {
        endpoint: Endpoint {
            id: 1,
            name: "e1".to_owned(),
            incarnation: 1,
            service,
            models: BTreeSet::new(),
            zone: 1,
            region: 0,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 80)),
            standing: Standing::Live,
        },
        slots: 8,
        warming: Duration::ZERO,
        build: build.to_owned(),
        started_at,
    }
}

fn old(build: &str) -> Registration {
    endpoint(SERVICE, build, Some(SystemTime::UNIX_EPOCH))
}

fn young(build: &str) -> Registration {
    endpoint(SERVICE, build, Some(time_of_day(at(0))))
}

fn builds(listed: &[Registration], nothing_before: bool, now: Moment) -> Builds {
    let mut builds = Builds::default();
    builds.set_retention(RETENTION);
    builds.record_list(listed.iter(), nothing_before, now);
    builds
}

fn census(builds: &Builds, now: Moment) -> Census {
    builds.census([SERVICE].into_iter(), now)
}

fn sole(build: &str) -> Census {
    Census::Sole(id::from_name(build))
}

fn unsure(build: &str) -> Census {
    Census::Unsure(id::from_name(build))
}

// Returns builds of the service, each last mentioned so many milliseconds ago.
fn mentioned(named: &[(&str, u64)]) -> BTreeMap<(u64, u64), Duration> {
    let of = |(name, age): &(&str, u64)| ((SERVICE, id::from_name(name)), at(*age));
    named.iter().map(of).collect()
}

/// Guards against taking the build of the endpoints that are left for the one that began a stream
/// before the start: others have left, and were replaced by none.
#[test]
fn age_of_endpoints_does_not_tell_what_has_left() {
    for started_at in [Some(time_of_day(at(0))), Some(SystemTime::UNIX_EPOCH), None] {
        let known = builds(&[endpoint(SERVICE, "v2", started_at)], false, at(5_000));
        assert_eq!(census(&known, at(5_000)), unsure("v2"));
        let almost = (at(5_000) + RETENTION).saturating_sub(at(1));
        assert_eq!(census(&known, almost), unsure("v2"));
        assert_eq!(census(&known, at(5_000) + RETENTION), sole("v2"));
    }
    assert_eq!(census(&Builds::default(), at(5_000)), Census::Empty);
}

/// Guards against refusing streams for as long after a start as they take, where the log tells
/// that no other build served.
#[test]
fn records_of_the_log_tell_what_served_before_the_start() {
    let mut known = builds(&[old("v1")], false, at(5_000));
    assert!(known.lacks_past(at(5_000)));
    known.record_past(
        RETENTION.saturating_sub(at(400)),
        &mentioned(&[("v1", 0)]),
        at(5_100),
    );
    assert_eq!(census(&known, at(5_100)), unsure("v1"));
    assert_eq!(known.time_to_know(at(5_100)), Some(at(400)));
    assert_eq!(census(&known, at(5_500)), sole("v1"));
    assert!(!known.lacks_past(at(5_500)));
}

/// Guards against forgetting a build of the log's records while its streams can be taken up.
#[test]
fn build_that_the_log_still_names_counts() {
    let mut known = builds(&[old("v2")], false, at(50_000));
    let past = mentioned(&[("v0", 20_000), ("v1", 2_000), ("v2", 0)]);
    known.record_past(RETENTION * 2, &past, at(50_100));
    assert_eq!(known.count(SERVICE), 2);
    assert_eq!(census(&known, at(50_100)), Census::Several);
    let gone = at(48_100) + RETENTION;
    assert_eq!(census(&known, gone.saturating_sub(at(1))), Census::Several);
    assert_eq!(census(&known, gone), sole("v2"));
    // New streams begin where they did before.
    let only = BTreeSet::from([id::from_name("v2")]);
    assert_eq!(known.established(SERVICE, &only, Some(at(50_100))), only);
}

/// Guards against records that seem to reach further back since the machine has just started.
#[test]
fn records_count_from_when_they_were_read() {
    let mut known = builds(&[old("v1")], false, at(100));
    known.record_past(at(12_000), &mentioned(&[("v1", 0)]), at(2_100));
    assert_eq!(known.known_for(at(2_100)), Some(at(12_000)));
    known.record_past(at(1_000), &mentioned(&[("v1", 0)]), at(3_100));
    assert_eq!(known.known_for(at(3_100)), Some(at(13_000)));
    let mut unlisted = Builds::default();
    unlisted.record_past(at(12_000), &mentioned(&[("v1", 0)]), at(0));
    assert_eq!(unlisted.known_for(at(0)), None);
}

#[test]
fn all_builds_are_known_from_the_first_start_of_the_system() {
    let mut known = builds(&[], true, at(100));
    known.record_list([young("v1")].iter(), true, at(1_000));
    assert_eq!(census(&known, at(1_000)), sole("v1"));
    // Endpoints that were there before may have had others beside them.
    let known = builds(&[young("v1")], true, at(100));
    assert_eq!(census(&known, at(1_000)), unsure("v1"));
}

/// Guards against forgetting a build while its streams can still be taken up.
#[test]
fn build_that_is_gone_counts_for_as_long_as_its_streams() {
    let mut known = builds(&[old("v1")], false, at(0));
    known.record_list([old("v1"), young("v2")].iter(), false, at(30_000));
    assert_eq!(census(&known, at(30_000)), Census::Several);
    known.record_list([young("v2")].iter(), false, at(40_000));
    known.record_list([young("v2")].iter(), false, at(50_000));
    let gone = at(40_000) + RETENTION;
    assert_eq!(census(&known, gone.saturating_sub(at(1))), Census::Several);
    assert_eq!(census(&known, gone), sole("v2"));
    known.record_list([young("v2"), young("v1")].iter(), false, gone);
    assert_eq!(census(&known, gone), Census::Several);
}

/// Guards against refusals at instances that have just started while others know what served
/// before, and against believing them more than the own list.
#[test]
fn what_served_before_is_learned_from_others() {
    let v2 = id::from_name("v2");
    let mut known = Builds::default();
    known.adopt(SERVICE, v2, at(0));
    assert_eq!(census(&known, at(0)), Census::Empty);
    let mut known = builds(&[young("v2")], false, at(5_000));
    known.adopt(SERVICE, v2, at(5_100));
    assert_eq!(census(&known, at(5_100)), sole("v2"));
    assert_eq!(known.sole(at(5_100)), [(SERVICE, v2)]);
    known.record_list([young("v2"), young("v3")].iter(), false, at(5_200));
    assert_eq!(census(&known, at(5_200)), Census::Several);
    let mut known = builds(&[young("v3")], false, at(5_000));
    known.adopt(SERVICE, v2, at(5_100));
    assert_eq!(census(&known, at(5_100)), Census::Several);
}

/// Guards against a build that came and went while this instance could not read the list.
#[test]
fn gap_in_the_list_counts_until_another_instance_knows_better() {
    let v1 = id::from_name("v1");
    let mut known = builds(&[], true, at(0));
    known.record_list([young("v1")].iter(), true, at(100));
    for confirmed_at in [100, 1_000, 3_900] {
        known.record_confirmation(at(confirmed_at), Continuity::Changes);
        assert_eq!(census(&known, at(confirmed_at)), sole("v1"));
    }
    known.record_confirmation(at(6_901), Continuity::Changes);
    assert_eq!(census(&known, at(6_901)), Census::Gapped(v1));
    let over = at(6_901) + RETENTION;
    assert_eq!(census(&known, over), sole("v1"));
    known.adopt(SERVICE, v1, at(7_000));
    assert_eq!(census(&known, at(7_000)), sole("v1"));
    known.record_confirmation(at(11_000), Continuity::Changes);
    assert_eq!(census(&known, at(11_000)), Census::Gapped(v1));
}

/// Guards against a build that was listed for a while between two lists, each of which lacks it:
/// its entries were removed while its endpoints went on serving.
#[test]
fn build_that_came_and_went_between_two_lists_counts() {
    let (v1, v2) = (id::from_name("v1"), id::from_name("v2"));
    let mut known = builds(&[], true, at(0));
    known.record_list([young("v1")].iter(), true, at(100));
    known.record_confirmation(at(1_000), Continuity::Changes);
    let mut told = known.clone();
    // All changes in between are known.
    known.record_listed(SERVICE, v2, at(3_900));
    known.record_list([young("v1")].iter(), true, at(3_900));
    known.record_confirmation(at(3_900), Continuity::Changes);
    assert_eq!(census(&known, at(3_900)), Census::Several);
    // Another instance knows them.
    let mentions = known.mentions(at(3_950));
    let gone = Mention {
        service: SERVICE,
        build: v2,
        gone_for: at(50),
    };
    assert!(mentions.contains(&gone), "{mentions:?}");
    let mut listing = told.clone();
    told.record_mentions(&mentions, at(4_000));
    told.record_confirmation(at(3_950), Continuity::Changes);
    assert_eq!(census(&told, at(4_000)), Census::Several);
    assert_eq!(census(&told, at(3_950) + RETENTION), sole("v1"));
    // Only the list is known.
    listing.record_confirmation(at(3_900), Continuity::List);
    assert_eq!(census(&listing, at(3_900)), Census::Gapped(v1));
}

/// Guards against builds that are told of for ever, as each instance takes what it is told for
/// what it saw.
#[test]
fn mentions_of_a_build_that_is_gone_end() {
    let v2 = id::from_name("v2");
    let mut first = builds(&[old("v1")], false, at(0));
    first.record_listed(SERVICE, v2, at(1_000));
    let mut second = builds(&[old("v1")], false, at(0));
    for millis in (1_000..=20_900).step_by(100) {
        second.record_mentions(&first.mentions(at(millis)), at(millis));
        first.record_mentions(&second.mentions(at(millis)), at(millis));
    }
    assert_eq!(second.count(SERVICE), 2);
    let over = at(1_000) + RETENTION;
    first.record_mentions(&[], over);
    second.record_mentions(&[], over);
    assert_eq!((first.count(SERVICE), second.count(SERVICE)), (1, 1));
}

/// Guards against the word of another instance that waited here during a gap and counts for all
/// of it: a build can have come and gone since it was said.
#[test]
fn what_was_said_before_the_end_of_a_gap_does_not_close_it() {
    let v1 = id::from_name("v1");
    let mut known = builds(&[], true, at(0));
    known.record_list([young("v1")].iter(), true, at(100));
    known.record_confirmation(at(1_000), Continuity::Changes);
    known.record_confirmation(at(6_000), Continuity::Changes);
    known.adopt(SERVICE, v1, at(1_200));
    assert_eq!(census(&known, at(6_100)), Census::Gapped(v1));
    known.adopt(SERVICE, v1, at(6_000));
    known.adopt(SERVICE, v1, at(1_200));
    assert_eq!(census(&known, at(6_100)), sole("v1"));
}

/// Guards against the same at an instance that stood still before it had its first list.
#[test]
fn what_was_said_long_before_the_first_list_does_not_count() {
    let v1 = id::from_name("v1");
    let mut known = builds(&[young("v1")], false, at(9_000));
    known.record_confirmation(at(8_900), Continuity::Changes);
    known.adopt(SERVICE, v1, at(4_000));
    assert_eq!(census(&known, at(9_000)), unsure("v1"));
    known.adopt(SERVICE, v1, at(8_800));
    assert_eq!(census(&known, at(9_000)), sole("v1"));
}

#[test]
fn builds_of_all_services_of_a_route_count() {
    let listed = [old("v1"), endpoint(OTHER_SERVICE, "v2", None)];
    let mut known = builds(&listed, false, at(0));
    known.adopt(SERVICE, id::from_name("v1"), at(0));
    let of = |services: &[u64]| {
        let services = services.iter().copied();
        known.census(services, at(0))
    };
    assert_eq!(of(&[SERVICE]), sole("v1"));
    assert_eq!(of(&[OTHER_SERVICE]), unsure("v2"));
    assert_eq!(of(&[SERVICE, OTHER_SERVICE]), Census::Several);
    assert_eq!((known.count(SERVICE), known.count(9)), (1, 0));
}

/// Guards against a stream that begins at a build which other instances don't know, and take
/// it up at the one that they know.
#[test]
fn streams_begin_at_a_new_build_only_when_it_was_listed_for_a_while() {
    let (v1, v2) = (id::from_name("v1"), id::from_name("v2"));
    let both = BTreeSet::from([v1, v2]);
    let mut known = builds(&[old("v1")], false, at(100));
    known.record_list([old("v1"), young("v2")].iter(), false, at(5_000));
    let established = |confirmed_at| known.established(SERVICE, &both, confirmed_at);
    let listed_for = at(5_000) + MAX_LIST_AGE;
    assert_eq!(
        established(Some(listed_for.saturating_sub(at(1)))),
        BTreeSet::from([v1])
    );
    assert_eq!(established(Some(listed_for)), both);
}

/// Guards against the same where all endpoints of the other build have left in the meantime: an
/// instance with an older list still knows that build alone.
#[test]
fn streams_begin_nowhere_while_the_only_build_is_new() {
    let only = BTreeSet::from([id::from_name("v2")]);
    let mut known = builds(&[old("v1")], false, at(100));
    known.record_list([young("v2")].iter(), false, at(5_000));
    let established = |confirmed_at| known.established(SERVICE, &only, confirmed_at);
    let listed_for = at(5_000) + MAX_LIST_AGE;
    for too_early in [
        None,
        Some(at(5_000)),
        Some(listed_for.saturating_sub(at(1))),
    ] {
        assert_eq!(established(too_early), BTreeSet::new(), "{too_early:?}");
    }
    assert_eq!(established(Some(listed_for)), only);
}

/// Guards against the same where a build comes back that others have forgotten.
#[test]
fn build_that_comes_back_counts_as_new() {
    let (v1, v2) = (id::from_name("v1"), id::from_name("v2"));
    let both = BTreeSet::from([v1, v2]);
    let mut known = builds(&[old("v1"), old("v2")], false, at(100));
    known.record_list([old("v2")].iter(), false, at(5_000));
    known.record_list([old("v2"), old("v1")].iter(), false, at(9_000));
    let established = |confirmed_at| known.established(SERVICE, &both, confirmed_at);
    assert_eq!(established(Some(at(9_500))), BTreeSet::from([v2]));
    assert_eq!(established(Some(at(9_000) + MAX_LIST_AGE)), both);
}

/// Guards against the same at an instance that has just started and finds both in its list.
#[test]
fn streams_begin_at_the_build_that_started_first_after_a_start() {
    let (v1, v2) = (id::from_name("v1"), id::from_name("v2"));
    let both = BTreeSet::from([v1, v2]);
    let known = builds(&[young("v2"), old("v1")], false, at(5_000));
    let established = |confirmed_at| known.established(SERVICE, &both, confirmed_at);
    assert_eq!(established(Some(at(5_000))), BTreeSet::from([v1]));
    assert_eq!(established(None), BTreeSet::from([v1]));
    assert_eq!(established(Some(at(5_000) + MAX_LIST_AGE)), both);
    let known = builds(
        &[endpoint(SERVICE, "v2", None), old("v1")],
        false,
        at(5_000),
    );
    assert_eq!(
        known.established(SERVICE, &both, None),
        BTreeSet::from([v1])
    );
}

/// Guards against instances on one side of a partition that agree on what only the other side
/// can know.
#[test]
fn old_lists_count_only_if_most_of_those_asked_have_one() {
    let old = Statement {
        census: sole("v1"),
        list_age: Some(at(5_000)),
        complete_in: None,
    };
    let starting = Statement {
        census: Census::Empty,
        list_age: None,
        complete_in: None,
    };
    let agreed = Some(id::from_name("v1"));
    for (statements, asked, expected) in [
        (vec![old, old, old], 4, agreed),
        (vec![old, old, starting], 4, None),
        (vec![old, old], 4, None),
        (vec![old, old], 3, None),
        (vec![old], 2, None),
        (vec![old], 1, agreed),
    ] {
        assert_eq!(
            agree(sole("v1"), &statements, asked),
            expected,
            "{statements:?}"
        );
    }
}

#[test]
fn retention_never_shrinks() {
    let mut known = Builds::default();
    known.set_retention(RETENTION);
    known.set_retention(Duration::from_secs(1));
    assert_eq!(known.retention(), RETENTION);
}

/// Guards against joining streams by the word of an instance whose list is old, or against the
/// word of one that knows better.
#[test]
fn only_those_with_a_fresh_list_count_if_there_are_any() {
    let fresh = |census| Statement {
        census,
        list_age: Some(MAX_LIST_AGE),
        complete_in: None,
    };
    let old = |census| Statement {
        census,
        list_age: Some(MAX_LIST_AGE + at(1)),
        complete_in: None,
    };
    let (v1, v2, several) = (sole("v1"), sole("v2"), Census::Several);
    let gapped = Census::Gapped(id::from_name("v1"));
    let agreed = Some(id::from_name("v1"));
    for (own, statements, expected) in [
        (v1, vec![], None),
        (v1, vec![fresh(v1), old(v2)], agreed),
        (v1, vec![fresh(v1), fresh(several)], None),
        (v1, vec![fresh(v2)], None),
        (v1, vec![old(v1), old(v1)], agreed),
        (v1, vec![old(v1), old(several)], None),
        (v1, vec![fresh(unsure("v1"))], None),
        (unsure("v1"), vec![fresh(v1)], agreed),
        (unsure("v2"), vec![fresh(v1)], None),
        (Census::Empty, vec![fresh(v1)], agreed),
        (gapped, vec![fresh(gapped), fresh(unsure("v1"))], agreed),
        (gapped, vec![fresh(several), fresh(gapped)], None),
        (gapped, vec![], None),
        (unsure("v2"), vec![fresh(gapped)], None),
        (several, vec![fresh(v1)], None),
    ] {
        assert_eq!(
            agree(own, &statements, statements.len()),
            expected,
            "{own:?} {statements:?}"
        );
    }
}

/// Guards against callers that are told to come back later for a stream of which nobody will know
/// where it began.
#[test]
fn earliest_knowledge_is_told_only_where_one_build_is_left() {
    let in_seconds = |census, seconds| Statement {
        census,
        list_age: Some(MAX_LIST_AGE),
        complete_in: Some(Duration::from_secs(seconds)),
    };
    let several = Statement {
        complete_in: None,
        ..in_seconds(Census::Several, 0)
    };
    let (v1, own) = (unsure("v1"), in_seconds(unsure("v1"), 9));
    let time = |others: &[Statement]| earliest_knowledge(&own, others);
    assert_eq!(time(&[]), Some(Duration::from_secs(9)));
    let sooner = in_seconds(v1, 3);
    assert_eq!(time(&[sooner]), Some(Duration::from_secs(3)));
    assert_eq!(time(&[sooner, several]), None);
    assert_eq!(earliest_knowledge(&several, &[sooner]), None);
}
