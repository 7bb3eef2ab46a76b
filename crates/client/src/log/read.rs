//! Pages of a stream as the log answers them, checked before use.

#[cfg(test)]
mod tests;

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use godwitpost_types::id::Offset;
use http::StatusCode;
use serde::Deserialize;

use super::{Page, Record};
use crate::connect;

/// Why a read has no page.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the stream's name is no part of a path ({0}); use letters and digits
    Stream(http::Error),
    /// cannot reach the log: {0}
    Connect(connect::Error),
    /// the log answered {0}; try again after a pause
    Status(StatusCode),
    /// unreadable answer ({0}); try again after a pause
    Answer(connect::BoxError),
    /// the log answered offset {found} where {wanted} was due; report it
    Order {
        /// The offset that a gapless page has next.
        wanted: Offset,
        /// The offset that it had.
        found: Offset,
    },
}

impl std::error::Error for Error {}

#[derive(Deserialize)]
struct Answer {
    first: Offset,
    next: Offset,
    records: Vec<AnswerRecord>,
}

#[derive(Deserialize)]
struct AnswerRecord {
    offset: Offset,
    time_ms: u64,
    body: String,
}

/// Parses a page; offsets must run without a gap from `from` or, if that has
/// expired, from the first record kept.
pub(super) fn parse(body: &[u8], from: Offset) -> Result<Page, Error> {
    let answer: Answer =
        serde_json::from_slice(body).map_err(|error| Error::Answer(error.into()))?;
    let mut wanted = from.max(answer.first);
    let mut records = Vec::with_capacity(answer.records.len());
    for record in answer.records {
        check(wanted, record.offset)?;
        wanted += 1;
        let body = STANDARD
            .decode(record.body)
            .map_err(|error| Error::Answer(error.into()))?;
        records.push(Record {
            offset: record.offset,
            time: Duration::from_millis(record.time_ms),
            body: Bytes::from(body),
        });
    }
    check(wanted, answer.next)?;
    Ok(Page {
        first: answer.first,
        next: answer.next,
        records,
    })
}

fn check(wanted: Offset, found: Offset) -> Result<(), Error> {
    if wanted == found {
        Ok(())
    } else {
        Err(Error::Order { wanted, found })
    }
}
