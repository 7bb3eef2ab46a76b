//! Instances and endpoints that say of themselves that they leave or want no requests.
//!
//! Time is driven and seeded. The log is away now and then, and lists endpoints as they
//! were; requests are under way for up to a quarter of a second. What notes and remembers
//! the endpoints' words, and what picks, is what runs.

mod endpoint;
mod instance;
mod world;

use world::{Guard, Size, play};

/// Schedules that the promises are played over with few instances.
const SEEDS: u64 = 10_000;

/// The same with many.
const OF_MANY: u64 = 20;
const OF_HUNDREDS: u64 = 6;

/// Threads that play them.
const PARTS: u64 = 4;

/// Schedules in which a guard that is taken out has to be missed.
const FEW: u64 = 100;

const SMALL: Size = Size {
    instances: 6,
    endpoints: 5,
    per_second: 60,
};
const MANY: Size = Size {
    instances: 82,
    endpoints: 16,
    per_second: 400,
};
const HUNDREDS: Size = Size {
    instances: 300,
    endpoints: 40,
    per_second: 1_200,
};

fn play_all(size: Size, seeds: u64) {
    std::thread::scope(|scope| {
        for part in 0..PARTS {
            scope.spawn(move || {
                for seed in (0..seeds).filter(|seed| seed % PARTS == part) {
                    if let Err(broken) = play(seed, size, None) {
                        panic!("seed {seed}: {broken}");
                    }
                }
            });
        }
    });
}

fn missed(guard: Guard) -> usize {
    (0..FEW)
        .filter(|seed| play(*seed, SMALL, Some(guard)).is_err())
        .count()
}

/// Guards against requests to endpoints that said that they leave or want none, and against
/// endpoints that are left out for longer than that.
#[test]
fn what_endpoints_say_of_themselves_is_kept_to() {
    play_all(SMALL, SEEDS);
}

#[test]
fn what_endpoints_say_of_themselves_is_kept_to_by_many() {
    play_all(MANY, OF_MANY);
    play_all(HUNDREDS, OF_HUNDREDS);
}

#[test]
fn schedules_break_instances_that_hear_of_leaving_from_the_log_alone() {
    assert!(missed(Guard::Leaving) > 0);
}

#[test]
fn schedules_break_instances_that_send_to_whoever_wants_none() {
    assert!(missed(Guard::Pauses) > 0);
}

#[test]
fn schedules_break_instances_that_come_back_all_at_once() {
    assert!(missed(Guard::Trials) > 0);
}

#[test]
fn schedules_break_instances_that_hold_a_life_against_the_next() {
    assert!(missed(Guard::Lives) > 0);
}
