//! Simulation of instances that lose their paths to endpoints, again and again.
//!
//! Time is simulated and random numbers are seeded. Cuts take the paths of some instances to
//! all endpoints or to those of one zone, by refusal or by silence; endpoints are down at
//! times. What is out of reach, whom an instance asks, and the health of endpoints are those
//! of the production code.

mod instance;
mod world;

use world::{Cuts, Guard, Size, run_schedule};

/// Number of schedules that are checked with few instances.
const SMALL_SCHEDULES: u64 = 10_000;

/// Number of schedules that are checked with few instances and cuts of zones.
const ZONE_SCHEDULES: u64 = 2_000;

/// Number of schedules that are checked with many instances.
const MEDIUM_SCHEDULES: u64 = 20;
const LARGE_SCHEDULES: u64 = 6;

/// Number of threads that run schedules.
const THREADS: u64 = 4;

/// Number of schedules of which at least one must fail when a guard is disabled.
const GUARD_SCHEDULES: u64 = 40;

const SMALL: Size = Size {
    instances: 6,
    endpoints: 9,
    per_second: 60,
};
const MEDIUM: Size = Size {
    instances: 82,
    endpoints: 30,
    per_second: 600,
};
const LARGE: Size = Size {
    instances: 300,
    endpoints: 120,
    per_second: 2_400,
};

fn run_schedules(size: Size, cuts: Cuts, schedules: u64) {
    std::thread::scope(|scope| {
        for thread_number in 0..THREADS {
            scope.spawn(move || {
                for seed in (0..schedules).filter(|seed| seed % THREADS == thread_number) {
                    if let Err(violation) = run_schedule(seed, size, cuts, None) {
                        panic!("seed {seed}: {violation}");
                    }
                }
            });
        }
    });
}

fn count_failures(size: Size, guard: Guard) -> usize {
    (0..GUARD_SCHEDULES)
        .filter(|seed| run_schedule(*seed, size, Cuts::Scattered, Some(guard)).is_err())
        .count()
}

/// Guards against callers of instances without paths that are served less than two thirds
/// as often as others, and against paths that stay unused after they healed.
#[test]
fn callers_are_served_beside_cuts() {
    run_schedules(SMALL, Cuts::Scattered, SMALL_SCHEDULES);
}

#[test]
fn callers_are_served_beside_cuts_of_many_instances() {
    run_schedules(MEDIUM, Cuts::Scattered, MEDIUM_SCHEDULES);
    run_schedules(LARGE, Cuts::Scattered, LARGE_SCHEDULES);
}

/// Guards against the same where most or all instances of a zone are cut off together, and
/// all of them turn to the other zones.
#[test]
fn callers_are_served_beside_cuts_of_zones() {
    run_schedules(SMALL, Cuts::ByZone, ZONE_SCHEDULES);
    run_schedules(MEDIUM, Cuts::ByZone, MEDIUM_SCHEDULES);
    run_schedules(LARGE, Cuts::ByZone, LARGE_SCHEDULES);
}

#[test]
fn schedules_of_zones_fail_without_other_instances() {
    let fails = |seed| run_schedule(seed, SMALL, Cuts::ByZone, Some(Guard::Forwarding)).is_err();
    assert!((0..GUARD_SCHEDULES).any(fails));
}

#[test]
fn schedules_fail_without_other_instances() {
    assert!(count_failures(SMALL, Guard::Forwarding) > 0);
}

#[test]
fn schedules_fail_if_paths_are_never_tried_again() {
    assert!(count_failures(SMALL, Guard::Probes) > 0);
}

#[test]
fn schedules_fail_if_all_turn_to_the_same_instances() {
    assert!(count_failures(MEDIUM, Guard::Spread) > 0);
}

#[test]
fn schedules_fail_if_instances_that_are_cut_off_are_asked_again() {
    assert!(count_failures(MEDIUM, Guard::Avoidance) > 0);
}

#[test]
fn schedules_fail_if_others_are_asked_for_every_dead_endpoint() {
    assert!(count_failures(SMALL, Guard::DeadEndpoints) > 0);
}
