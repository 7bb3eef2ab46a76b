//! All readers agree on one holder at a time, wherever they start to read.

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

/// An endpoint must not get orders from two holders, when the second acquires
/// the lease before the first one's has expired.
#[test]
fn lease_is_acquired_only_after_the_last_one_expired() {
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
fn release_lets_the_next_holder_acquire_at_once() {
    let mut table = Table::new();
    table.apply(0, at(0), Some(&record(1, Operation::Acquire)));
    table.apply(1, at(1), Some(&record(2, Operation::Release(0))));
    table.apply(2, at(1), Some(&record(2, Operation::Acquire)));
    assert_eq!(table.current(POOL).map(|c| c.holder), Some(1));
    table.apply(3, at(2), Some(&record(1, Operation::Release(0))));
    table.apply(4, at(2), Some(&record(2, Operation::Acquire)));
    assert_eq!(table.current(POOL).map(|c| c.fence), Some(4));
}

fn any_operation() -> impl Strategy<Value = (u64, InstanceId, Operation)> {
    let operation = prop_oneof![
        Just(Operation::Acquire),
        (0..40_u64).prop_map(Operation::Renew),
        (0..40_u64).prop_map(Operation::Release),
    ];
    (0..12_u64, 1..4_u64, operation)
}

proptest! {
    /// A reader that started late reports a holder only if a reader of the whole
    /// stream reports the same.
    #[test]
    fn late_reader_is_uncertain_or_correct(
        operations in prop::collection::vec(any_operation(), 1..40),
        start in 0..40_u64,
    ) {
        let mut full = Table::new();
        let mut partial = Table::new();
        partial.skip_to(start);
        let mut seconds = 0;
        for (offset, (step, holder, operation)) in (0..).zip(operations) {
            seconds += step;
            // Most renewals and releases refer to the current lease.
            let operation = match (operation, full.current(POOL)) {
                (Operation::Renew(n), Some(current)) if n % 4 > 0 => Operation::Renew(current.fence),
                (Operation::Release(n), Some(current)) if n % 4 > 0 => Operation::Release(current.fence),
                (operation, _) => operation,
            };
            full.apply(offset, at(seconds), Some(&record(holder, operation)));
            if offset >= start {
                partial.apply(offset, at(seconds), Some(&record(holder, operation)));
            }
            let valid_lease = |table: &Table| {
                let current = table.current(POOL).copied();
                current.filter(|current| table.log_time() < current.expires_at)
            };
            if offset >= start
                && let Some(reported) = valid_lease(&partial)
            {
                prop_assert_eq!(Some(reported), valid_lease(&full));
            }
        }
    }
}
