//! Pages of a stream in the log's JSON.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use godwitpost_types::id::Offset;
use serde::Serialize;

use super::Record;

/// The response to a read.
#[derive(Serialize)]
pub(super) struct Page {
    first: Offset,
    next: Offset,
    records: Vec<Entry>,
}

#[derive(Serialize)]
struct Entry {
    offset: Offset,
    time_ms: u64,
    body: String,
}

impl Page {
    /// Creates the page for a read from offset `from`.
    pub(super) fn new(first: Offset, from: Offset, records: &[Record]) -> Self {
        let next = records.last().map(|last| last.offset + 1);
        Self {
            first,
            next: next.unwrap_or(from.max(first)),
            records: records.iter().map(Entry::from).collect(),
        }
    }

    pub(super) const fn first(&self) -> Offset {
        self.first
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

impl From<&Record> for Entry {
    fn from(record: &Record) -> Self {
        Self {
            offset: record.offset,
            time_ms: u64::try_from(record.time.as_millis()).unwrap_or(u64::MAX),
            body: STANDARD.encode(&record.body),
        }
    }
}
