//! The search ends within a page before the window, in few reads.

use std::time::Duration;

use proptest::prelude::*;

use super::super::StoredRecord;
use super::*;

/// A stream of `next` records whose first ones are dropped; the record at `n`
/// has the time `n`.
fn probe(first: Offset, next: Offset, from: Offset) -> Page {
    let at = from.max(first);
    let record = (at < next).then(|| StoredRecord {
        offset: at,
        time: Duration::from_secs(at),
        body: Vec::new(),
    });
    Page {
        first,
        // As a client says that can't tell the stream's end.
        next: at + 2 * u64::from(record.is_some()),
        records: record.into_iter().collect(),
    }
}

proptest! {
    #[test]
    fn it_starts_before_the_window_and_not_long_before(
        first in 0..50_000_u64,
        length in 0..3_000_000_u64,
        wanted in 0..3_000_000_u64,
    ) {
        let next = first + length;
        let mut seek = Seek::new(Duration::from_secs(wanted));
        let mut probes = 0;
        let start = loop {
            probes += 1;
            prop_assert!(probes < 40, "no end of probes");
            if let Some(start) = seek.apply_probe(&probe(first, next, seek.probe())) {
                break start;
            }
        };
        // The last record that is old enough, if any is kept.
        let last_old = wanted.min(next.saturating_sub(1));
        if length > 0 && first <= wanted {
            prop_assert!(start <= last_old);
            prop_assert!(last_old - start <= NEAR);
        } else {
            prop_assert_eq!(start, first);
        }
    }
}
