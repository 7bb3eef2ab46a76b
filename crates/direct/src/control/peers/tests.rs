use std::collections::BTreeMap;
use std::time::Duration;

use super::age::{
    LEAST_AGE, LONGEST_WAIT, PATIENCE, SPARE, left, oldest, wait, wait_while_partial,
};
use super::peer::{Known, Refusal, news};
use crate::board::{Replica, UpdateRequest};
use crate::policy::Content;
use crate::source::Position;

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn board(read: u64) -> Replica {
    let mut board = Replica::new(7);
    board.confirm_policy(at(read));
    board.confirm_endpoints(at(read));
    board
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

const QUESTION: UpdateRequest = UpdateRequest {
    incarnation: 7,
    revision: 0,
    digest: 0,
    peer_address: None,
    version: 0,
    evacuation: Position::START,
    wait: at(400),
    loads: Vec::new(),
    holders: Vec::new(),
};

/// The instance that others ask was cut from the log. Those that asked it went
/// on for 2.7 s with a list of endpoints from before, and sent an order to one
/// that had left. An answer at the limit of its age, the wait for the next one
/// and its time-out have to stay below the two seconds allowed.
#[test]
fn one_that_lost_the_log_is_left_in_time() {
    for bound in [2_000, 3_000, 6_000] {
        let oldest = oldest(at(bound)) + wait(at(bound)) + PATIENCE;
        assert!(oldest < at(bound - 100), "{oldest:?} of {bound} ms");
    }
    assert_eq!(wait(at(2_000)), at(400));
    assert_eq!(wait(at(1_000)), at(0));
}

/// The log answered slowly, or a few of its answers were lost, where news may be four
/// seconds old. Those that are asked were left at 1.2 s of age all the same, and
/// hundreds of instances went to the log, which got slower by it.
#[test]
fn one_that_reads_a_slow_log_is_not_left_while_there_is_time() {
    assert_eq!(oldest(at(2_000)), LEAST_AGE);
    assert_eq!(oldest(at(4_000)), at(2_200));
    let told = board(1_000).build_update(&QUESTION, at(0), at(3_100));
    let news_then = news(told, at(50), oldest(at(4_000)));
    assert!(news_then.is_ok_and(|news| news.policy_read == Duration::ZERO));
    let told = board(1_000).build_update(&QUESTION, at(0), at(3_300));
    assert!(matches!(
        news(told, at(50), oldest(at(4_000))),
        Err(Refusal::Stale)
    ));
}

/// The peer that was followed fails. Another one is asked only while the log can
/// still be read before what is known is too old.
#[test]
fn another_peer_is_asked_only_while_there_is_time() {
    assert_eq!(left(at(4_000), at(2_500)), at(1_350));
    assert_eq!(left(at(2_000), at(1_850)), Duration::ZERO);
    assert_eq!(left(at(2_000), at(9_000)), Duration::ZERO);
    assert_eq!(left(at(2_000), at(1_000)) + SPARE, at(1_000));
}

#[test]
fn what_is_old_at_the_peer_is_not_taken() {
    let oldest = oldest(at(2_000));
    let told = board(1_000).build_update(&QUESTION, at(0), at(1_800));
    assert!(news(told, at(50), oldest).is_ok_and(|news| news.endpoints_read == Duration::ZERO));
    let told = board(1_000).build_update(&QUESTION, at(0), at(2_300));
    assert!(matches!(news(told, at(50), oldest), Err(Refusal::Stale)));
    let told = Replica::new(7).build_update(&QUESTION, at(0), at(2_000));
    assert!(matches!(news(told, at(50), oldest), Err(Refusal::Stale)));
}

/// All instances start at once, with hundreds of routes. The first answer brought them,
/// and the next question went out before they were in force: it was answered with all
/// of them again, and so were those of a hundred others.
#[test]
fn a_configuration_is_told_once() {
    let mut seed = board(1_000);
    seed.set_policy(content(15));
    let mut known = Known::default();
    let ask = |known: &Known, seed: &Replica| {
        let question = UpdateRequest {
            incarnation: known.life,
            revision: known.stamp,
            version: known.version(0),
            ..QUESTION
        };
        seed.build_update(&question, at(0), at(1_100))
    };
    let told = ask(&known, &seed);
    assert!(told.policy.is_some());
    known.take(&told);
    let again = ask(&known, &seed);
    assert_eq!(again.policy, None);
    known.take(&again);
    seed.set_policy(content(16));
    assert!(ask(&known, &seed).policy.is_some());
    // What is in force from elsewhere counts as well.
    assert_eq!(known.version(20), 20);
}

/// An answer was on its way for long. Counted from its arrival, a key would
/// live on by as much; it counts from when it was asked for, and waited there.
#[test]
fn a_slow_answer_makes_nothing_younger() {
    let told = board(1_000).build_update(&QUESTION, at(300), at(1_500));
    let news = news(told, at(9_000), at(1_200)).ok();
    assert_eq!(news.map(|news| news.policy_read), Some(at(8_800)));
}

/// Guards against loads that are told so late that endpoints pass the load bound unheard,
/// and against instances by the hundred that ask more than those that are asked can bear.
#[test]
fn while_a_part_takes_nothing_loads_are_asked_for_oftener() {
    for instances in [1, 6, 82] {
        let wait = wait_while_partial(instances);
        assert!(wait < at(500), "{instances}: {wait:?}");
    }
    for instances in [82, 200, 300, 3_300] {
        let wait = wait_while_partial(instances);
        let usual = f64::from(instances) / LONGEST_WAIT.as_secs_f64();
        let questions = f64::from(instances) / wait.as_secs_f64();
        assert!(questions <= usual.max(205.0), "{instances}: {questions}");
    }
}
