use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{InstanceCount, Shares};
use crate::policy::Ramp;

/// Sixteen requests a second.
const RAMP: Ramp = Ramp {
    time: Duration::from_secs(3),
    spacing: Duration::from_micros(62_500),
};

/// The maximum that the users allow within any second: 16 x 1.5 + 5.
const ALLOWED: usize = 29;

/// Requests a second to an endpoint in demand.
const DEMAND: u32 = 200;

// Sends what the shares allow to one endpoint in demand for ten seconds; returns the
// maximum that it got within any second.
fn max_per_second(seed: u64, instances: u32, counted: Option<u32>) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let endpoint = rng.random();
    let mut shares: Vec<Shares> = (0..instances).map(|_| Shares::new(rng.random())).collect();
    let mut sent: Vec<Duration> = Vec::new();
    for request in 0..10 * DEMAND {
        let now = Duration::from_secs(50) + Duration::from_secs(1) / DEMAND * request;
        let one = rng.random_range(0..shares.len());
        if shares[one].try_take(endpoint, RAMP, counted, now) {
            sent.push(now);
        }
    }
    let within = |from: &Duration| {
        let until = *from + Duration::from_secs(1);
        sent.iter().filter(|at| *at >= from && **at < until).count()
    };
    sent.iter().map(within).max().unwrap_or(0)
}

/// Guards against an endpoint that crashes each time it starts, because all instances
/// send the requests that piled up while it was down.
#[test]
fn endpoint_in_demand_is_not_overloaded() {
    for instances in [1, 3, 9, 82, 300] {
        for seed in 0..2_000 {
            let max = max_per_second(seed, instances, Some(instances));
            assert!(max <= ALLOWED, "{max} of {instances}, seed {seed}");
        }
    }
}

/// Shows that the limit is exceeded without shares, and with a count that is far too low.
#[test]
fn limit_is_exceeded_with_a_wrong_count() {
    assert!(max_per_second(1, 300, Some(1)) > ALLOWED);
    assert!((0..200).any(|seed| max_per_second(seed, 82, Some(20)) > ALLOWED));
}

/// Guards against endpoints that get nothing while they are warming up.
#[test]
fn endpoint_in_demand_gets_part_of_the_limit() {
    for instances in [1, 9, 82, 300] {
        let sent: usize = (0..50)
            .map(|seed| max_per_second(seed, instances, Some(instances)))
            .sum();
        assert!(sent / 50 >= 6, "{} of {instances}", sent / 50);
    }
}

/// Guards against a burst after all instances started at once, before any of them has
/// counted the others.
#[test]
fn uncounted_fleet_is_assumed_to_be_large() {
    for seed in 0..200 {
        assert!(max_per_second(seed, 300, None) <= ALLOWED, "seed {seed}");
    }
}

/// Guards against shares that are too large while a seed that has just started knows few
/// instances.
#[test]
fn lower_count_is_applied_late() {
    let at = Duration::from_secs;
    let mut count = InstanceCount::default();
    assert_eq!(count.get(at(5)), None);
    count.update(82, at(5));
    count.update(7, at(30));
    assert_eq!(count.get(at(31)), Some(82));
    count.update(90, at(40));
    assert_eq!(count.get(at(41)), Some(90));
    count.update(7, at(101));
    assert_eq!(count.get(at(102)), Some(7));
    assert_eq!(count.get(at(200)), None);
}

#[test]
fn request_is_given_back_within_its_second() {
    const NOW: Duration = Duration::from_secs(50);
    let two_a_second = Ramp {
        spacing: Duration::from_millis(250),
        ..RAMP
    };
    let mut shares = Shares::new(7);
    let take = |shares: &mut Shares, now| shares.try_take(1, two_a_second, Some(1), now);
    let taken = (0..10).filter(|_| take(&mut shares, NOW)).count();
    assert!((2..=3).contains(&taken), "{taken}");
    shares.give_back(1, NOW + Duration::from_millis(900));
    assert!(take(&mut shares, NOW));
    shares.give_back(1, NOW + Duration::from_secs(1));
    assert!(!take(&mut shares, NOW));
}
