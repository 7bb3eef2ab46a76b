//! Parses and validates pages of a stream.

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

/// The reason for which a read failed.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the name of the stream is not valid in a path ({0}); use letters and digits
    Stream(http::Error),
    /// cannot reach the log: {0}
    Connect(connect::Error),
    /// the log responded {0}; try again after a pause
    Status(StatusCode),
    /// invalid response ({0}); try again after a pause
    InvalidResponse(connect::BoxError),
    /// the log returned offset {found} where {expected} was expected; report it
    UnexpectedOffset {
        /// The next offset of a page without gaps.
        expected: Offset,
        /// The offset in the response.
        found: Offset,
    },
}

impl std::error::Error for Error {}

#[derive(Deserialize)]
struct ReadResponse {
    first: Offset,
    next: Offset,
    records: Vec<ResponseRecord>,
}

#[derive(Deserialize)]
struct ResponseRecord {
    offset: Offset,
    time_ms: u64,
    body: String,
}

/// Parses a page. Its offsets must be consecutive and start at `from` or, if
/// that has expired, at the first retained record.
pub(super) fn parse(body: &[u8], from: Offset) -> Result<Page, Error> {
    let response: ReadResponse =
        serde_json::from_slice(body).map_err(|error| Error::InvalidResponse(error.into()))?;
    let mut expected = from.max(response.first);
    let mut records = Vec::with_capacity(response.records.len());
    for record in response.records {
        check_offset(expected, record.offset)?;
        expected += 1;
        let body = STANDARD
            .decode(record.body)
            .map_err(|error| Error::InvalidResponse(error.into()))?;
        records.push(Record {
            offset: record.offset,
            time: Duration::from_millis(record.time_ms),
            body: Bytes::from(body),
        });
    }
    check_offset(expected, response.next)?;
    Ok(Page {
        first: response.first,
        next: response.next,
        records,
    })
}

fn check_offset(expected: Offset, found: Offset) -> Result<(), Error> {
    if expected == found {
        Ok(())
    } else {
        Err(Error::UnexpectedOffset { expected, found })
    }
}
