//! Calls to the log about leases.
//!
//! Only candidates read the stream, once per renewal and without a long poll.

use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::log::{Appended, Client, Page, append, read as log_read};
use godwitpost_state::lease::STREAM_NAME;
use godwitpost_types::id::{Offset, ServiceId};

use super::super::{Event, Io};

/// Upper bound of records between the found offset and the stream's end; one
/// page.
const MAX_TAIL_RECORDS: Offset = 1000;

/// The log's response to a lease's call.
#[derive(Debug)]
pub(crate) enum Call {
    /// Response to an append, with its ticket.
    Appended(u64, Result<Appended, append::Error>),
    /// Response to a read, with the limit on its records.
    Read(u32, Result<Page, log_read::Error>),
}

pub(super) async fn append(io: Io, service: ServiceId, ticket: u64, body: Vec<u8>) {
    let appended = io.log.append(STREAM_NAME, Bytes::from(body)).await;
    let event = Event::LeaseCall(service, Call::Appended(ticket, appended));
    drop(io.events.send(event).await);
}

pub(super) async fn read(io: Io, service: ServiceId, from: Offset, limit: u32) {
    let page = read_page(&io.log, from, limit).await;
    let event = Event::LeaseCall(service, Call::Read(limit, page));
    drop(io.events.send(event).await);
}

// A new candidate needs only the end of the stream: leases are renewed every few
// seconds, and the fold relies on nothing before its first record. A day of
// leases of five services is 86,400 records, some 10 MB.
async fn read_page(log: &Client, from: Offset, limit: u32) -> Result<Page, log_read::Error> {
    if from > 0 {
        return read_at(log, from, limit).await;
    }
    let first = read_at(log, 0, 1).await?;
    let start = find_tail(log, first.first).await?;
    let mut page = read_at(log, start, limit).await?;
    // Skipped records count as dropped, so that the fold does not rely on a
    // lease whose records it has not read.
    page.first = page.first.max(start);
    Ok(page)
}

// Finds an offset at most a page before the stream's end: doubles the step
// until it is past the end, then bisects.
async fn find_tail(log: &Client, first: Offset) -> Result<Offset, log_read::Error> {
    let (mut low, mut step) = (first, MAX_TAIL_RECORDS);
    while has_record_at(log, low + step).await? {
        low += step;
        step *= 2;
    }
    let mut high = low + step;
    while high - low > MAX_TAIL_RECORDS {
        let middle = low + (high - low) / 2;
        if has_record_at(log, middle).await? {
            low = middle;
        } else {
            high = middle;
        }
    }
    Ok(low)
}

async fn has_record_at(log: &Client, offset: Offset) -> Result<bool, log_read::Error> {
    let page = read_at(log, offset, 1).await?;
    Ok(!page.records.is_empty())
}

async fn read_at(log: &Client, from: Offset, limit: u32) -> Result<Page, log_read::Error> {
    log.read(STREAM_NAME, from, limit as usize, Duration::ZERO)
        .await
}
