use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_types::clock::Moment;

use super::{MAX_MEMBERS, Members, REPLICAS, digest};

fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + n))
}

// Returns two seeds, and an instance that polls each, after the seeds have exchanged what they
// know of `count` instances.
fn fleet(count: u16) -> [Members; 4] {
    let mut seeds = [0, 1].map(|n| Members::new(Some(address(n))));
    for n in 2..count {
        seeds[usize::from(n % 2)].record_poll(address(n), at(0));
    }
    let polling: [Vec<SocketAddr>; 2] = [0, 1].map(|n: usize| seeds[n].polling(at(0)));
    let [first, second] = polling;
    seeds[0].record_seed(address(1), second, at(0));
    seeds[1].record_seed(address(0), first, at(0));
    let mut pollers = [2, 3].map(|n| Members::new(Some(address(n))));
    for (poller, seed) in pollers.iter_mut().zip(&mut seeds) {
        poller.follow(seed.list(at(0)).to_vec());
    }
    let [a, b] = seeds;
    let [c, d] = pollers;
    [a, b, c, d]
}

/// Guards against an instance that asks others than those that were told of a stream.
#[test]
fn all_instances_draw_the_same_replicas_for_a_stream() {
    for count in [6, 40, 300] {
        let mut fleet = fleet(count);
        let lists = fleet.each_mut().map(|one| one.list(at(0)).to_vec());
        assert_eq!(lists[0].len(), usize::from(count).min(MAX_MEMBERS));
        assert!(lists.iter().all(|list| *list == lists[0]), "{count}");
        for stream in 0..100 {
            let drawn = fleet.each_mut().map(|one| one.replicas(stream, at(0)));
            for (n, replicas) in (0..).zip(&drawn) {
                assert_eq!(replicas.len(), REPLICAS);
                assert!(!replicas.contains(&address(n)));
                let common = replicas.iter().filter(|one| drawn[0].contains(one));
                assert!(common.count() >= REPLICAS - 2, "{count} {stream}");
            }
        }
    }
}

#[test]
fn instances_that_stop_polling_leave_the_list() {
    let mut seed = Members::new(Some(address(0)));
    seed.record_poll(address(1), at(0));
    seed.record_poll(address(2), at(4_000));
    assert_eq!(seed.list(at(4_000)).len(), 3);
    let mut left = seed.list(at(6_000)).to_vec();
    left.sort();
    assert_eq!(left, [address(0), address(2)]);
    seed.record_seed(address(9), vec![address(9), address(8)], at(6_000));
    assert_eq!(seed.list(at(6_500)).len(), 4);
    assert_eq!(seed.list(at(12_000)), [address(0)]);
}

/// Guards against a list that dies with the seeds: the last one stays in use.
#[test]
fn list_of_a_lost_seed_stays() {
    let [_, _, mut poller, _] = fleet(6);
    assert_eq!(poller.list(at(60_000)).len(), 6);
    assert_eq!(poller.followed().len(), 6);
}

#[test]
fn streams_are_spread_over_all_members() {
    let mut members = fleet(40).into_iter().next().expect("a seed");
    let mut counts = std::collections::BTreeMap::<SocketAddr, u32>::new();
    for stream in 0..10_000 {
        for one in members.replicas(stream * 0x9e37, at(0)) {
            *counts.entry(one).or_default() += 1;
        }
    }
    let mean = 10_000 * 4 / 39;
    assert_eq!(counts.len(), 39);
    assert!(
        counts
            .values()
            .all(|count| (mean / 2..mean * 2).contains(count))
    );
}

#[test]
fn digest_tells_lists_apart() {
    let list = [address(1), address(2)];
    assert_eq!(digest(&list), digest(&list.clone()));
    assert_ne!(digest(&list), digest(&list[..1]));
    assert_ne!(digest(&[]), digest(&list[..1]));
    let v6: SocketAddr = "[::1]:80".parse().expect("an address");
    assert_ne!(digest(&[v6]), digest(&list[..1]));
}
