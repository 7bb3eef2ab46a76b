use std::collections::BTreeSet;

use super::*;

const fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn known(count: u16, is_seed: bool) -> Forwarders {
    let mut forwarders = Forwarders::new(Some(address(0)), is_seed);
    for n in 0..=count {
        forwarders.record(address(n), at(u64::from(n)));
    }
    forwarders
}

#[test]
fn an_instance_does_not_ask_itself() {
    assert_eq!(known(0, false).pick(&[], 1, at(0)), None);
    assert_eq!(known(1, false).pick(&[], 1, at(0)), Some(address(1)));
    assert_eq!(known(1, false).pick(&[address(1)], 1, at(0)), None);
}

/// Guards against hundreds of instances that turn to the same few.
#[test]
fn samples_and_picks_are_spread_over_all_instances() {
    let forwarders = known(300, true);
    let draws = (0..2_000_u64).map(|n| id::from_name(&n.to_string()));
    let mut named = BTreeMap::<SocketAddr, u32>::new();
    for sample in draws.map(|draw| forwarders.sample(draw, at(300))) {
        for one in sample.into_iter().filter(|one| *one != address(0)) {
            *named.entry(one).or_default() += 1;
        }
    }
    assert_eq!(named.len(), 300);
    // Each is named 53 times in the mean.
    assert!(named.values().all(|count| *count < 53 * 4), "{named:?}");
    let picked: BTreeSet<_> = (0..300)
        .filter_map(|draw| forwarders.pick(&[], draw << 32, at(300)))
        .collect();
    assert_eq!(picked.len(), 300);
}

#[test]
fn instances_that_are_gone_are_not_named() {
    let forwarders = known(3, true);
    assert_eq!(forwarders.sample(0, at(5_002)), [address(3), address(0)]);
}

#[test]
fn an_instance_is_passed_over_for_a_while() {
    let mut forwarders = known(2, false);
    forwarders.avoid(address(1), Fault::OutOfReach, at(0));
    for draw in 0..4 {
        assert_eq!(forwarders.pick(&[], draw << 32, at(999)), Some(address(2)));
    }
    forwarders.avoid(address(2), Fault::Gone, at(0));
    assert_eq!(forwarders.pick(&[], 0, at(999)), Some(address(1)));
}

/// Guards against requests that find out anew which of the others are cut off as well.
#[test]
fn instances_that_sent_a_request_on_are_preferred() {
    let mut forwarders = known(20, false);
    forwarders.record_sent_on(address(5), at(100));
    let mut picks = BTreeMap::<SocketAddr, u32>::new();
    for n in 0..3_000_u64 {
        let draw = id::from_name(&n.to_string());
        let picked = forwarders.pick(&[], draw, at(200)).expect("an instance");
        *picks.entry(picked).or_default() += 1;
    }
    let proven = picks.get(&address(5)).copied().unwrap_or(0);
    assert!((1_900..2_200).contains(&proven), "{proven}");
    assert_eq!(picks.len(), 20);
    forwarders.avoid(address(5), Fault::OutOfReach, at(200));
    assert!((0..50).all(|n| forwarders.pick(&[], n << 32, at(300)) != Some(address(5))));
}

/// Guards against memory that grows with the fleet at instances that are only told.
#[test]
fn only_the_last_instances_are_remembered() {
    let forwarders = known(100, false);
    assert_eq!(forwarders.known.len(), MAX_TOLD);
    assert!(
        forwarders
            .known
            .values()
            .all(|one| one.heard_at > at(100 - 32))
    );
}
