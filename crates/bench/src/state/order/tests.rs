//! Figures that depend on nothing but the planner.

use super::*;

#[test]
fn rolls_keep_most_endpoints_serving() {
    for figure in figures() {
        assert!(figure.holds(), "{figure}");
    }
}

/// Drafts stop while a lone runner loads; with a spare one they need not.
#[test]
fn a_spare_endpoint_carries_a_lone_model_over() {
    let limits = Limits {
        max_concurrent_loads: 1,
        min_load_interval: Duration::ZERO,
    };
    let roll = roll(2, 1, limits);
    assert_eq!(roll.least_serving, 1);
    assert!(roll.took < LOAD * 2, "{roll:?}");
}
