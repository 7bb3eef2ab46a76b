//! Leases keep their promises, and each guard of theirs is needed.

use super::*;

#[test]
fn schedules_obey_one_holder_and_end_as_wanted() {
    let tally = Tally::over(0..300, Weakness::None);
    assert_eq!(tally.obeyed_old, 0);
    assert_eq!(tally.shared_fences, 0);
    assert_eq!((tally.checking_wrong, tally.ignoring_wrong), (0, 0));
    assert!(
        tally.orders > 1000,
        "too few orders to prove anything: {tally:?}"
    );
}

/// A pool gets no orders for ever. A reader that starts on a truncated stream
/// can't know whether a lease runs; it asks again each second, and each ask
/// keeps it, and every other such reader, unsure for another term.
#[test]
fn unsure_readers_come_to_hold_the_lease() {
    for seed in [9, 10, 20, 23, 29] {
        let verdict = play(seed, Weakness::None);
        assert!(!verdict.checking_wrong, "seed {seed}: {verdict:?}");
    }
}

/// A runner loads the weights of yesterday. Its holder was paused between its
/// look at the clock and the order, and the order carries no fencing number.
#[test]
fn orders_without_a_fencing_number_are_caught() {
    for seed in [355, 744, 1248, 1427] {
        assert!(play(seed, Weakness::NoFence).obeyed_old > 0, "seed {seed}");
        assert_eq!(play(seed, Weakness::None).obeyed_old, 0);
    }
    // Showed it until a stopping holder released its lease without a pause.
    assert_eq!(play(1115, Weakness::None).obeyed_old, 0);
}

/// A runner that ignores fencing numbers serves old weights for good. A stale
/// order came last, and nobody compared the runner's report with the bundle.
#[test]
fn orders_that_are_never_looked_at_again_are_caught() {
    for seed in [64, 73, 168, 246] {
        let weak = play(seed, Weakness::NeverLooksAgain);
        assert!(weak.ignoring_wrong, "seed {seed}");
        assert!(!play(seed, Weakness::None).ignoring_wrong);
    }
}

/// Two holders drive one runner to and fro. The first was paused past its
/// lease's end and goes on as if it still ran.
#[test]
fn a_holder_that_trusts_its_lease_is_caught() {
    let weak = Tally::over(0..100, Weakness::TrustsItsLease).ignored_old;
    let design = Tally::over(0..100, Weakness::None).ignored_old;
    assert!(weak > 10 * design.max(1), "{weak} against {design}");
}
