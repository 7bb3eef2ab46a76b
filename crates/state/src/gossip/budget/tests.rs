//! The budget is a hard limit.

use std::time::Duration;

use proptest::prelude::*;

use super::*;

const RATE: u64 = 6000;
const HEADERS: u64 = 330;

const fn at(millis: u64) -> Moment {
    Duration::from_millis(1_000_000 + millis)
}

/// Guards against a burst of urgent updates that takes an instance over its
/// limit of a few kilobytes a second.
#[test]
fn a_full_bucket_refuses_and_routine_leaves_the_reserve() {
    let mut budget = Budget::new(at(0), RATE, HEADERS);
    let mut routine = 0;
    while budget.try_take(at(0), 1000, Urgency::Routine) {
        routine += 1;
    }
    let mut urgent = 0;
    while budget.try_take(at(0), 1000, Urgency::Urgent) {
        urgent += 1;
    }
    assert_eq!((routine, urgent), (6, 3));
    assert_eq!(budget.refused(), 2);
    assert!(budget.try_take(at(300), 1000, Urgency::Urgent));
}

proptest! {
    #[test]
    fn no_period_is_granted_more_than_burst_and_rate(
        takes in prop::collection::vec((0..400_u64, 0..1100_usize, any::<bool>()), 1..200),
    ) {
        let mut budget = Budget::new(at(0), RATE, HEADERS);
        let mut now = 0;
        let mut granted: Vec<(u64, u64)> = Vec::new();
        for (step, body, urgent) in takes {
            now += step;
            let urgency = if urgent { Urgency::Urgent } else { Urgency::Routine };
            if budget.try_take(at(now), body, urgency) {
                granted.push((now, HEADERS + body as u64));
            }
        }
        for (first, (from, _)) in granted.iter().enumerate() {
            let mut sum = 0;
            for (to, cost) in &granted[first..] {
                sum += cost;
                prop_assert!(sum <= RATE * 2 + RATE * (to - from) / 1000 + 1);
            }
        }
    }
}
