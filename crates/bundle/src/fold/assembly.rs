//! Checkpoints put together from their parts.

use std::collections::VecDeque;

use godwitpost_types::id::Offset;

use crate::blob::Digest;
use crate::record::Part;

/// Checkpoints in progress at once: a few instances may write at the same
/// moment, and a writer that died leaves one unfinished.
const MAX_OPEN_CHECKPOINTS: usize = 4;

/// Parts of one checkpoint: 4 MiB, several times what 8,900 workspaces need.
const MAX_CHECKPOINT_PARTS: u32 = 16;

/// Checkpoints in progress.
#[derive(Clone, Debug, Default)]
pub(super) struct Assembly {
    open: VecDeque<PartialCheckpoint>,
}

#[derive(Clone, Debug)]
struct PartialCheckpoint {
    whole: Digest,
    first: Offset,
    next: u32,
    bytes: Vec<u8>,
}

/// A whole checkpoint.
#[derive(Debug)]
pub(super) struct Checkpoint {
    /// The offset of its first part.
    pub first: Offset,
    /// Its bytes, whose digest was checked.
    pub bytes: Vec<u8>,
}

impl Assembly {
    /// Adds a part and returns the whole once it is complete.
    ///
    /// A part appended twice after a lost answer is skipped. A part out of
    /// order ends the attempt; its writer begins again.
    pub fn add(&mut self, offset: Offset, part: &Part) -> Option<Checkpoint> {
        if part.count > MAX_CHECKPOINT_PARTS || part.index >= part.count {
            return None;
        }
        if part.index == 0 {
            self.begin(offset, part);
        }
        let at = self.open.iter().position(|open| open.whole == part.whole)?;
        let open = &mut self.open[at];
        if part.index > open.next {
            self.open.remove(at);
            return None;
        }
        if part.index == open.next {
            open.bytes.extend(&part.bytes.0);
            open.next += 1;
        }
        if open.next < part.count {
            return None;
        }
        let open = self.open.remove(at)?;
        let intact = Digest::of(&open.bytes) == open.whole;
        intact.then_some(Checkpoint {
            first: open.first,
            bytes: open.bytes,
        })
    }

    fn begin(&mut self, offset: Offset, part: &Part) {
        if self.open.iter().any(|open| open.whole == part.whole) {
            return;
        }
        if self.open.len() == MAX_OPEN_CHECKPOINTS {
            self.open.pop_front();
        }
        self.open.push_back(PartialCheckpoint {
            whole: part.whole,
            first: offset,
            next: 0,
            bytes: Vec::new(),
        });
    }
}
