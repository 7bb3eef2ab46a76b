use std::time::Duration;

use super::{Budget, Rate};

const RATE: Rate = Rate {
    ratio: 0.2,
    allowance: 3.0,
    window: Duration::from_secs(10),
};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against retries that double the load when all endpoints of a service fail at
/// once.
#[test]
fn retries_are_limited_to_a_ratio_of_requests() {
    let mut budget = Budget::new(RATE);
    let mut granted = 0;
    for n in 0..1_000 {
        budget.record_request(1, at(n * 10));
        granted += u32::from(budget.try_take(1, at(n * 10)));
    }
    assert!((100..=203).contains(&granted), "{granted}");
}

#[test]
fn idle_service_regains_its_allowance() {
    let mut budget = Budget::new(RATE);
    let taken = (0..5).filter(|_| budget.try_take(1, at(0))).count();
    assert_eq!(taken, 3);
    assert!(!budget.try_take(1, at(9_000)));
    assert!(budget.try_take(1, at(11_000)));
}

#[test]
fn services_have_separate_budgets() {
    let mut budget = Budget::new(RATE);
    while budget.try_take(1, at(0)) {}
    assert!(budget.try_take(2, at(0)));
}
