//! What the log service answers, as the machines that use it see it.

use godwitpost_types::clock::Moment;
use godwitpost_types::id::Offset;

/// What is known of an append that brought no offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendFailure {
    /// The log refused it or was never reached: it has no effect.
    NotApplied,
    /// Its answer was lost: it may have taken effect, or still will.
    Unknown,
}

/// One answer to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The oldest record still kept.
    pub first: Offset,
    /// The offset that the next append would get.
    pub next: Offset,
    /// The records, in order and without gaps.
    pub records: Vec<StoredRecord>,
}

/// A record of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// Its offset.
    pub offset: Offset,
    /// The log's time for it.
    pub time: Moment,
    /// Its bytes.
    pub body: Vec<u8>,
}
