//! The search ends at most one page before the window, in few reads.

use std::time::Duration;

use proptest::prelude::*;

use super::super::StoredRecord;
use super::*;

/// Reads one record of a stream that retains the offsets `first..next`. The
/// record at offset `n` has the time `n`.
fn read_one(first: Offset, next: Offset, from: Offset) -> Page {
    let at = from.max(first);
    let record = (at < next).then(|| StoredRecord {
        offset: at,
        time: Duration::from_secs(at),
        body: Vec::new(),
    });
    Page {
        first,
        // As reported by a client that does not know the end of the stream.
        next: at + 2 * u64::from(record.is_some()),
        records: record.into_iter().collect(),
    }
}

proptest! {
    #[test]
    fn search_ends_at_most_one_page_before_the_window(
        first in 0..50_000_u64,
        length in 0..3_000_000_u64,
        window_start in 0..3_000_000_u64,
    ) {
        let next = first + length;
        let mut search = Search::new(Duration::from_secs(window_start));
        let mut probes = 0;
        let start = loop {
            probes += 1;
            prop_assert!(probes < 40, "no end of probes");
            if let Some(start) = search.apply_probe(&read_one(first, next, search.probe_offset())) {
                break start;
            }
        };
        // The last record before the window, if any is retained.
        let last_before_window = window_start.min(next.saturating_sub(1));
        if length > 0 && first <= window_start {
            prop_assert!(start <= last_before_window);
            prop_assert!(last_before_window - start <= MAX_SCAN_RECORDS);
        } else {
            prop_assert_eq!(start, first);
        }
    }
}
