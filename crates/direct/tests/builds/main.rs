//! Simulation of streams whose callers take them up while builds of their endpoints change.
//!
//! Time is simulated and random numbers are seeded. Releases go forward, back and overlap;
//! instances are killed alone, by half and all together; the log is unavailable to some or to
//! all, and instances can't reach each other. What is known of builds and streams, whom an
//! instance tells and asks, and what it concludes are those of the production code.

mod instance;
mod log;
mod world;

use world::{Guard, Outcome, Scenario, Size, run_schedule, simulate};

/// The variable that names how many schedules with few instances are checked, and the number
/// without it.
const SCHEDULES_VARIABLE: &str = "BUILDS_SCHEDULES";
const DEFAULT_SCHEDULES: u64 = 200;

/// Number of schedules that are checked with many instances.
const MEDIUM_SCHEDULES: u64 = 8;
const LARGE_SCHEDULES: u64 = 2;

/// Number of threads that run schedules.
const THREADS: u64 = 4;

/// Number of schedules of which at least one must fail when a guard is disabled.
const GUARD_SCHEDULES: u64 = 400;

/// Number of schedules on which ways are compared.
const COMPARED_SCHEDULES: u64 = 100;

/// The share of the streams taken up in calm that has to go on, of the share of new streams
/// that begin.
const MIN_SHARE: f64 = 0.9;

/// The streams taken up after a kill of all that schedules must have to judge anything.
const MIN_TAKEN_UP_AFTER_KILL: u32 = 100;

const SMALL: Size = Size {
    instances: 6,
    per_second: 40,
};
const MEDIUM: Size = Size {
    instances: 82,
    per_second: 300,
};
const LARGE: Size = Size {
    instances: 300,
    per_second: 900,
};

// Runs all schedules and returns what became of their streams.
//
// # Panics
//
// Panics with the seeds that break what must hold, once all have been run.
fn run_schedules(size: Size, scenario: Scenario, schedules: u64) -> Outcome {
    let run = |thread_number: u64| {
        let seeds = (0..schedules).filter(move |seed| seed % THREADS == thread_number);
        let mut sum = Outcome::default();
        let mut violations = Vec::new();
        for seed in seeds {
            match run_schedule(seed, size, scenario, None) {
                Ok(outcome) => sum.add(&outcome),
                Err(violation) => violations.push(format!("seed {seed}: {violation}")),
            }
        }
        (sum, violations)
    };
    let mut sum = Outcome::default();
    let mut violations = Vec::new();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|n| scope.spawn(move || run(n))).collect();
        for thread in threads {
            let (part, found) = thread.join().expect("a thread that ends");
            sum.add(&part);
            violations.extend(found);
        }
    });
    println!(
        "{} instances, {scenario:?}, {schedules} schedules: {sum:?}",
        size.instances
    );
    assert!(
        violations.is_empty(),
        "{} schedules: {violations:#?}",
        violations.len()
    );
    sum
}

fn schedules() -> u64 {
    let number = std::env::var(SCHEDULES_VARIABLE).ok();
    number.map_or(DEFAULT_SCHEDULES, |text| text.parse().expect("a number"))
}

fn assert_most_go_on(sum: &Outcome) {
    let share = f64::from(sum.went_on_in_calm) / f64::from(sum.taken_up_in_calm);
    assert!(share >= MIN_SHARE, "{share}: {sum:?}");
}

fn is_missed(scenario: Scenario, guard: Guard) -> bool {
    (0..GUARD_SCHEDULES).any(|seed| run_schedule(seed, SMALL, scenario, Some(guard)).is_err())
}

/// Guards against streams that go on at another build, and against refusing those that could
/// go on.
#[test]
fn streams_go_on_at_their_build_alone() {
    assert_most_go_on(&run_schedules(SMALL, Scenario::Releases, schedules()));
}

/// Guards against instances that start after all were lost and take the build that they see for
/// the only one, since another one has left.
#[test]
fn streams_go_on_at_their_build_alone_where_builds_leave_beside_a_kill_of_all() {
    run_schedules(SMALL, Scenario::BuildsLeave, schedules());
}

/// Guards against refusing streams since nobody is left who knows where they began: all instances
/// were killed while builds served side by side.
#[test]
fn streams_go_on_where_all_instances_are_killed_while_builds_serve_side_by_side() {
    let sum = run_schedules(SMALL, Scenario::KillsSideBySide, schedules());
    assert!(
        sum.taken_up_after_kill >= MIN_TAKEN_UP_AFTER_KILL,
        "{sum:?}"
    );
}

/// Guards against the same where a build has just appeared or the log is away.
#[test]
fn streams_go_on_where_all_instances_are_killed_at_any_time_beside_two_builds() {
    let sum = run_schedules(SMALL, Scenario::KillsAtAnyTime, schedules());
    assert!(
        sum.taken_up_after_kill >= MIN_TAKEN_UP_AFTER_KILL,
        "{sum:?}"
    );
}

/// Guards against streams that an instance takes up and has go on at another build, since it
/// stood still or was cut off while endpoints of a new build joined.
#[test]
fn streams_go_on_at_their_build_alone_where_an_instance_is_out_of_step() {
    assert_most_go_on(&run_schedules(SMALL, Scenario::OutOfStep, schedules()));
    run_schedules(MEDIUM, Scenario::OutOfStep, MEDIUM_SCHEDULES);
    run_schedules(LARGE, Scenario::OutOfStep, LARGE_SCHEDULES);
}

#[test]
fn streams_go_on_at_their_build_alone_among_many_instances() {
    assert_most_go_on(&run_schedules(MEDIUM, Scenario::Releases, MEDIUM_SCHEDULES));
    assert_most_go_on(&run_schedules(LARGE, Scenario::Releases, LARGE_SCHEDULES));
}

// Returns what becomes of streams with a guard or in another way.
fn sum(size: Size, schedules: u64, guard: Option<Guard>) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..schedules {
        sum.add(&simulate(seed, size, Scenario::Releases, guard));
    }
    println!("{} instances, {guard:?}: {sum:?}", size.instances);
    sum
}

/// Guards against a way that keeps fewer streams than simpler ones: to tell nobody, or to ask
/// nobody.
#[test]
fn telling_and_asking_keep_more_streams() {
    let share = |guard| {
        let sum = sum(SMALL, COMPARED_SCHEDULES, guard);
        f64::from(sum.went_on_in_calm) / f64::from(sum.taken_up_in_calm)
    };
    let kept = share(None);
    assert!(share(Some(Guard::Telling)) < kept);
    assert!(share(Some(Guard::Asking)) < kept);
}

/// Guards against instances that are told of all streams of a large fleet, as the seeds would
/// be.
#[test]
fn no_instance_is_told_of_most_streams() {
    let told_most = |guard| sum(MEDIUM, 2, guard).told_most;
    assert!(told_most(None) * 4 < told_most(Some(Guard::Drawing)));
}

/// Among few instances, those that are asked include the one that began a stream.
#[test]
fn schedules_fail_if_others_are_not_told() {
    let guard = Some(Guard::Telling);
    let fails = |seed| run_schedule(seed, MEDIUM, Scenario::Releases, guard).is_err();
    assert!((0..MEDIUM_SCHEDULES).any(fails));
}

#[test]
fn schedules_fail_if_streams_begin_at_new_builds_at_once() {
    assert!(is_missed(Scenario::Releases, Guard::Establishing));
}

#[test]
fn schedules_fail_if_old_lists_count() {
    assert!(is_missed(Scenario::Releases, Guard::Freshness));
}

#[test]
fn schedules_fail_if_builds_that_are_gone_do_not_count() {
    assert!(is_missed(Scenario::Releases, Guard::History));
}

/// Guards against a way that refuses what the log can tell of.
#[test]
fn reading_the_past_keeps_more_streams() {
    let went_on = |guard| {
        let sum = sum(SMALL, COMPARED_SCHEDULES, guard);
        f64::from(sum.went_on) / f64::from(sum.taken_up)
    };
    assert!(went_on(Some(Guard::Past)) < went_on(None));
}

#[test]
fn schedules_fail_if_builds_that_the_log_names_do_not_count() {
    assert!(is_missed(Scenario::BuildsLeave, Guard::PastBuilds));
}

#[test]
fn schedules_fail_if_nothing_outlasts_all_instances() {
    assert!(is_missed(Scenario::KillsSideBySide, Guard::Keeping));
}
