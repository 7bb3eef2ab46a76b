//! Buffers records read after a gap until a checkpoint or a peer covers it.
//!
//! This guards against the following failure: two operators roll version 6
//! on version 5, and the log drops the record that won but still retains the
//! one that lost. A reader with version 5 that continued reading would accept
//! the losing record and differ from the fleet permanently. So changes after
//! a gap are buffered, and folded only once a snapshot covers the gap.

use std::collections::VecDeque;

use godwitpost_types::id::Offset;

use crate::blob::Blob;
use crate::record::BufferedChange;

/// Twice the number of records that makes a checkpoint due, so the checkpoint
/// that a healthy fleet appends always covers the first buffered record.
pub(super) const MAX_BUFFERED_RECORDS: usize = 4_096;

/// A sixteenth of the 64 MB that the control plane may use.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// The changes read after a gap.
#[derive(Clone, Debug)]
pub(super) struct Gap {
    /// Every change from this offset on is buffered.
    pub first: Offset,
    /// The next offset to read.
    pub next: Offset,
    records: VecDeque<BufferedChange>,
    bytes: usize,
}

impl Gap {
    /// Returns a gap that ends before `first`.
    pub fn new(first: Offset) -> Self {
        Self {
            first,
            next: first,
            records: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Buffers a change and drops the oldest ones above the limits.
    ///
    /// Dropping a change widens the gap, which is safe: a checkpoint must then
    /// cover the dropped record too.
    pub fn buffer(&mut self, offset: Offset, bytes: Vec<u8>) {
        self.bytes += bytes.len();
        let bytes = Blob(bytes);
        self.records.push_back(BufferedChange { offset, bytes });
        while self.records.len() > MAX_BUFFERED_RECORDS || self.bytes > MAX_BUFFERED_BYTES {
            let Some(dropped) = self.records.pop_front() else {
                return;
            };
            self.bytes -= dropped.bytes.0.len();
            self.first = dropped.offset + 1;
        }
    }

    /// Returns the changes from `next` on; `None` if some of them are missing.
    pub fn changes_from(&self, next: Offset) -> Option<Vec<BufferedChange>> {
        (next >= self.first).then(|| {
            let records = self.records.iter();
            records
                .filter(|record| record.offset >= next)
                .cloned()
                .collect()
        })
    }
}
