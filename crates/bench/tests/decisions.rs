//! The figures of the decisions bench that depend on seeds alone, at a size
//! that a debug build drives within seconds.

use godwitpost_bench::decisions::scheme::Scheme;
use godwitpost_bench::decisions::{fate, poison, report, size};
use godwitpost_bench::figure::Figure;

fn broken(figures: &[Figure]) -> Vec<String> {
    let broken = figures.iter().filter(|figure| !figure.holds());
    broken.map(ToString::to_string).collect()
}

// Chats return to engines that come and go, and three workspaces surge.
#[test]
fn traffic_keeps_its_bounds_at_a_small_size() {
    let schemes = [Scheme::Owned, Scheme::Oracle, Scheme::LeastReported];
    let figures = report::traffic(&size::small(), &schemes, 1);
    assert_eq!(broken(&figures), [""; 0]);
}

// A caller is told "not run", sends its order again, and gets two: schedules
// of offers, cancellations, endings, time and changing lists.
#[test]
fn nobody_told_not_run_was_run() {
    let mut cancelled = 0;
    let mut dispatched = 0;
    for seed in 0..1_000 {
        let tally = fate::drive(seed);
        assert_eq!(
            (tally.lies, tally.twice, tally.forgotten),
            (0, 0, 0),
            "seed {seed}"
        );
        cancelled += tally.cancelled;
        dispatched += tally.dispatched;
    }
    // Schedules in which nothing happened would show nothing.
    assert!(cancelled > 500, "{cancelled} cancelled");
    assert!(dispatched > 5_000, "{dispatched} dispatched");
}

// One draft crashes each engine that runs it, and its caller sends it again
// with a new key through another router, eight times, among innocent drafts.
#[test]
fn poison_request_costs_two_endpoints_and_no_innocent() {
    for seed in 0..100 {
        let toll = poison::drive(seed);
        assert_eq!(toll.lost, 2, "seed {seed}");
        assert_eq!(toll.convicted, 0, "seed {seed}");
        assert_eq!(toll.ran, 60, "seed {seed}: all innocent ones ran");
    }
}
