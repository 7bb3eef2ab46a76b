//! A holder stops before the log grants the lease to another instance.

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

/// A holder whose append was sent at 0 and recorded by the log at `recorded`.
fn lease_holder(recorded: u64) -> Holder {
    let mut holder = Holder::new(1, 7, 1);
    holder.set_candidate(true);
    assert!(matches!(holder.next(at(0)), Next::Read { .. }));
    holder.apply_page(at(0), &Page::default());
    let Next::Append { ticket, body } = holder.next(at(0)) else {
        panic!("a candidate requests the lease");
    };
    holder.append_failed(at(500), ticket, AppendFailure::Unknown);
    assert!(matches!(holder.next(at(500)), Next::Read { .. }));
    holder.apply_page(at(recorded), &page(&[(0, recorded, body)]));
    holder
}

/// A holder that was paused must not send orders after its lease expired. The
/// expiry counts from when the append was sent, not from when its record was
/// read, and is checked against the clock before each order.
#[test]
fn lease_expires_for_its_holder_before_it_expires_in_the_log() {
    let holder = lease_holder(1000);
    assert_eq!(holder.may_order(at(11_999)), Some(0));
    assert_eq!(holder.may_order(at(12_000)), None);
    // The log grants the next lease at 1,000 + 15,000 at the earliest.
}

/// When the response to the append is lost, reading the stream finds the lease.
#[test]
fn lost_append_response_is_resolved_by_reading() {
    assert_eq!(lease_holder(1000).may_order(at(1000)), Some(0));
}

/// A holder that is no longer a candidate stops sending orders at once.
#[test]
fn holder_that_is_no_candidate_stops() {
    let mut holder = lease_holder(1000);
    holder.set_candidate(false);
    assert_eq!(holder.may_order(at(1001)), None);
    let Next::Append { body, .. } = holder.next(at(2000)) else {
        panic!("the lease is released");
    };
    let record = Record::decode(&body).expect("it was encoded here");
    assert_eq!(record.operation, Operation::Release(0));
}
