use super::*;

const fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

const fn destination(endpoint: EndpointId) -> Destination {
    Destination {
        endpoint,
        service: 1,
        zone: 2,
    }
}

fn lose(reach: &mut Reach, endpoints: std::ops::Range<EndpointId>, now: Moment) {
    for endpoint in endpoints {
        reach.record_loss(destination(endpoint), now, 0.5);
    }
}

#[test]
fn an_endpoint_that_others_reach_is_sent_to_through_them() {
    let mut reach = Reach::default();
    assert_eq!(reach.way(destination(1)), Way::Direct);
    assert!(reach.record_loss(destination(1), at(0), 0.5));
    assert!(!reach.record_loss(destination(1), at(1), 0.5));
    assert_eq!(reach.way(destination(1)), Way::Forward);
    assert_eq!(reach.way(destination(2)), Way::Direct);
    assert_eq!(reach.lost_count(), 1);
}

/// Guards against requests that each find out anew, at thousands of endpoints, that none of
/// a service can be connected to.
#[test]
fn three_lost_endpoints_make_others_of_their_service_and_zone_suspect() {
    let mut reach = Reach::default();
    lose(&mut reach, 1..3, at(0));
    assert_eq!(reach.way(destination(9)), Way::Direct);
    lose(&mut reach, 3..4, at(10));
    assert_eq!(reach.way(destination(9)), Way::Forward);
    let elsewhere = Destination {
        zone: 3,
        ..destination(9)
    };
    assert_eq!(reach.way(elsewhere), Way::Direct);
    let other_service = Destination {
        service: 3,
        ..destination(9)
    };
    assert_eq!(reach.way(other_service), Way::Direct);
}

#[test]
fn a_connection_brings_its_group_back() {
    let mut reach = Reach::default();
    lose(&mut reach, 1..5, at(0));
    assert!(reach.take_probe(destination(9), at(1), 0.5));
    assert!(!reach.take_probe(destination(8), at(2), 0.5));
    let elsewhere = Destination {
        zone: 3,
        ..destination(7)
    };
    reach.record_loss(elsewhere, at(3), 0.5);
    assert_eq!(reach.record_connected(destination(9)), [1, 2, 3, 4]);
    assert_eq!(reach.way(destination(8)), Way::Direct);
    assert_eq!(reach.way(destination(1)), Way::Direct);
    assert_eq!(reach.way(elsewhere), Way::Forward);
}

#[test]
fn probes_are_deferred_for_longer_each_time_up_to_a_limit() {
    let mut reach = Reach::default();
    lose(&mut reach, 1..2, at(0));
    let mut probes = Vec::new();
    for millis in 0..10_000 {
        if reach.take_probe(destination(1), at(millis), 0.5) {
            probes.push(millis);
        }
    }
    assert_eq!(probes, [400, 1_200, 2_800, 4_400, 6_000, 7_600, 9_200]);
    assert_eq!(reach.record_connected(destination(1)), [1]);
    assert_eq!(reach.way(destination(1)), Way::Direct);
}

/// Guards against a fleet that asks each other for every request while a service is down.
#[test]
fn an_endpoint_that_nobody_reaches_is_not_asked_for_again_at_once() {
    let mut reach = Reach::default();
    assert!(reach.may_ask_others(1, at(0)));
    reach.record_down(1, at(0));
    assert!(!reach.may_ask_others(1, at(499)));
    assert!(reach.may_ask_others(1, at(500)));
    reach.record_connected(destination(1));
    assert!(reach.may_ask_others(1, at(11)));
}

#[test]
fn endpoints_that_are_gone_are_forgotten() {
    let mut reach = Reach::default();
    lose(&mut reach, 1..5, at(0));
    reach.retain_endpoints(|endpoint| endpoint > 4);
    assert_eq!(reach.lost_count(), 0);
    assert_eq!(reach.way(destination(9)), Way::Direct);
}
