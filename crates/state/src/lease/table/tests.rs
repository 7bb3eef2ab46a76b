//! One holder at a time, for every reader, from any start.

use std::time::Duration;

use proptest::prelude::*;

use super::*;

const POOL: Pool = 1;

const fn at(seconds: u64) -> Moment {
    Duration::from_secs(1000 + seconds)
}

const fn record(holder: InstanceId, operation: Operation) -> Record {
    Record {
        pool: POOL,
        holder,
        incarnation: 1,
        ticket: 1,
        operation,
    }
}

/// A runner gets orders from two holders: the second took the lease before
/// the first one's had ended.
#[test]
fn a_lease_is_taken_only_after_the_last_one_ended() {
    let mut table = Table::new();
    table.apply(0, at(0), Some(&record(1, Operation::Acquire)));
    table.apply(1, at(14), Some(&record(2, Operation::Acquire)));
    assert_eq!(
        table.current(POOL).map(|c| (c.holder, c.fence)),
        Some((1, 0))
    );
    table.apply(2, at(14), Some(&record(1, Operation::Renew(0))));
    table.apply(3, at(28), Some(&record(2, Operation::Acquire)));
    table.apply(4, at(29), Some(&record(2, Operation::Acquire)));
    assert_eq!(
        table.current(POOL).map(|c| (c.holder, c.fence)),
        Some((2, 4))
    );
    table.apply(5, at(30), Some(&record(1, Operation::Renew(0))));
    assert_eq!(table.current(POOL).map(|c| c.holder), Some(2));
}

#[test]
fn a_release_lets_the_next_one_in_at_once() {
    let mut table = Table::new();
    table.apply(0, at(0), Some(&record(1, Operation::Acquire)));
    table.apply(1, at(1), Some(&record(2, Operation::Release(0))));
    table.apply(2, at(1), Some(&record(2, Operation::Acquire)));
    assert_eq!(table.current(POOL).map(|c| c.holder), Some(1));
    table.apply(3, at(2), Some(&record(1, Operation::Release(0))));
    table.apply(4, at(2), Some(&record(2, Operation::Acquire)));
    assert_eq!(table.current(POOL).map(|c| c.fence), Some(4));
}

fn any_ask() -> impl Strategy<Value = (u64, InstanceId, Operation)> {
    let ask = prop_oneof![
        Just(Operation::Acquire),
        (0..40_u64).prop_map(Operation::Renew),
        (0..40_u64).prop_map(Operation::Release),
    ];
    (0..12_u64, 1..4_u64, ask)
}

proptest! {
    /// A reader that started late names a holder only if the all-knowing one
    /// names the same.
    #[test]
    fn a_late_reader_is_unsure_or_right(
        asks in prop::collection::vec(any_ask(), 1..40),
        start in 0..40_u64,
    ) {
        let mut whole = Table::new();
        let mut part = Table::new();
        part.skip_to(start);
        let mut seconds = 0;
        for (offset, (step, holder, ask)) in (0..).zip(asks) {
            seconds += step;
            // Holders renew and release what they hold, mostly.
            let ask = match (ask, whole.current(POOL)) {
                (Operation::Renew(n), Some(current)) if n % 4 > 0 => Operation::Renew(current.fence),
                (Operation::Release(n), Some(current)) if n % 4 > 0 => Operation::Release(current.fence),
                (ask, _) => ask,
            };
            whole.apply(offset, at(seconds), Some(&record(holder, ask)));
            if offset >= start {
                part.apply(offset, at(seconds), Some(&record(holder, ask)));
            }
            let runs = |table: &Table| {
                let current = table.current(POOL).copied();
                current.filter(|current| table.log_time() < current.expires_at)
            };
            if offset >= start
                && let Some(named) = runs(&part)
            {
                prop_assert_eq!(Some(named), runs(&whole));
            }
        }
    }
}
