//! Simulation of instances and of endpoints that announce a leaving or ask for pauses.
//!
//! Time is simulated and random numbers are seeded. The log is unavailable at times and
//! lists outdated states of endpoints; requests are in flight for up to a quarter of a
//! second. The notices, the roster and the choice of endpoints are those of the production
//! code.

mod endpoint;
mod instance;
mod world;

use world::{Guard, Size, run_schedule};

/// Number of schedules that are checked with few instances.
const SMALL_SCHEDULES: u64 = 10_000;

/// Number of schedules that are checked with many instances.
const MEDIUM_SCHEDULES: u64 = 20;
const LARGE_SCHEDULES: u64 = 6;

/// Number of threads that run schedules.
const THREADS: u64 = 4;

/// Number of schedules of which at least one must fail when a guard is disabled.
const GUARD_SCHEDULES: u64 = 100;

const SMALL: Size = Size {
    instances: 6,
    endpoints: 5,
    per_second: 60,
};
const MEDIUM: Size = Size {
    instances: 82,
    endpoints: 16,
    per_second: 400,
};
const LARGE: Size = Size {
    instances: 300,
    endpoints: 40,
    per_second: 1_200,
};

fn run_schedules(size: Size, schedules: u64) {
    std::thread::scope(|scope| {
        for thread_number in 0..THREADS {
            scope.spawn(move || {
                for seed in (0..schedules).filter(|seed| seed % THREADS == thread_number) {
                    if let Err(violation) = run_schedule(seed, size, None) {
                        panic!("seed {seed}: {violation}");
                    }
                }
            });
        }
    });
}

fn count_failures(guard: Guard) -> usize {
    (0..GUARD_SCHEDULES)
        .filter(|seed| run_schedule(*seed, SMALL, Some(guard)).is_err())
        .count()
}

/// Guards against requests to endpoints that are leaving or paused, and against endpoints
/// that stay unused for longer than that.
#[test]
fn endpoint_notices_are_respected() {
    run_schedules(SMALL, SMALL_SCHEDULES);
}

#[test]
fn endpoint_notices_are_respected_by_many_instances() {
    run_schedules(MEDIUM, MEDIUM_SCHEDULES);
    run_schedules(LARGE, LARGE_SCHEDULES);
}

#[test]
fn schedules_fail_if_only_the_log_announces_leaving() {
    assert!(count_failures(Guard::Leaving) > 0);
}

#[test]
fn schedules_fail_without_pauses() {
    assert!(count_failures(Guard::Pauses) > 0);
}

#[test]
fn schedules_fail_without_trials_after_pauses() {
    assert!(count_failures(Guard::Trials) > 0);
}

#[test]
fn schedules_fail_if_notices_ignore_incarnations() {
    assert!(count_failures(Guard::Incarnations) > 0);
}
