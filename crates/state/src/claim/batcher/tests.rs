//! A batcher answers from the fold alone, and gives up in time.

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

/// A batcher that has read an empty stream and waits to append one claim.
fn ready(record: Record) -> Batcher {
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

const fn answer(record: &Record, verdict: Verdict) -> Next {
    Next::Reply {
        id: record.id,
        verdict,
    }
}

#[test]
fn a_claim_is_appended_and_answered() {
    let record = claim(1, 7);
    let mut batcher = ready(record);
    let ticket = ticket(&batcher.next(at(0)));
    assert!(matches!(batcher.next(at(1)), Next::Wait(_)));
    batcher.appended(at(5), ticket, 0, at(4));
    assert_eq!(batcher.next(at(5)), answer(&record, Verdict::Claimed));
}

/// A booking is confirmed twice. Another batcher appended first; this one's
/// append came back with a later offset and it answered at once.
#[test]
fn records_in_between_are_read_before_the_answer() {
    let mine = claim(1, 7);
    let other = claim(2, 7);
    let mut batcher = ready(mine);
    let ticket = ticket(&batcher.next(at(0)));
    batcher.appended(at(5), ticket, 1, at(4));
    assert!(matches!(batcher.next(at(5)), Next::Read { from: 0, .. }));
    let records = vec![(0, vec![Item::Claim(other)]), (1, vec![Item::Claim(mine)])];
    batcher.apply_page(at(6), &page(0, 2, records));
    let taken = Verdict::Taken {
        by: other.id,
        outcome: None,
    };
    assert_eq!(batcher.next(at(6)), answer(&mine, taken));
}

/// A shop waits and is refused though its claim stands. The answer to the
/// append was lost; reading back finds the record.
#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    let record = claim(1, 7);
    let mut batcher = ready(record);
    let ticket = ticket(&batcher.next(at(0)));
    batcher.append_failed(at(500), ticket, AppendFailure::Unknown);
    assert!(matches!(batcher.next(at(500)), Next::Read { from: 0, .. }));
    batcher.apply_page(at(501), &page(0, 1, vec![(0, vec![Item::Claim(record)])]));
    assert_eq!(batcher.next(at(501)), answer(&record, Verdict::Claimed));
}

/// An order runs twice: the append was lost, did not show when read back, was
/// made again, and the first one took effect late.
#[test]
fn an_append_that_takes_effect_late_changes_nothing() {
    let record = claim(1, 7);
    let mut batcher = ready(record);
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
    assert_eq!(batcher.next(at(511)), answer(&record, Verdict::Claimed));
    assert!(matches!(batcher.next(at(511)), Next::Wait(_)));
}

/// A shop waits for its whole deadline while the log is down. The batcher
/// should say so at once, and at once again to those that come after.
#[test]
fn a_log_that_is_down_is_told_at_once() {
    let record = claim(1, 7);
    let mut batcher = ready(record);
    let first = ticket(&batcher.next(at(0)));
    batcher.append_failed(at(2), first, AppendFailure::NotApplied);
    let second = ticket(&batcher.next(at(50)));
    batcher.append_failed(at(52), second, AppendFailure::NotApplied);
    assert_eq!(batcher.next(at(52)), answer(&record, Verdict::Unavailable));
    let later = claim(2, 8);
    batcher.submit(at(60), Item::Claim(later));
    assert_eq!(batcher.next(at(60)), answer(&later, Verdict::Unavailable));
    let recovered = claim(3, 9);
    batcher.submit(at(600), Item::Claim(recovered));
    assert!(matches!(batcher.next(at(600)), Next::Append { .. }));
}

/// A batcher whose append never returns at all must not hold callers beyond
/// the time in which *not run* can still be told.
#[test]
fn a_silent_log_exhausts_its_patience() {
    let record = claim(1, 7);
    let mut batcher = ready(record);
    ticket(&batcher.next(at(0)));
    assert!(matches!(batcher.next(at(999)), Next::Wait(Some(_))));
    assert_eq!(
        batcher.next(at(1000)),
        answer(&record, Verdict::Unavailable)
    );
}

/// A stranger's record in the stream must not stop the fold.
#[test]
fn a_malformed_record_claims_nothing() {
    let record = claim(1, 7);
    let mut batcher = ready(record);
    let ticket = ticket(&batcher.next(at(0)));
    batcher.appended(at(5), ticket, 1, at(4));
    batcher.next(at(5));
    let mut page = page(0, 2, vec![(0, vec![]), (1, vec![Item::Claim(record)])]);
    page.records[0].body = b"not a batch".to_vec();
    batcher.apply_page(at(6), &page);
    assert_eq!(batcher.next(at(6)), answer(&record, Verdict::Claimed));
}

/// A router dies because the log answers with a page that leaves a record out.
/// What is missing may hold winners, so older keys are refused instead.
#[test]
fn a_page_with_a_gap_is_taken_for_truncation() {
    let record = claim(1, 7);
    let mut batcher = ready(record);
    let ticket = ticket(&batcher.next(at(0)));
    batcher.appended(at(5), ticket, 2, at(4));
    batcher.next(at(5));
    let records = vec![(0, vec![]), (2, vec![Item::Claim(record)])];
    batcher.apply_page(at(6), &page(0, 3, records));
    assert_eq!(batcher.next(at(6)), answer(&record, Verdict::Expired));
}

#[test]
fn batches_keep_their_period_and_size() {
    let mut batcher = ready(claim(0, 0));
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

/// A caller gives up while its claim waits for a batch. Appending it all the
/// same would only spend the key.
#[test]
fn a_claim_that_was_given_up_is_not_appended() {
    let mut batcher = ready(claim(1, 7));
    let gone = claim(2, 8);
    batcher.submit(at(0), Item::Claim(gone));
    let fate = Item::Outcome {
        key: gone.key,
        id: gone.id,
        outcome: godwitpost_types::outcome::Outcome::NotRun,
    };
    batcher.submit(at(0), fate);
    let Next::Append { body, .. } = batcher.next(at(0)) else {
        panic!("an append is due");
    };
    let items = vec![Item::Claim(claim(1, 7)), fate];
    assert_eq!(batch::decode(&body), Ok(items));
}

/// Orders are refused for minutes after an instance was replaced. Its
/// successor reads a day of claims to learn the last quarter of an hour.
#[test]
fn a_new_batcher_reads_its_window_only() {
    let day = 86_400 * 20;
    // A batch each 50 ms, the last one now.
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
