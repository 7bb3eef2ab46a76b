use std::time::Duration;

use godwitpost_decide::health::Access;
use godwitpost_types::clock::since;

use crate::dialect::Part;

use super::sample::MAX_SHARED_LOADS;
use super::{EndpointStats, LoadSample, Report};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn report(running: u32) -> Report {
    Report {
        running,
        waiting: 0,
        slots: 8,
    }
}

fn load(stats: &EndpointStats, now: Duration) -> u32 {
    tenths(stats.estimate(&[1], now)[0].load)
}

fn tenths(load: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "loads of the test are small"
    )]
    let load = (load * 10.0) as u32;
    load
}

#[test]
fn own_requests_are_not_counted_twice() {
    let mut stats = EndpointStats::default();
    stats.start_request(1);
    stats.start_request(1);
    stats.record_report(1, report(5), at(0));
    assert_eq!(load(&stats, at(0)), 50);
    stats.end_request(1, at(500));
    assert_eq!(load(&stats, at(0)), 40);
}

/// Guards against an endpoint that is taken for broken while it reads a long prompt.
#[test]
fn late_head_is_in_turn_while_nobody_gets_one() {
    let mut stats = EndpointStats::default();
    stats.record_report(1, report(5), at(900));
    assert!(stats.record_late_response(1, at(1_000), at(1_300)));
    stats.record_peer_load(1, 5, at(1_100));
    assert!(!stats.record_late_response(1, at(1_000), at(1_300)));
}

/// Guards against an endpoint that answers nobody any more and gets requests as long as it
/// streams earlier responses.
#[test]
fn late_head_is_a_failure_once_nobody_has_got_one_for_long() {
    let mut stats = EndpointStats::default();
    stats.record_report(1, report(5), at(900));
    assert!(stats.record_late_response(1, at(1_000), at(1_300)));
    assert!(stats.record_late_response(1, at(1_500), at(1_800)));
    assert!(!stats.record_late_response(1, at(1_700), at(2_000)));
    stats.record_report(1, report(5), at(2_100));
    assert!(stats.record_late_response(1, at(2_200), at(2_500)));
}

/// Guards against the same while it works through what came meanwhile.
#[test]
fn late_head_is_in_turn_behind_other_late_ones() {
    let mut stats = EndpointStats::default();
    stats.record_report(1, report(5), at(1_200));
    stats.record_response(1, at(900), at(1_200));
    assert!(stats.record_late_response(1, at(1_000), at(1_300)));
    stats.record_response(1, at(1_050), at(1_250));
    assert!(!stats.record_late_response(1, at(1_000), at(1_300)));
}

/// Guards against an endpoint that was busy when it last responded, has got nothing
/// since, and idles beside full ones because it counts as busy for ever.
#[test]
fn an_old_report_yields_to_those_of_other_endpoints() {
    let mut stats = EndpointStats::default();
    stats.record_report(1, report(6), at(0));
    let mut estimated = |now| {
        stats.record_report(2, report(2), now);
        tenths(stats.estimate(&[1, 2], now)[0].load)
    };
    assert!(estimated(at(100)) >= 55);
    let between = estimated(at(2_500));
    assert!((25..55).contains(&between), "{between}");
    assert_eq!(estimated(at(30_000)), 20);
}

/// One of ninety engines has just responded, with four requests of other instances. If
/// the rest counted as idle, it would look overloaded and its prompts would be processed
/// again elsewhere.
#[test]
fn endpoints_without_reports_are_estimated_like_the_others() {
    let mut stats = EndpointStats::default();
    stats.record_report(1, report(4), at(0));
    stats.start_request(2);
    let loads: Vec<u32> = stats
        .estimate(&[1, 2, 3], at(0))
        .iter()
        .map(|estimate| tenths(estimate.load))
        .collect();
    assert_eq!(loads, [40, 50, 40]);
}

#[test]
fn one_refused_connection_closes_an_endpoint_temporarily() {
    let mut stats = EndpointStats::default();
    stats.record_unreachable(1, at(0));
    assert_eq!(stats.estimate(&[1], at(0))[0].access, Access::None);
    stats.tick(at(1_100));
    assert_eq!(stats.estimate(&[1], at(1_100))[0].access, Access::Trial);
}

#[test]
fn removed_endpoints_are_dropped_with_their_last_request() {
    let mut stats = EndpointStats::default();
    stats.start_request(1);
    stats.retain_endpoints(|_| false);
    assert_eq!(load(&stats, at(0)), 10);
    stats.end_request(1, at(500));
    stats.retain_endpoints(|_| false);
    assert!(stats.entries.is_empty());
}

/// Demand covers the requests of the last seconds, separately for each part.
#[test]
fn a_part_is_in_demand_for_some_seconds() {
    let mut stats = EndpointStats::default();
    let part = |id| Part { id, tokens: 2_000 };
    let cost = |stats: &mut EndpointStats, id, secs| {
        let now = Duration::from_secs(secs);
        stats.record_prompt(1, part(id), (1.0, 1.0), now).cost
    };
    let alone = cost(&mut stats, 7, 10);
    assert!(cost(&mut stats, 7, 10) < alone);
    assert!(cost(&mut stats, 7, 11) < alone * 0.7);
    let other = cost(&mut stats, 8, 11);
    assert!((other - alone).abs() < 0.01, "{other} {alone}");
    let later = cost(&mut stats, 7, 60);
    assert!((later - alone).abs() < 0.01, "{later} {alone}");
}

/// One of eighty instances sends a request to an endpoint every seven seconds. Home
/// endpoints that happened to be busy stayed unknown to it, and 104 of 2,974 requests
/// reached one with more than twice the mean load. Reports that another instance received
/// count like its own, by their age.
#[test]
fn loads_received_by_other_instances_count_by_their_age() {
    let mut one = EndpointStats::default();
    let mut other = EndpointStats::default();
    one.record_report(7, report(9), at(5_000));
    let loads = one.take_new_loads(at(5_600));
    assert_eq!(loads.len(), 1);
    assert!(one.take_new_loads(at(5_600)).is_empty());
    for load in &loads {
        other.record_peer_load(load.endpoint, load.requests, since(at(5_600), load.age));
    }
    let estimate = other.estimate(&[7], at(5_700))[0];
    assert!(estimate.load >= 9.0, "{estimate:?}");
    assert_eq!(estimate, one.estimate(&[7], at(5_700))[0]);
    // An older report changes nothing, and none is forwarded for ever.
    other.record_peer_load(7, 1, at(4_000));
    assert!(other.estimate(&[7], at(5_700))[0].load >= 9.0);
    assert_eq!(other.recent_loads(at(6_000)).len(), 1);
    assert!(other.recent_loads(at(9_000)).is_empty());
}

/// Half of 252 endpoints are busy with a few long prompts. An instance that got only
/// their loads assumed the same of the others, and placed requests by twice the true
/// mean.
#[test]
fn sent_loads_have_the_mean_of_all() {
    for endpoints in [252, 3_300] {
        let mut one = EndpointStats::default();
        for id in 1..=endpoints {
            let running = if id % 2 == 0 { 6 } else { 1 };
            one.record_report(id, report(running), at(1_000));
        }
        let draw = |seed| {
            let now = at(1_200);
            LoadSample::default().draw(now, seed, || one.recent_loads(now))
        };
        let sent = draw(7);
        assert!(sent.len() <= MAX_SHARED_LOADS);
        let sum: u32 = sent.iter().map(|load| load.requests).sum();
        let mean = f64::from(sum) / f64::from(u32::try_from(sent.len()).unwrap_or(u32::MAX));
        assert!((3.2..3.8).contains(&mean), "{mean} of {endpoints}");
        // Another seed selects other loads, if they don't all fit.
        let again = draw(8);
        assert_eq!(sent == again, endpoints == 252);
    }
}

/// A request of 60 ms says nothing about the load a second later, while a stream of ten
/// seconds says most of it.
#[test]
fn a_report_counts_for_the_duration_of_requests() {
    let estimated = |duration: u64| {
        let mut stats = EndpointStats::default();
        for id in 1..=9 {
            for second in 0..10 {
                stats.record_report(id, report(2), at(1_000 * second));
            }
            stats.start_request(id);
            stats.end_request(id, at(duration));
        }
        stats.record_report(1, report(8), at(10_000));
        let estimate = stats.estimate(&[1, 2], at(11_000))[0];
        (estimate.load, estimate.std_dev)
    };
    let (short, large_std_dev) = estimated(60);
    let (long, small_std_dev) = estimated(10_000);
    assert!(short < 5.0 && long > 7.0, "{short} {long}");
    assert!(
        large_std_dev > small_std_dev * 1.5,
        "{large_std_dev} {small_std_dev}"
    );
}

/// Guards against endpoints that got no requests for a while and count as just as busy as
/// those that did.
#[test]
fn an_idle_endpoint_has_what_is_left_of_its_last_report() {
    let load = |idle: Option<u64>| {
        let mut stats = EndpointStats::default();
        for id in 1..=4 {
            for second in 0..10 {
                stats.record_report(id, report(12), at(1_000 * second));
            }
        }
        if let Some(idle_at) = idle {
            stats.set_idle(1, at(idle_at));
        }
        stats.estimate(&[1, 2, 3, 4], at(idle.unwrap_or(20_000)))[0].load
    };
    assert!(load(None) > 10.0);
    // Long after the last report, and shortly after it.
    assert!(load(Some(20_000)) < 0.1);
    assert!(load(Some(9_500)) > 10.0);
}

/// Guards against a rush to endpoints that are used again: all instances sent there for
/// seconds, as none expected the others to.
#[test]
fn an_idle_endpoint_is_expected_to_fill_up_like_others() {
    let mut stats = EndpointStats::default();
    for id in 1..=4 {
        for second in 0..10 {
            stats.record_report(id, report(12), at(1_000 * second));
        }
    }
    stats.set_idle(1, at(20_000));
    // Ten times as long as a request takes.
    let estimates = stats.estimate(&[1, 2, 3, 4], at(30_000));
    let returned = estimates[0].load + estimates[0].filling;
    let other = estimates[1].load;
    assert!(
        (returned - other).abs() < 0.1 * other,
        "{returned}, {other}"
    );
}
