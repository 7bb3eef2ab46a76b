//! Decides when to append a checkpoint, and which instance does so.
//!
//! The log retains records for a limited time. Before it drops the oldest
//! record that a reader with no state needs, an instance appends the whole
//! bundle in force, so that a fleet whose instances are all replaced at once
//! still finds it. Instances do not coordinate: each waits longer the higher
//! its rank, and stops when a checkpoint of another one appears on the stream.

#[cfg(test)]
mod tests;

use std::time::Duration;

use godwitpost_types::clock::Moment;

use crate::snapshot::Anchor;

/// A checkpoint is due after a third of the retention, which leaves two
/// thirds for log outages and failed writers.
const DUE_RETENTION_DIVISOR: u32 = 3;

/// Each rank waits a further 1/24 of the retention. The last rank appends at
/// a third plus eight twenty-fourths: two thirds of the retention.
const RANK_DELAY_RETENTION_DIVISOR: u32 = 24;

/// Higher ranks wait as long as this one.
const MAX_DELAYED_RANK: u32 = 8;

/// The next checkpoint is due after this many records, whatever its age. This
/// is half of what a reader buffers while it waits for a checkpoint, so that a
/// new reader always buffers enough. At 3,400 changes a day it means two
/// checkpoints a day.
const MAX_RECORDS_SINCE_CHECKPOINT: u64 = 2_048;

/// Each rank waits for this many further records, so that one instance appends
/// first.
const EXTRA_RECORDS_PER_RANK: u64 = 128;

/// The delay before an instance retries while no checkpoint appears.
const RETRY_DELAY: Duration = Duration::from_secs(30);

/// The inputs of a decision.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// The current time.
    pub now: Moment,
    /// How long the log retains records.
    pub retention: Duration,
    /// The oldest record needed, from [`Fold::anchor`](crate::fold::Fold::anchor);
    /// `None` while nothing is in force or the stream has a gap.
    pub anchor: Option<Anchor>,
    /// The next offset of the stream.
    pub next: u64,
    /// When this instance last tried to append a checkpoint.
    pub tried: Option<Moment>,
    /// The index of this instance among the live ones by name; the first is 0.
    pub rank: u32,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Decide again at this time, or when a record appears.
    Wait(Moment),
    /// Append the records of [`record::checkpoint`](crate::record::checkpoint).
    Append,
}

/// Decides whether this instance appends a checkpoint now.
#[must_use]
pub fn decide(view: &View) -> Next {
    let Some(anchor) = view.anchor else {
        return Next::Wait(view.now + RETRY_DELAY);
    };
    let rank = view.rank.min(MAX_DELAYED_RANK);
    let due = due(anchor, view.retention, rank);
    let records = view.next.saturating_sub(anchor.from);
    let many = records >= MAX_RECORDS_SINCE_CHECKPOINT + EXTRA_RECORDS_PER_RANK * u64::from(rank);
    let retry = view
        .tried
        .map_or(Duration::ZERO, |tried| tried + RETRY_DELAY);
    if view.now < retry {
        Next::Wait(retry)
    } else if many || view.now >= due {
        Next::Append
    } else {
        Next::Wait(due)
    }
}

fn due(anchor: Anchor, retention: Duration, rank: u32) -> Moment {
    // The time comes from a peer, so it may have any value.
    let wait = retention / DUE_RETENTION_DIVISOR + retention / RANK_DELAY_RETENTION_DIVISOR * rank;
    anchor.since.saturating_add(wait)
}
