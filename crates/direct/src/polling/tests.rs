use std::net::SocketAddr;
use std::time::Duration;

use super::age::ANSWER_TIMEOUT;
use super::{
    Failure, Knowledge, MAX_STANDSTILL, MAX_START_SPREAD, MIN_READ_TIME, Next, Round,
    STARTUP_POLL_TIME, is_secondhand, max_wait,
};
use crate::standby::Peers;

const OWN: u16 = 50;

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

// What an instance knows that started this long ago and has no state.
const fn starting(uptime: u64) -> Knowledge {
    Knowledge {
        uptime: at(uptime),
        reads_log: false,
        age: None,
        max_update_delay: at(5_000),
    }
}

// What an instance knows that relies on peers.
const fn following(age: u64) -> Knowledge {
    Knowledge {
        age: Some(at(age)),
        ..starting(60_000)
    }
}

// Returns a round of three seeds, the first of which comes first.
fn round() -> Round {
    let seeds = vec![address(1), address(2), address(3)];
    let mut round = Round::new(Peers::new(seeds, Some(address(OWN)), 0));
    round.begin(7);
    round
}

// Returns the next peer, which is polled at this time.
fn next_peer(round: &mut Round, knowledge: &Knowledge) -> Option<SocketAddr> {
    match round.next(knowledge, 7) {
        Next::Poll(address, _) => Some(address),
        Next::Pause(_) => next_peer(round, knowledge),
        Next::ReadLog => None,
    }
}

fn fail(round: &mut Round, peer: SocketAddr, failure: Failure, took: u64, uptime: u64) {
    let knowledge = starting(uptime);
    round.record_failure(peer, failure, at(took), STARTUP_POLL_TIME, &knowledge, 7);
}

/// Guards against a thousand instances that read the log at once beside a seed that is about
/// to have read it, however long the log takes.
#[test]
fn peer_that_progresses_is_waited_for() {
    let mut round = round();
    for progress in 1..40 {
        let uptime = 1_400 * progress;
        let peer = next_peer(&mut round, &starting(uptime));
        assert_eq!(peer, Some(address(1)), "{progress}");
        fail(
            &mut round,
            address(1),
            Failure::NotReady(progress),
            350,
            uptime + 350,
        );
    }
}

/// Guards against an instance that waits forever for a peer that never has a list.
#[test]
fn peers_without_progress_are_not_waited_for() {
    let mut round = round();
    let mut uptime = 0;
    while let Some(peer) = next_peer(&mut round, &starting(uptime)) {
        uptime += 350;
        fail(&mut round, peer, Failure::NotReady(0), 350, uptime);
        assert!(at(uptime) < MAX_STANDSTILL * 2);
    }
    assert!(uptime >= 3 * 350);
}

/// Guards against an instance that reads the log though the third seed would have told it,
/// since two that are cut off took all of its time.
#[test]
fn each_seed_gets_its_turn() {
    let mut round = round();
    let mut polled = Vec::new();
    let mut uptime = 0;
    while let Some(peer) = next_peer(&mut round, &starting(uptime)) {
        polled.push(peer);
        uptime += 600;
        fail(&mut round, peer, Failure::Other, 600, uptime);
    }
    assert_eq!(polled, [address(1), address(2), address(3)]);
}

/// Guards against a seed that starts last and is passed over, since it refused a connection
/// before.
#[test]
fn peer_that_refuses_at_first_is_asked_again() {
    let mut round = round();
    let refuse = |round: &mut Round, peer, uptime| fail(round, peer, Failure::Other, 2, uptime);
    let cut_off = |round: &mut Round, peer, uptime| fail(round, peer, Failure::Other, 250, uptime);
    assert_eq!(next_peer(&mut round, &starting(0)), Some(address(1)));
    refuse(&mut round, address(1), 2);
    assert_eq!(next_peer(&mut round, &starting(2)), Some(address(2)));
    cut_off(&mut round, address(2), 252);
    assert_eq!(next_peer(&mut round, &starting(252)), Some(address(3)));
    cut_off(&mut round, address(3), 502);
    assert_eq!(next_peer(&mut round, &starting(502)), Some(address(1)));
    refuse(&mut round, address(1), 2_000);
    assert!(at(2_000) > MAX_START_SPREAD);
    assert_eq!(next_peer(&mut round, &starting(2_000)), None);
}

/// Guards against seeds that can't read the log and leave all others without a list: they
/// name standbys, which read it.
#[test]
fn standbys_of_seeds_without_a_list_are_polled() {
    let mut round = round();
    for seed in 1..=3 {
        assert_eq!(next_peer(&mut round, &starting(0)), Some(address(seed)));
        round.set_standbys(address(seed), vec![address(20)]);
        fail(&mut round, address(seed), Failure::NotReady(0), 350, 0);
    }
    assert_eq!(next_peer(&mut round, &starting(0)), Some(address(20)));
}

/// Guards against standbys that wait for each other, so that none reads the log.
#[test]
fn standby_reads_the_log_when_no_seed_can() {
    let mut round = round();
    let mut polled = Vec::new();
    let mut uptime = 0;
    while let Some(peer) = next_peer(&mut round, &starting(uptime)) {
        polled.push(peer);
        uptime += 350;
        round.set_standbys(peer, vec![address(OWN), address(21)]);
        fail(&mut round, peer, Failure::NotReady(0), 350, uptime);
    }
    assert!(polled.iter().all(|peer| *peer <= address(3)), "{polled:?}");
}

/// Guards against one link that carries a thousand lists while others are idle.
#[test]
fn standbys_of_a_busy_seed_are_polled_before_it_is_again() {
    let mut round = round();
    assert_eq!(next_peer(&mut round, &starting(0)), Some(address(1)));
    round.set_standbys(address(1), vec![address(20)]);
    fail(&mut round, address(1), Failure::Busy, 4, 4);
    let peers: Vec<_> = (0..4)
        .filter_map(|_| next_peer(&mut round, &starting(4)))
        .collect();
    assert_eq!(peers, [address(2), address(3), address(20), address(1)]);
}

/// Guards against instances that poll a busy peer without a pause.
#[test]
fn busy_peer_is_polled_after_a_pause() {
    let mut round = round();
    assert_eq!(next_peer(&mut round, &starting(0)), Some(address(1)));
    fail(&mut round, address(1), Failure::Busy, 4, 4);
    assert!(matches!(round.next(&starting(4), 7), Next::Pause(_)));
}

/// Guards against hundreds of instances that turn to the log the moment the seeds are gone,
/// before the standbys have read it; and against state that gets too old while they wait.
#[test]
fn standbys_get_time_to_read_the_log() {
    let mut round = round();
    round.set_standbys(address(1), vec![address(20)]);
    round.begin(7);
    let young = following(1_500);
    for _ in 0..4 {
        let Next::Poll(peer, _) = round.next(&young, 7) else {
            panic!("a peer is left");
        };
        round.record_failure(peer, Failure::Other, at(2), at(1_000), &young, 7);
    }
    assert!(matches!(round.next(&young, 7), Next::Pause(_)));
    let old = following(4_000);
    assert!(at(5_000 - 4_000) <= MIN_READ_TIME);
    let mut polls = 0;
    while let Next::Poll(peer, _) = round.next(&old, 7) {
        round.record_failure(peer, Failure::Other, at(2), at(1_000), &old, 7);
        polls += 1;
        assert!(polls < 10);
    }
    assert_eq!(round.next(&old, 7), Next::ReadLog);
}

/// Guards against state that passes two instances and is too old at the second; and against
/// two seeds that lost the log for a moment and follow each other.
#[test]
fn peer_that_does_not_read_the_log_is_left_in_time() {
    let bound = at(5_000);
    assert!(!is_secondhand(at(1_000), bound, false));
    assert!(is_secondhand(at(2_000), bound, false));
    assert!(is_secondhand(at(0), bound, true));
    assert!(max_wait(true) < max_wait(false));
}

#[test]
fn round_ends_when_no_time_is_left_for_an_answer() {
    let mut round = round();
    let old = following(4_700);
    assert!(at(5_000 - 4_700) < ANSWER_TIMEOUT + at(150));
    assert_eq!(round.next(&old, 7), Next::ReadLog);
}
