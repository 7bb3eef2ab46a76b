//! A workspace gets its limit wherever its callers are, and not much more.

use super::*;

const SIX: usize = SIZES[0];

// A workspace keeps all its requests on one connection, so one instance of
// six gets them. It is refused at a third of the limit that it pays for,
// because each instance holds just twice its even part of the limit.
#[test]
fn callers_at_one_instance_get_the_whole_limit() {
    for seed in 0..20 {
        let before = drive(SIX, Callers::One, false, seed).steady;
        let after = drive(SIX, Callers::One, true, seed).steady;
        assert!(before < 0.4, "{before} of the limit, untold");
        assert!((0.95..=1.01).contains(&after), "{after}, seed {seed}");
    }
}

// Callers of one workspace are spread unevenly and ask for more than the
// limit at several instances, or surge at all at once. Engines get twice what
// the limit says, or more, because no instance knows what the others admit.
#[test]
fn the_fleet_admits_the_limit_and_a_stated_slack() {
    for seed in 0..20 {
        for callers in [Callers::Uneven, Callers::Surge, Callers::Joined] {
            let Admitted { steady, peak } = drive(SIX, callers, true, seed);
            assert!(
                (0.9..=STEADY).contains(&steady),
                "{steady}, {callers:?} {seed}"
            );
            assert!(peak <= SURGE, "{peak}, {callers:?} {seed}");
        }
    }
}

// At 50 an instance hears too few others for a sum of their demand. Sharing
// by what it happens to hear would leave each nearly the whole limit.
#[test]
fn a_fleet_too_large_to_be_heard_keeps_to_even_shares() {
    for callers in [Callers::Uneven, Callers::Surge] {
        let untold = drive(50, callers, false, 1);
        assert_eq!(drive(50, callers, true, 1), untold);
        assert!(untold.peak <= SURGE, "{}", untold.peak);
    }
}
