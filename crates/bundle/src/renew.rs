//! When to append a checkpoint, and which instance does.
//!
//! The log keeps records for a limited time. Before the oldest record that a
//! reader without memory needs is dropped, the bundle in force is appended
//! whole, so that a fleet whose instances are all replaced at once still
//! finds it. Instances agree on nothing for this: each waits by its rank and
//! sees on the stream that another was first.

#[cfg(test)]
mod tests;

use std::time::Duration;

use godwitpost_types::clock::Moment;

use crate::snapshot::Anchor;

/// Checkpoints are due at a third of the retention, which leaves two thirds
/// for outages of the log and for writers that fail.
const DUE_RETENTION_DIVISOR: u32 = 3;

/// The wait between two ranks, as a part of the retention. The last rank
/// goes at a third and eight twenty-fourths: two thirds of the retention.
const RANK_DELAY_RETENTION_DIVISOR: u32 = 24;

/// Ranks that wait for each other; beyond them one is as good as another.
const MAX_DELAYED_RANK: u32 = 8;

/// Records after a checkpoint that make the next one due however young it
/// is. Half of what a reader keeps while it waits for a checkpoint, so that
/// a fresh reader always keeps enough; at 3,400 changes a day two a day.
const MAX_RECORDS_SINCE_CHECKPOINT: u64 = 2_048;

/// Further records for each rank.
const EXTRA_RECORDS_PER_RANK: u64 = 128;

/// How often one instance tries again while no checkpoint shows.
const RETRY_DELAY: Duration = Duration::from_secs(30);

/// What an instance knows when it asks.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// The time now.
    pub now: Moment,
    /// How long the log keeps records.
    pub retention: Duration,
    /// The oldest record needed, from [`Fold::anchor`](crate::fold::Fold::anchor);
    /// `None` while nothing is in force or the stream has a gap.
    pub anchor: Option<Anchor>,
    /// The next offset of the stream.
    pub next: u64,
    /// When this instance last tried to append one.
    pub tried: Option<Moment>,
    /// The place of this instance among the live ones, by name; first is 0.
    pub rank: u32,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Ask again at this time, or when a record shows.
    Wait(Moment),
    /// Append the records of [`record::checkpoint`](crate::record::checkpoint).
    Append,
}

/// Returns whether this instance appends a checkpoint now.
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
    // The time comes from a peer, so it may be any.
    let wait = retention / DUE_RETENTION_DIVISOR + retention / RANK_DELAY_RETENTION_DIVISOR * rank;
    anchor.since.saturating_add(wait)
}
