use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::Budget;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // For any sequence of calls, no second has more slots than the rate and the
    // burst allow. An excess would cause 429 responses for other instances too.
    #[test]
    fn no_second_has_more_slots_than_rate_and_burst(
        gaps in prop::collection::vec(0_u64..400, 1..200),
        rate in 1_u32..50,
        burst in 1_u32..10,
    ) {
        let mut budget = Budget::new(f64::from(rate), burst);
        let mut now = Duration::from_secs(1000);
        let mut slots = Vec::new();
        for gap in gaps {
            now += Duration::from_millis(gap);
            slots.extend(budget.reserve(now, now + Duration::from_secs(30)));
        }
        for (index, slot) in slots.iter().enumerate() {
            let end = *slot + Duration::from_secs(1);
            let count = slots[index..].iter().take_while(|&&other| other < end).count();
            prop_assert!(count <= (rate + burst) as usize);
        }
    }
}

#[test]
fn a_slot_after_the_deadline_is_not_reserved() {
    let mut budget = Budget::new(1.0, 1);
    let now = Duration::from_secs(10);
    assert_eq!(budget.reserve(now, now), Some(now));
    assert_eq!(budget.reserve(now, now), None);
    let second = Duration::from_secs(1);
    assert_eq!(budget.reserve(now, now + second), Some(now + second));
}
