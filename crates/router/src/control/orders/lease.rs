//! Calls to the log about leases.
//!
//! Only candidates read the stream, once per renewal and without waiting.

use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::log::{Appended, Client, Page, append, read as log_read};
use godwitpost_state::lease::STREAM_NAME;
use godwitpost_types::id::{Offset, ServiceId};

use super::super::{Event, Io};

/// Records that are read rather than searched for; one page.
const MAX_TAIL_RECORDS: Offset = 1000;

/// The log's answer to a lease's call.
#[derive(Debug)]
pub(crate) enum Call {
    /// To an append, by its ticket.
    Appended(u64, Result<Appended, append::Error>),
    /// To a read of so many records.
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

// A new candidate needs the end of the stream only: a lease renews itself
// every few seconds, and the fold vouches for nothing before its first record.
// A day of five services' leases is 86,400 records, some 10 MB.
async fn read_page(log: &Client, from: Offset, limit: u32) -> Result<Page, log_read::Error> {
    if from > 0 {
        return read_at(log, from, limit).await;
    }
    let first = read_at(log, 0, 1).await?;
    let start = find_tail(log, first.first).await?;
    let mut page = read_at(log, start, limit).await?;
    // What was passed over counts as dropped, so that the fold trusts no
    // lease that it can't have seen.
    page.first = page.first.max(start);
    Ok(page)
}

// Finds an offset less than a page before the stream's end: doubling steps
// until the end is passed, then halving.
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
