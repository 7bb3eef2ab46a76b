//! Results of log service calls, as the state machines receive them.

use godwitpost_types::clock::Moment;
use godwitpost_types::id::Offset;

/// Why an append returned no offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendFailure {
    /// The log refused the append or was not reached, so it has no effect.
    NotApplied,
    /// The response was lost. The append may have taken effect or may still do
    /// so.
    Unknown,
}

/// The result of one read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The offset of the oldest record that the log retains.
    pub first: Offset,
    /// The offset that the next append would get.
    pub next: Offset,
    /// The records, in offset order and without gaps.
    pub records: Vec<StoredRecord>,
}

/// A record as stored in a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The offset in the stream.
    pub offset: Offset,
    /// The time that the log assigned to the record.
    pub time: Moment,
    /// The encoded payload.
    pub body: Vec<u8>,
}
