//! Figures that depend on seeds alone, at the sizes that a debug build plays
//! in a second.

use super::*;

#[test]
fn figures_of_six_instances_hold() {
    for figure in figures(6) {
        assert!(figure.holds(), "{figure}");
    }
}

#[test]
fn news_reaches_fifty_instances_in_time() {
    for figure in [version_spread(50), leaving_spread(50), zone_lost(50)] {
        assert!(figure.holds(), "{figure}");
    }
}

/// Homes move to and fro while a zone's loss is noticed. Views differ for
/// seconds, and instances take a paused one for dead.
#[test]
fn homes_stay_while_an_instance_is_paused() {
    let figure = pause(50);
    assert!(figure.holds(), "{figure}");
}
