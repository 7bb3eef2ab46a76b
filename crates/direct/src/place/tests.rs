use godwitpost_decide::health::Access;

use super::{Affinity, Candidate, Choice, Exclusion, Pick, Unavailable};
use crate::dialect::Part;

/// The greatest load as a multiple of the mean.
const ALLOWED: f64 = 2.0;

fn pick(candidates: &[Candidate], part: Option<u64>, draw: u64) -> Pick {
    let part = part.map(|id| Part { id, tokens: 2_000 });
    let prefix = part.map(|part| Affinity::new(part, 2_000.0, 0.0, 1.0));
    super::pick(candidates, Unavailable::default(), prefix, ALLOWED, draw)
}

fn load_bound(candidates: &[Candidate], cost: f64) -> f64 {
    super::load_bound(candidates, Unavailable::default(), ALLOWED, cost)
}

const fn candidate(endpoint: u64, load: f64) -> Candidate {
    Candidate {
        endpoint,
        load,
        load_stddev: 0.0,
        own_requests: 0,
        observed_load: load,
        known_fraction: 1.0,
        slots: 16,
        same_zone: true,
        path_clear: true,
        access: Access::Full,
        exclusion: None,
    }
}

fn loads(loads: &[f64]) -> Vec<Candidate> {
    let ids = 1..;
    ids.zip(loads)
        .map(|(id, load)| candidate(id, *load))
        .collect()
}

fn home(candidates: &[Candidate], part: u64) -> u64 {
    match pick(candidates, Some(part), 0) {
        Pick::Send { endpoint, .. } => endpoint,
        other => panic!("{other:?}"),
    }
}

fn lightest(endpoint: u64) -> Pick {
    Pick::Send {
        endpoint,
        choice: Choice::Lightest,
    }
}

#[test]
fn a_part_has_one_home_whatever_the_order_of_the_list() {
    let mut candidates = loads(&[1.0, 2.0, 0.0, 1.0]);
    let first = home(&candidates, 77);
    candidates.reverse();
    assert_eq!(home(&candidates, 77), first);
}

/// One prompt is suddenly asked for by a fifth of all callers. Its home must
/// not take them all while the other engines idle.
#[test]
fn a_hot_part_spills_within_the_bound() {
    let mut candidates = loads(&[0.0; 9]);
    for _ in 0..90 {
        let endpoint = home(&candidates, 5);
        let taken = candidates.iter_mut().find(|one| one.endpoint == endpoint);
        taken.expect("a candidate").load += 1.0;
    }
    let most = candidates.iter().map(|one| one.load).fold(0.0, f64::max);
    assert!(most <= 2.0 * 10.0 + 3.0, "{most}");
    assert!(most >= 12.0, "the part should stay together: {most}");
}

#[test]
fn a_request_without_parts_goes_to_the_lightest() {
    assert_eq!(pick(&loads(&[3.0, 1.0, 2.0]), None, 9), lightest(2));
}

#[test]
fn the_own_zone_is_preferred_until_it_is_busier() {
    let mut candidates = loads(&[0.0, 1.0]);
    candidates[0].same_zone = false;
    assert_eq!(pick(&candidates, None, 1), lightest(2));
    candidates[1].load = 3.0;
    assert_eq!(pick(&candidates, None, 1), lightest(1));
}

/// Hundreds of instances were told that the first endpoint has one request less than
/// the others, a second ago. All sent theirs there, and it held four times the mean.
#[test]
fn the_one_that_looks_lightest_does_not_get_all() {
    let mut candidates = loads(&[2.0, 2.5, 3.0, 3.0]);
    for one in &mut candidates {
        one.load_stddev = 1.6;
    }
    let mut taken = [0_u32; 4];
    for draw in 0..1_000 {
        if let Pick::Send { endpoint, .. } = pick(&candidates, None, draw) {
            taken[usize::try_from(endpoint - 1).unwrap_or(0)] += 1;
        }
    }
    assert!(taken[0] > taken[1] && taken[1] > taken[2], "{taken:?}");
    assert!(taken[0] < 500 && taken[3] > 100, "{taken:?}");
    // Where it is known for sure, it gets them.
    for one in &mut candidates {
        one.load_stddev = 0.0;
    }
    assert!((0..100).all(|draw| pick(&candidates, None, draw) == lightest(1)));
}

#[test]
fn an_endpoint_that_has_failed_the_request_is_not_tried_again() {
    let mut candidates = loads(&[0.0, 5.0]);
    candidates[0].exclusion = Some(Exclusion::Tried);
    assert_eq!(pick(&candidates, None, 1), lightest(2));
    candidates[1].exclusion = Some(Exclusion::Tried);
    assert_eq!(pick(&candidates, None, 1), Pick::None);
}

#[test]
fn full_endpoints_are_said_to_be_full() {
    assert_eq!(pick(&loads(&[48.0, 50.0]), None, 1), Pick::Full);
    assert_eq!(pick(&loads(&[48.0, 50.0]), Some(3), 1), Pick::Full);
}

/// A broken switch made every endpoint look down for a second. An instance
/// that then refuses all would stay out after the switch is well.
#[test]
fn with_all_endpoints_held_down_one_is_tried_all_the_same() {
    let mut candidates = loads(&[0.0, 0.0]);
    candidates[0].access = Access::None;
    assert_eq!(pick(&candidates, None, 1), lightest(2));
    candidates[1].access = Access::None;
    assert!(matches!(pick(&candidates, None, 1), Pick::Send { .. }));
}

/// In a fleet of eighty an instance knows the load of few engines. With the
/// bound of a small fleet, a thirtieth of all requests met an engine above
/// twice the mean.
#[test]
fn the_less_is_known_the_sooner_a_part_spills() {
    let mut candidates = loads(&[4.0; 4]);
    let sighted = load_bound(&candidates, 0.5);
    for one in &mut candidates {
        one.known_fraction = 0.0;
    }
    let blind = load_bound(&candidates, 0.5);
    assert!(blind < sighted && blind > 4.0 + 1.0, "{blind} {sighted}");
}

/// An instance has just started and heard of one endpoint, which the whole fleet
/// overwhelms with a prompt in sudden demand. It knows nothing of the others,
/// takes them to be alike, and must not refuse everything for it.
#[test]
fn endpoints_that_nothing_is_known_of_are_not_full() {
    let mut candidates = loads(&[500.0; 9]);
    for one in &mut candidates[1..] {
        one.observed_load = 0.0;
        one.known_fraction = 0.0;
    }
    for part in 0..20 {
        assert_ne!(home(&candidates, part), 1, "{part}");
    }
    assert!(matches!(pick(&candidates, None, 7), Pick::Send { .. }));
}

/// The longest prompts are suddenly about one thing. Their home fills up between
/// two reports of its load, though each caller's prompt is worth staying for.
/// What is read once more elsewhere serves all that follow, so they spill as
/// early as short ones.
#[test]
fn a_part_in_demand_spills_sooner() {
    let candidates = loads(&[9.0; 10]);
    let part = Part {
        id: 7,
        tokens: 10_000,
    };
    let limit = |demand: f64| {
        let prefix = Affinity::new(part, 4_000.0, demand, 1.0);
        load_bound(&candidates, prefix.cost)
    };
    let shortest = load_bound(&candidates, 0.0);
    assert!(limit(0.0) > limit(1.0) && limit(1.0) > limit(4.0));
    assert!(limit(9.0) < shortest + 1.0, "{} {shortest}", limit(9.0));
}

/// Eighty instances each see the second request for a part within half a second.
/// Each by itself would go to the part's home, or all to the next one.
#[test]
fn a_part_in_great_demand_is_spread_over_several() {
    let candidates = loads(&[9.0; 40]);
    let part = Part {
        id: 7,
        tokens: 10_000,
    };
    let taken = |lately: f64, others: f64| {
        let prefix = Affinity::new(part, 4_000.0, lately, others);
        let picks = (0..200).map(|draw| {
            super::pick(
                &candidates,
                Unavailable::default(),
                Some(prefix),
                ALLOWED,
                draw,
            )
        });
        let mut taken: Vec<u64> = picks
            .map(|pick| match pick {
                Pick::Send { endpoint, .. } => endpoint,
                other => panic!("{other:?}"),
            })
            .collect();
        taken.sort_unstable();
        taken.dedup();
        taken.len()
    };
    assert_eq!(taken(0.0, 80.0), 1);
    // Alone or among few, what is seen is what there is.
    assert_eq!(taken(2.0, 1.0), 1);
    assert!((4..20).contains(&taken(0.6, 80.0)), "{}", taken(0.6, 80.0));
}

/// One instance lost packets on its way to an engine and held it to be down. All
/// others went on using it, so it was never free of requests, and the instance
/// never tried it again: half a minute later it still sent its prompts elsewhere.
#[test]
fn an_endpoint_that_others_use_is_tried_again() {
    let mut candidates = loads(&[8.0, 8.0, 8.0]);
    let part = 77;
    let home = home(&candidates, part);
    let at_home = candidates
        .iter_mut()
        .find(|one| one.endpoint == home)
        .expect("the home");
    at_home.access = Access::Trial;
    let sent = |choice| Pick::Send {
        endpoint: home,
        choice,
    };
    assert_eq!(pick(&candidates, Some(part), 0), sent(Choice::Home));
    // One at a time: a second one waits for how the first comes out.
    let at_home = candidates.iter_mut().find(|one| one.endpoint == home);
    at_home.expect("the home").own_requests = 1;
    assert_ne!(pick(&candidates, Some(part), 0), sent(Choice::Home));
}

/// The link to another availability zone loses packets, and every second stream
/// over it is late. Prompts go to endpoints over other ways, each still to one.
#[test]
fn prompts_keep_off_a_way_that_holds_answers_up() {
    let mut candidates = loads(&[4.0; 6]);
    for one in &mut candidates[..3] {
        one.path_clear = false;
    }
    for part in 0..50 {
        let first = home(&candidates, part);
        assert!(first > 3, "part {part} went to {first}");
        assert_eq!(home(&candidates, part), first);
    }
    // With no way clear all are as good as before.
    for one in &mut candidates {
        one.path_clear = false;
    }
    let homes = (0..50).map(|part| home(&candidates, part));
    assert!(homes.min() < Some(4));
}

/// Only one engine is over a way that is clear, and a third of all requests come
/// from here. What it can't take within the bound goes over the other ways.
#[test]
fn endpoints_over_clear_ways_are_not_overloaded() {
    let mut candidates = loads(&[4.0, 4.0, 4.0, 16.0]);
    for one in &mut candidates[..3] {
        one.path_clear = false;
    }
    for part in 0..50 {
        assert!(home(&candidates, part) < 4);
    }
}

/// A look-up has the choice between an idle endpoint over a way that loses
/// packets, at 200 ms for each resend, and a busy one over another.
#[test]
fn plain_requests_keep_off_it_too_while_that_is_shorter() {
    let mut candidates = loads(&[0.0, 8.0]);
    candidates[0].path_clear = false;
    assert_eq!(pick(&candidates, None, 0), lightest(2));
    candidates[1].load = 40.0;
    candidates[1].observed_load = 40.0;
    assert_eq!(pick(&candidates, None, 0), lightest(1));
}

/// Guards against a request that is sent to an endpoint which can't bear it while
/// others are idle, or is refused there.
#[test]
fn an_endpoint_whose_share_is_spent_is_passed_over() {
    let mut candidates = loads(&[1.0, 1.0, 1.0]);
    let own = home(&candidates, 77);
    let index = usize::try_from(own - 1).expect("a small id");
    candidates[index].exclusion = Some(Exclusion::NoShare);
    assert_ne!(home(&candidates, 77), own);
    candidates[index].load = 0.0;
    assert_ne!(pick(&candidates, None, 3), lightest(own));
    for one in &mut candidates {
        one.exclusion = Some(Exclusion::NoShare);
    }
    assert_eq!(pick(&candidates, Some(77), 0), Pick::Wait);
}

/// Guards against a try of what is down for want of patience with what warms up.
#[test]
fn an_endpoint_that_is_down_is_no_better_than_one_that_warms_up() {
    let mut candidates = loads(&[1.0, 1.0]);
    candidates[0].exclusion = Some(Exclusion::NoShare);
    candidates[1].access = Access::None;
    assert_eq!(pick(&candidates, None, 0), Pick::Wait);
}

/// Guards against endpoints above the bound while a part of the service takes nothing.
#[test]
fn endpoints_that_nothing_may_go_to_count_for_the_mean() {
    let candidates = loads(&[12.0; 45]);
    let idle = Unavailable {
        count: 15,
        load: 0.0,
    };
    let mean = 45.0 * 12.0 / 60.0;
    let bound = super::load_bound(&candidates, idle, ALLOWED, 1.0);
    assert!(bound <= ALLOWED * mean + 3.0, "{bound}");
    let busy = Unavailable {
        count: 15,
        load: 15.0 * 12.0,
    };
    let even = super::load_bound(&candidates, busy, ALLOWED, 1.0);
    let alone = super::load_bound(&candidates, Unavailable::default(), ALLOWED, 1.0);
    assert!((even - alone).abs() < 1e-9, "{even} {alone}");
}

/// Guards against all instances leaving an endpoint for the next one at the same time.
#[test]
fn endpoints_about_the_bound_are_left_by_and_by_where_others_take_nothing() {
    let idle = Unavailable {
        count: 3,
        load: 0.0,
    };
    let part = Part {
        id: 5,
        tokens: 2_000,
    };
    let prefix = Affinity::new(part, 2_000.0, 0.0, 1.0);
    let mut candidates = loads(&[8.0; 9]);
    let first = home(&candidates, part.id);
    let of_first = candidates.iter().position(|one| one.endpoint == first);
    let of_first = of_first.expect("a candidate");
    candidates[of_first].load_stddev = 3.0;
    // Its load counts for the mean, and so for the bound.
    for _ in 0..50 {
        let bound = super::load_bound(&candidates, idle, ALLOWED, prefix.cost);
        candidates[of_first].load = bound - 1.5;
    }
    let staying = |rest: Unavailable| {
        let pick = |draw| super::pick(&candidates, rest, Some(prefix), ALLOWED, draw);
        let stays = |pick| matches!(pick, Pick::Send { endpoint, .. } if endpoint == first);
        (0..200).filter(|draw| stays(pick(*draw))).count()
    };
    assert_eq!(staying(Unavailable::default()), 200);
    let some = staying(idle);
    assert!((60..140).contains(&some), "{some}");
}
