//! Records read after a gap, kept until a checkpoint or a peer fills it.
//!
//! The failure it guards against: two operators roll version 6 on version 5,
//! and the log drops the record that won but still keeps the one that lost. A
//! reader that holds version 5 and goes on reading would take the loser, and
//! differ from the fleet for good. So after a gap no change is folded; it is
//! kept, and folded only once something that covers the gap is known.

use std::collections::VecDeque;

use godwitpost_types::id::Offset;

use crate::blob::Blob;
use crate::record::BufferedChange;

/// Records kept; twice what makes a checkpoint due, so the checkpoint that a
/// healthy fleet appends always covers the first record kept.
pub(super) const MAX_BUFFERED_RECORDS: usize = 4_096;

/// Bytes kept: a sixteenth of the 64 MB that control may use.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// What was read after a gap.
#[derive(Clone, Debug)]
pub(super) struct Gap {
    /// Every change from this offset on is kept.
    pub first: Offset,
    /// The next offset to read.
    pub read: Offset,
    records: VecDeque<BufferedChange>,
    bytes: usize,
}

impl Gap {
    /// Returns a gap that ends at `first`.
    pub fn new(first: Offset) -> Self {
        Self {
            first,
            read: first,
            records: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Keeps a change, and drops the oldest above the limits.
    ///
    /// Dropping widens the gap, which is safe: a checkpoint must then cover
    /// the dropped record too.
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

    /// Returns the changes from `next` on, if nothing is missing there.
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
