use std::net::SocketAddr;
use std::time::Duration;

use super::{ASKING, NAMED, Peers, Pollers, REMEMBERED};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn polled_by(count: u16) -> Pollers {
    let mut askers = Pollers::default();
    for n in 1..=count {
        askers.record_poll(Some(address(n)), at(1_000));
    }
    askers
}

#[test]
fn standbys_stay_the_same_while_they_ask() {
    let mut askers = polled_by(90);
    let before = askers.standbys(7, at(1_500));
    assert_eq!(before.len(), NAMED);
    for n in 1..=90 {
        askers.record_poll(Some(address(n)), at(2_500));
    }
    assert_eq!(askers.standbys(7, at(3_000)), before);
    // Another seed names others.
    assert_ne!(askers.standbys(8, at(3_000)), before);
}

/// A standby lost power. Named on, it would be asked in vain by all others just
/// when the seeds are gone as well.
#[test]
fn one_that_asks_no_more_is_no_standby() {
    let mut askers = polled_by(90);
    let gone = askers.standbys(7, at(1_500))[0];
    for n in 1..=90 {
        if address(n) != gone {
            askers.record_poll(Some(address(n)), at(4_000));
        }
    }
    let now = at(1_000) + ASKING;
    assert!(!askers.standbys(7, now).contains(&gone));
    assert_eq!(askers.standbys(7, now).len(), NAMED);
    assert!(askers.any_recent(now));
    assert!(!askers.any_recent(at(4_000) + ASKING));
}

/// A stranger at the peers' port asks under a thousand addresses. No more are kept
/// than a fleet has, and real ones come in again when those are over.
#[test]
fn strangers_do_not_fill_the_memory() {
    let mut askers = polled_by(u16::try_from(REMEMBERED).unwrap_or(0) + 500);
    assert_eq!(askers.asked.len(), REMEMBERED);
    askers.record_poll(Some(address(9_999)), at(1_000) + ASKING);
    assert_eq!(askers.standbys(7, at(1_000) + ASKING), [address(9_999)]);
}

#[test]
fn seeds_are_asked_in_turn_and_then_standbys() {
    let seeds = vec![address(1), address(2), address(3)];
    let mut peers = Peers::new(seeds, Some(address(50)), 1);
    peers.set_standbys(address(2), vec![address(20), address(21)]);
    peers.set_standbys(address(3), vec![address(20), address(30)]);
    let turn = peers.next_round(5);
    assert_eq!(turn[..3], [address(2), address(3), address(1)]);
    let mut rest = turn[3..].to_vec();
    rest.sort();
    assert_eq!(rest, [address(20), address(21), address(30)]);
    assert_eq!(peers.next_round(5)[0], address(3));
}

/// All seeds are gone. If the standbys asked each other, each would wait for what
/// another one reads, and nobody would read the log.
#[test]
fn a_standby_asks_seeds_alone() {
    let mut peers = Peers::new(vec![address(1)], Some(address(20)), 0);
    peers.set_standbys(address(1), vec![address(20), address(21)]);
    assert!(peers.is_standby());
    assert_eq!(peers.next_round(5), [address(1)]);
    // What another instance than a seed names counts for nothing.
    peers.set_standbys(address(1), vec![address(21)]);
    peers.set_standbys(address(9), vec![address(20)]);
    assert!(!peers.is_standby());
    assert_eq!(peers.next_round(5), [address(1), address(21)]);
}

/// Guards against a fleet that counts itself too small, so that all its instances
/// take too great a share.
#[test]
fn instances_are_counted_over_all_that_are_asked() {
    let mut askers = Pollers::default();
    assert_eq!(askers.count(at(1_000)), 1);
    askers.record_poll(Some(address(1)), at(1_000));
    askers.record_poll(Some(address(2)), at(2_000));
    askers.record_peer_count(address(8), 30, at(2_000));
    askers.record_peer_count(address(9), 20, at(2_000));
    askers.record_peer_count(address(9), 25, at(3_000));
    assert_eq!(askers.count(at(3_000)), 58);
    assert_eq!(askers.count(at(8_000)), 56);
    assert_eq!(askers.count(at(40_000)), 1);
}
