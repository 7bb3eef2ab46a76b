use std::net::SocketAddr;
use std::time::Duration;

use super::{
    Ability, MAX_POLLERS, MIN_STANDBYS, POLLER_TIMEOUT, POLLERS_PER_STANDBY, Peers, Pollers,
};

const ABILITY: Ability = Ability {
    reads_log: false,
    has_list: true,
    link_rate: 2_500_000,
};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn polled_by(count: u16) -> Pollers {
    let mut pollers = Pollers::default();
    for n in 1..=count {
        pollers.record_poll(Some(address(n)), ABILITY, at(1_000));
    }
    pollers
}

#[test]
fn standbys_stay_the_same_while_they_poll() {
    let mut pollers = polled_by(90);
    let before = pollers.standbys(7, at(1_500)).to_vec();
    assert_eq!(before.len(), MIN_STANDBYS);
    for n in 1..=90 {
        pollers.record_poll(Some(address(n)), ABILITY, at(2_500));
    }
    assert_eq!(pollers.standbys(7, at(3_000)), before);
    // Another seed names other standbys.
    assert_ne!(pollers.standbys(8, at(3_000)), before);
}

/// A standby loses power. If it were still named, all others would poll it in
/// vain just when the seeds are gone as well.
#[test]
fn an_instance_that_stops_polling_is_no_standby() {
    let mut pollers = polled_by(90);
    let gone = pollers.standbys(7, at(1_500))[0];
    for n in 1..=90 {
        if address(n) != gone {
            pollers.record_poll(Some(address(n)), ABILITY, at(4_000));
        }
    }
    let now = at(1_000) + POLLER_TIMEOUT;
    assert!(!pollers.standbys(7, now).contains(&gone));
    assert_eq!(pollers.standbys(7, now).len(), MIN_STANDBYS);
    assert!(pollers.any_recent(now));
    assert!(!pollers.any_recent(at(4_000) + POLLER_TIMEOUT));
}

/// An unknown host polls from thousands of addresses at the peers' port. No more
/// are kept than a fleet has, and known instances are recorded again when those
/// time out.
#[test]
fn unknown_pollers_do_not_exhaust_memory() {
    let mut pollers = polled_by(u16::try_from(MAX_POLLERS + 500).expect("fewer than ports"));
    assert_eq!(pollers.last_polls.len(), MAX_POLLERS);
    let known = address(60_000);
    pollers.record_poll(Some(known), ABILITY, at(1_000) + POLLER_TIMEOUT);
    assert_eq!(pollers.standbys(7, at(1_000) + POLLER_TIMEOUT), [known]);
}

#[test]
fn seeds_are_polled_in_turn_and_then_standbys() {
    let seeds = vec![address(1), address(2), address(3)];
    let mut peers = Peers::new(seeds, Some(address(50)), 1);
    peers.set_standbys(address(2), vec![address(20), address(21)]);
    peers.set_standbys(address(3), vec![address(20), address(30)]);
    let round = peers.next_round(5);
    assert_eq!(round[..3], [address(2), address(3), address(1)]);
    let mut rest = round[3..].to_vec();
    rest.sort();
    assert_eq!(rest, [address(20), address(21), address(30)]);
    assert_eq!(peers.next_round(5)[0], address(3));
}

/// All seeds are gone. If the standbys polled each other, each would wait for
/// what another one reads, and none would read the log.
#[test]
fn a_standby_polls_only_seeds() {
    let mut peers = Peers::new(vec![address(1)], Some(address(20)), 0);
    peers.set_standbys(address(1), vec![address(20), address(21)]);
    assert!(peers.is_standby());
    assert_eq!(peers.next_round(5), [address(1)]);
    // Standbys named by an instance other than a seed are ignored.
    peers.set_standbys(address(1), vec![address(21)]);
    peers.set_standbys(address(9), vec![address(20)]);
    assert!(!peers.is_standby());
    assert_eq!(peers.next_round(5), [address(1), address(21)]);
}

/// Guards against a fleet that undercounts its instances, so that each of them
/// takes too large a share.
#[test]
fn instances_are_counted_across_all_seeds() {
    let mut pollers = Pollers::default();
    assert_eq!(pollers.count(at(1_000)), 1);
    pollers.record_poll(Some(address(1)), ABILITY, at(1_000));
    pollers.record_poll(Some(address(2)), ABILITY, at(2_000));
    pollers.record_peer_count(address(8), 30, at(2_000));
    pollers.record_peer_count(address(9), 20, at(2_000));
    pollers.record_peer_count(address(9), 25, at(3_000));
    assert_eq!(pollers.count(at(3_000)), 58);
    assert_eq!(pollers.count(at(8_000)), 56);
    assert_eq!(pollers.count(at(40_000)), 1);
}

/// Guards against standbys with slow links: the seeds of hundreds of instances fail, and
/// the standbys take minutes to send each of them what it lacks.
#[test]
fn instances_with_fast_links_are_standbys() {
    const FAST: Ability = Ability {
        link_rate: 125_000_000,
        ..ABILITY
    };
    let mut pollers = polled_by(300);
    let fast = [17, 150, 290];
    for n in fast {
        pollers.record_poll(Some(address(n)), FAST, at(1_000));
    }
    let standbys = pollers.standbys(7, at(1_500));
    assert!(fast.iter().all(|n| standbys.contains(&address(*n))));
}

/// Guards against a few standbys for any number of instances: with six for a thousand, each
/// sends a hundred and sixty lists when the seeds fail.
#[test]
fn standbys_grow_with_the_instances_that_poll() {
    for count in [10, 256, 985, 1_970] {
        let standbys = polled_by(count).standbys(7, at(1_500)).len();
        assert_eq!(
            standbys,
            (usize::from(count) / POLLERS_PER_STANDBY).max(MIN_STANDBYS)
        );
    }
}

/// Guards against instances that are counted wrong when one seed is left for all of them,
/// which makes each take too large a share of an endpoint that is warming up.
#[test]
fn a_seed_that_is_left_alone_counts_all_instances() {
    for count in [330, 985, 1_970] {
        assert_eq!(polled_by(count).own_count(at(1_500)), u32::from(count) + 1);
    }
}

/// Guards against seeds that stay without a list while an instance that polls them has it:
/// they poll those that they name as standbys.
#[test]
fn instances_that_have_the_list_are_standbys() {
    const WITHOUT: Ability = Ability {
        reads_log: false,
        has_list: false,
        link_rate: 125_000_000,
    };
    let mut pollers = Pollers::default();
    for n in 1..=90 {
        let ability = if n == 70 { ABILITY } else { WITHOUT };
        pollers.record_poll(Some(address(n)), ability, at(1_000));
    }
    assert_eq!(pollers.standbys(7, at(1_500))[0], address(70));
}

/// Guards against seeds that name each other as standbys, and then poll nobody else.
#[test]
fn seeds_are_no_standbys() {
    let mut pollers = Pollers::new(vec![address(1), address(2)]);
    for n in 1..=5 {
        pollers.record_poll(Some(address(n)), ABILITY, at(1_000));
    }
    let mut standbys = pollers.standbys(7, at(1_500)).to_vec();
    standbys.sort();
    assert!(standbys.iter().all(|one| *one > address(2)), "{standbys:?}");
    assert_eq!(standbys.len(), MIN_STANDBYS);
}

/// Guards against standbys with slow links that stay named while all instances start, only
/// because they polled first.
#[test]
fn standbys_are_chosen_again_while_pollers_come() {
    const FAST: Ability = Ability {
        link_rate: 125_000_000,
        ..ABILITY
    };
    let mut pollers = polled_by(2);
    assert_eq!(pollers.standbys(7, at(1_000)).len(), MIN_STANDBYS);
    pollers.record_poll(Some(address(3)), FAST, at(1_010));
    pollers.record_poll(Some(address(4)), FAST, at(1_010));
    let mut standbys = pollers.standbys(7, at(1_020)).to_vec();
    standbys.sort();
    assert_eq!(standbys, [address(3), address(4)]);
}

/// Guards against a seed that can't read the log and knows nobody else to ask.
#[test]
fn a_seed_polls_the_standbys_that_it_names() {
    let mut peers = Peers::new(vec![address(1)], Some(address(2)), 0);
    peers.set_own_standbys(vec![address(20)]);
    assert_eq!(peers.next_round(5), [address(1), address(20)]);
}
