//! Verdicts come only from applied records, and claims time out.

use super::*;
use crate::log::StoredRecord;

const WINDOW: Duration = Duration::from_mins(15);

const fn at(millis: u64) -> Moment {
    Duration::from_millis(1_000_000 + millis)
}

const fn claim(holder: u64, key: u8) -> Record {
    Record {
        id: Id {
            holder,
            incarnation: 1,
            sequence: 1,
        },
        key: [key; 16],
        body: [0; 16],
        issued: Duration::from_secs(1000),
    }
}

fn page(first: Offset, next: Offset, records: Vec<(Offset, Vec<Item>)>) -> Page {
    let stored = records.into_iter().map(|(offset, items)| StoredRecord {
        offset,
        time: at(0),
        body: batch::encode(&items),
    });
    Page {
        first,
        next,
        records: stored.collect(),
    }
}

/// A batcher that has read an empty stream and is about to append one claim.
fn batcher_with_claim(record: Record) -> Batcher {
    let mut batcher = Batcher::new(WINDOW);
    assert!(matches!(batcher.next(at(0)), Next::Read { from: 0, .. }));
    batcher.apply_page(at(0), &Page::default());
    batcher.submit(at(0), Item::Claim(record));
    batcher
}

fn ticket(next: &Next) -> u64 {
    match next {
        Next::Append { ticket, .. } => *ticket,
        other => panic!("expected an append, got {other:?}"),
    }
}

const fn reply(record: &Record, verdict: Verdict) -> Next {
    Next::Reply {
        id: record.id,
        verdict,
    }
}

#[test]
fn claim_is_appended_and_gets_its_verdict() {
    let record = claim(1, 7);
    let mut batcher = batcher_with_claim(record);
    let ticket = ticket(&batcher.next(at(0)));
    assert!(matches!(batcher.next(at(1)), Next::Wait(_)));
    batcher.appended(at(5), ticket, 0, at(4));
    assert_eq!(batcher.next(at(5)), reply(&record, Verdict::Claimed));
}

/// A request ran twice when another batcher appended first and this batcher
/// returned a verdict without reading the records before its own.
#[test]
fn records_in_between_are_read_before_the_verdict() {
    let own = claim(1, 7);
    let other = claim(2, 7);
    let mut batcher = batcher_with_claim(own);
    let ticket = ticket(&batcher.next(at(0)));
    batcher.appended(at(5), ticket, 1, at(4));
    assert!(matches!(batcher.next(at(5)), Next::Read { from: 0, .. }));
    let records = vec![(0, vec![Item::Claim(other)]), (1, vec![Item::Claim(own)])];
    batcher.apply_page(at(6), &page(0, 2, records));
    let taken = Verdict::Taken {
        by: other.id,
        outcome: None,
    };
    assert_eq!(batcher.next(at(6)), reply(&own, taken));
}

/// A claim must not be refused because the response to its append was lost.
/// Reading the stream back finds the record.
#[test]
fn lost_append_response_is_resolved_by_reading_back() {
    let record = claim(1, 7);
    let mut batcher = batcher_with_claim(record);
    let ticket = ticket(&batcher.next(at(0)));
    batcher.append_failed(at(500), ticket, AppendFailure::Unknown);
    assert!(matches!(batcher.next(at(500)), Next::Read { from: 0, .. }));
    batcher.apply_page(at(501), &page(0, 1, vec![(0, vec![Item::Claim(record)])]));
    assert_eq!(batcher.next(at(501)), reply(&record, Verdict::Claimed));
}

/// A request must not run twice when an append is not found by reading back, is
/// repeated, and the first one takes effect late.
#[test]
fn append_that_takes_effect_late_is_ignored() {
    let record = claim(1, 7);
    let mut batcher = batcher_with_claim(record);
    let first = ticket(&batcher.next(at(0)));
    batcher.append_failed(at(500), first, AppendFailure::Unknown);
    batcher.next(at(500));
    batcher.apply_page(at(501), &Page::default());
    let second = ticket(&batcher.next(at(501)));
    batcher.appended(at(510), second, 1, at(505));
    batcher.next(at(510));
    let twice = vec![
        (0, vec![Item::Claim(record)]),
        (1, vec![Item::Claim(record)]),
    ];
    batcher.apply_page(at(511), &page(0, 2, twice));
    assert_eq!(batcher.next(at(511)), reply(&record, Verdict::Claimed));
    assert!(matches!(batcher.next(at(511)), Next::Wait(_)));
}

/// Callers must not wait until their deadline while the log is down. Claims get
/// `Unavailable` at once, and so do claims that arrive shortly afterwards.
#[test]
fn claims_fail_at_once_while_the_log_is_down() {
    let record = claim(1, 7);
    let mut batcher = batcher_with_claim(record);
    let first = ticket(&batcher.next(at(0)));
    batcher.append_failed(at(2), first, AppendFailure::NotApplied);
    let second = ticket(&batcher.next(at(50)));
    batcher.append_failed(at(52), second, AppendFailure::NotApplied);
    assert_eq!(batcher.next(at(52)), reply(&record, Verdict::Unavailable));
    let later = claim(2, 8);
    batcher.submit(at(60), Item::Claim(later));
    assert_eq!(batcher.next(at(60)), reply(&later, Verdict::Unavailable));
    let recovered = claim(3, 9);
    batcher.submit(at(600), Item::Claim(recovered));
    assert!(matches!(batcher.next(at(600)), Next::Append { .. }));
}

/// An append that never returns must not delay callers beyond the time in which
/// *not run* can still be reported.
#[test]
fn claim_times_out_if_the_log_does_not_respond() {
    let record = claim(1, 7);
    let mut batcher = batcher_with_claim(record);
    ticket(&batcher.next(at(0)));
    assert!(matches!(batcher.next(at(999)), Next::Wait(Some(_))));
    assert_eq!(batcher.next(at(1000)), reply(&record, Verdict::Unavailable));
}

/// A foreign record in the stream must not block the records after it.
#[test]
fn malformed_record_is_skipped() {
    let record = claim(1, 7);
    let mut batcher = batcher_with_claim(record);
    let ticket = ticket(&batcher.next(at(0)));
    batcher.appended(at(5), ticket, 1, at(4));
    batcher.next(at(5));
    let mut page = page(0, 2, vec![(0, vec![]), (1, vec![Item::Claim(record)])]);
    page.records[0].body = b"not a batch".to_vec();
    batcher.apply_page(at(6), &page);
    assert_eq!(batcher.next(at(6)), reply(&record, Verdict::Claimed));
}

/// A page with a missing record must not make the router panic. The missing
/// records may contain winning claims, so older keys are refused.
#[test]
fn page_with_a_gap_is_treated_as_truncation() {
    let record = claim(1, 7);
    let mut batcher = batcher_with_claim(record);
    let ticket = ticket(&batcher.next(at(0)));
    batcher.appended(at(5), ticket, 2, at(4));
    batcher.next(at(5));
    let records = vec![(0, vec![]), (2, vec![Item::Claim(record)])];
    batcher.apply_page(at(6), &page(0, 3, records));
    assert_eq!(batcher.next(at(6)), reply(&record, Verdict::Expired));
}

#[test]
fn batches_respect_period_and_size() {
    let mut batcher = batcher_with_claim(claim(0, 0));
    for holder in 1..=300 {
        batcher.submit(at(0), Item::Claim(claim(holder, 1)));
    }
    let Next::Append { ticket, body } = batcher.next(at(0)) else {
        panic!("an append is due");
    };
    assert_eq!(
        batch::decode(&body).map(|items| items.len()),
        Ok(MAX_BATCH_ITEMS)
    );
    batcher.appended(at(1), ticket, 0, at(1));
    while matches!(batcher.next(at(1)), Next::Reply { .. }) {}
    assert_eq!(batcher.next(at(1)), Next::Wait(Some(at(50))));
    assert!(matches!(batcher.next(at(50)), Next::Append { .. }));
}

/// A claim whose caller left before its batch was appended must not be
/// appended, as that would make the key unusable for no purpose.
#[test]
fn abandoned_claim_is_not_appended() {
    let mut batcher = batcher_with_claim(claim(1, 7));
    let abandoned = claim(2, 8);
    batcher.submit(at(0), Item::Claim(abandoned));
    let outcome = Item::Outcome {
        key: abandoned.key,
        id: abandoned.id,
        outcome: godwitpost_types::outcome::Outcome::NotRun,
    };
    batcher.submit(at(0), outcome);
    let Next::Append { body, .. } = batcher.next(at(0)) else {
        panic!("an append is due");
    };
    let items = vec![Item::Claim(claim(1, 7)), outcome];
    assert_eq!(batch::decode(&body), Ok(items));
}

/// A new batcher must not read a day of claims to obtain a window of a quarter
/// of an hour; requests were refused for minutes after an instance was replaced.
#[test]
fn new_batcher_reads_only_its_window() {
    let day = 86_400 * 20;
    // One batch every 50 ms; the last one is at the current time.
    let time = |offset: Offset| at(offset * 50);
    let mut batcher = Batcher::new(WINDOW);
    let now = at(day * 50);
    let mut reads = 0;
    while let Next::Read { from, limit } = batcher.next(now) {
        reads += 1;
        let records = (from..day.min(from + u64::from(limit))).map(|offset| StoredRecord {
            offset,
            time: time(offset),
            body: batch::encode(&[]),
        });
        let page = Page {
            first: 0,
            next: day,
            records: records.collect(),
        };
        batcher.apply_page(now, &page);
    }
    assert_eq!(batcher.table().next_offset(), day);
    assert!(
        reads < 50,
        "{reads} reads; from the start it would be 1,728"
    );
    assert!(batcher.table().floor() < now.saturating_sub(WINDOW));
}
