//! A holder stops before the log lets anyone else in.

use std::time::Duration;

use super::*;
use crate::log::StoredRecord;

const fn at(millis: u64) -> Moment {
    Duration::from_millis(1_000_000 + millis)
}

fn page(bodies: &[(Offset, u64, Vec<u8>)]) -> Page {
    let records = bodies.iter().map(|(offset, millis, body)| StoredRecord {
        offset: *offset,
        time: at(*millis),
        body: body.clone(),
    });
    Page {
        first: 0,
        next: bodies.last().map_or(0, |(offset, ..)| offset + 1),
        records: records.collect(),
    }
}

/// A holder whose append was sent at 0 and landed at `landed`.
fn held(landed: u64) -> Holder {
    let mut holder = Holder::new(1, 7, 1);
    holder.set_candidate(true);
    assert!(matches!(holder.next(at(0)), Next::Read { .. }));
    holder.apply_page(at(0), &Page::default());
    let Next::Append { ticket, body } = holder.next(at(0)) else {
        panic!("a candidate asks for the lease");
    };
    holder.append_failed(at(500), ticket, AppendFailure::Unknown);
    assert!(matches!(holder.next(at(500)), Next::Read { .. }));
    holder.apply_page(at(landed), &page(&[(0, landed, body)]));
    holder
}

/// A paused holder orders a runner about after its lease ended. It must count
/// from when it asked, not from when it learned, and look at its clock again.
#[test]
fn a_lease_ends_for_its_holder_before_it_ends_for_the_log() {
    let holder = held(1000);
    assert_eq!(holder.may_order(at(11_999)), Some(0));
    assert_eq!(holder.may_order(at(12_000)), None);
    // The log lets the next one in at 1,000 + 15,000 at the earliest.
}

/// The answer to the append was lost; reading back finds the lease.
#[test]
fn a_lost_answer_is_settled_by_reading() {
    assert_eq!(held(1000).may_order(at(1000)), Some(0));
}

/// A holder that should not hold the lease any more stops ordering at once.
#[test]
fn a_holder_that_is_no_candidate_stops() {
    let mut holder = held(1000);
    holder.set_candidate(false);
    assert_eq!(holder.may_order(at(1001)), None);
    let Next::Append { body, .. } = holder.next(at(2000)) else {
        panic!("the lease is released");
    };
    let record = Record::decode(&body).expect("it was encoded here");
    assert_eq!(record.operation, Operation::Release(0));
}
