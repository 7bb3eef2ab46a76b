//! Assembles checkpoints from their parts.

use std::collections::VecDeque;

use godwitpost_types::id::Offset;

use crate::blob::Digest;
use crate::record::Part;

/// Several instances may write checkpoints at the same time, and a writer
/// that crashes leaves one incomplete.
const MAX_OPEN_CHECKPOINTS: usize = 4;

/// Limits a checkpoint to 4 MiB, several times what 8,900 workspaces need.
const MAX_CHECKPOINT_PARTS: u32 = 16;

/// Checkpoints of which some parts have been read.
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

/// A complete checkpoint.
#[derive(Debug)]
pub(super) struct CompleteCheckpoint {
    /// The offset of its first part.
    pub first: Offset,
    /// Its bytes, with the digest verified.
    pub bytes: Vec<u8>,
}

impl Assembly {
    /// Adds a part and returns the checkpoint once it is complete.
    ///
    /// A part that was appended twice because a response was lost is skipped.
    /// A part that skips ahead discards the checkpoint; its writer starts over.
    pub fn add(&mut self, offset: Offset, part: &Part) -> Option<CompleteCheckpoint> {
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
        intact.then_some(CompleteCheckpoint {
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
