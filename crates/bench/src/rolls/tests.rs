use super::{Tally, Weakness, figures, run};

fn tally(seeds: u64, weakness: Weakness) -> Tally {
    let mut tally = Tally::default();
    for seed in 0..seeds {
        tally.add(&run(seed, weakness));
    }
    tally
}

#[test]
fn figures_hold_over_a_short_run() {
    for figure in figures(1, 150) {
        assert!(figure.holds(), "{figure}");
    }
}

// Figures that nothing happened under would hold as well.
#[test]
fn the_schedules_bring_about_what_they_are_for() {
    let tally = tally(40, Weakness::None);
    assert!(tally.in_force > 100, "{tally:?}");
    assert!(tally.races_lost > 50, "{tally:?}");
    assert!(tally.gaps > 50, "{tally:?}");
    assert!(tally.checkpoints > 50, "{tally:?}");
}

#[test]
fn a_schedule_is_the_same_every_time() {
    assert_eq!(run(7, Weakness::None), run(7, Weakness::None));
}

// A fold that adopts any peer's snapshot turns back whenever it talks to one
// that slept.
#[test]
fn adopting_any_snapshot_is_caught() {
    let tally = tally(20, Weakness::AdoptsAny);
    assert!(tally.reversions > 0, "{tally:?}");
}

// A fold that ignores gaps takes the loser of a race whose winner was dropped.
#[test]
fn ignoring_gaps_is_caught() {
    let tally = tally(200, Weakness::IgnoresGaps);
    assert!(tally.disagreements > 0, "{tally:?}");
}

// A writer that was paused with an old checkpoint and claims that it covers
// everything makes fresh readers skip what was rolled meanwhile.
#[test]
fn a_checkpoint_that_claims_too_much_is_caught() {
    let tally = tally(200, Weakness::ClaimsAll);
    assert!(tally.disagreements > 0, "{tally:?}");
}

// An instance that serves before it reached the stream's end hands its
// callers a bundle from weeks ago on every restart.
#[test]
fn serving_before_the_streams_end_is_caught() {
    let tally = tally(20, Weakness::ServesEarly);
    assert!(tally.reversions > 0, "{tally:?}");
}

// An instance reads a stream without a bundle to its end and counts as ready.
// Versions 1 and 2 are rolled and reach the others; this one then serves 1
// while nobody else does any more.
#[test]
fn being_ready_without_a_bundle_is_caught() {
    let tally = run(167, Weakness::ReadyOnEmpty);
    assert!(tally.reversions > 0, "{tally:?}");
    assert_eq!(run(167, Weakness::None).reversions, 0);
}
