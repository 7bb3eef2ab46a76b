//! The winning claims of one partition, folded from its stream.
//!
//! The table depends only on the log's records, offsets and times, so all
//! readers that have read enough of the stream return the same verdict. How much
//! is enough follows from a key's issue time. A claim counts only if its key was
//! issued at most [`MAX_CLOCK_SKEW`] after the record's time, so all claims of a
//! key issued at `i` have times of `i - MAX_CLOCK_SKEW` or later. A reader that
//! has all records after a time `t` has therefore seen all claims of each key
//! issued more than [`MAX_CLOCK_SKEW`] after `t`. The table keeps that limit as
//! its *floor* and treats every key issued at or before it as expired.
//! Truncation of the stream raises the floor. So does the claim window, which
//! also bounds memory use.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{BodyDigest, KeyDigest, Offset};
use godwitpost_types::outcome::Outcome;

use super::{Id, Item, MAX_CLOCK_SKEW, Record, Verdict};

/// The winning claims of one partition's keys.
#[derive(Clone, Debug, Default)]
pub struct Table {
    next_offset: Offset,
    log_time: Moment,
    floor: Moment,
    after_gap: bool,
    window: Duration,
    winners: BTreeMap<KeyDigest, Winner>,
    by_issue_time: BTreeSet<(Moment, KeyDigest)>,
}

#[derive(Clone, Copy, Debug)]
struct Winner {
    id: Id,
    body: BodyDigest,
    outcome: Option<Outcome>,
}

impl Table {
    /// Returns an empty table before the stream's offset 0.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            ..Self::default()
        }
    }

    /// Sets the claim window, which a new bundle may change.
    ///
    /// A longer window does not restore expired keys, as the floor never falls.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Returns the claim window.
    #[must_use]
    pub const fn window(&self) -> Duration {
        self.window
    }

    /// Returns the offset of the next record to apply.
    #[must_use]
    pub const fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the floor: keys issued at or before it are refused.
    #[must_use]
    pub const fn floor(&self) -> Moment {
        self.floor
    }

    /// Returns the number of keys in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.winners.len()
    }

    /// Returns whether the table has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.winners.is_empty()
    }

    /// Continues at `offset` because the records before it cannot be read.
    ///
    /// The table may miss winners in those records. The time of the next record
    /// determines up to which issue time keys are refused.
    pub fn skip_to(&mut self, offset: Offset) {
        if offset > self.next_offset {
            self.next_offset = offset;
            self.after_gap = true;
        }
    }

    /// Applies the batch at `offset`, which the log recorded at `time`.
    ///
    /// Ignores offsets that are already applied.
    ///
    /// # Panics
    ///
    /// Panics if an offset is skipped without [`Table::skip_to`].
    pub fn apply(&mut self, offset: Offset, time: Moment, batch: &[Item]) {
        if offset < self.next_offset {
            return;
        }
        assert_eq!(
            offset, self.next_offset,
            "a claim batch was skipped without skip_to"
        );
        self.next_offset = offset.saturating_add(1);
        self.log_time = self.log_time.max(time);
        self.raise_floor();
        for item in batch {
            self.apply_item(item);
        }
    }

    /// Returns the verdict on a claim, or `None` while its record is not applied
    /// and no other claim has its key.
    #[must_use]
    pub fn verdict(&self, record: &Record) -> Option<Verdict> {
        if record.issued <= self.floor {
            return Some(Verdict::Expired);
        }
        let winner = self.winners.get(&record.key)?;
        Some(winner.verdict(record))
    }

    /// Returns whether a claim's issue time is too far ahead of the log's clock.
    #[must_use]
    pub fn is_early(&self, record: &Record) -> bool {
        record.issued > self.log_time + MAX_CLOCK_SKEW
    }

    fn raise_floor(&mut self) {
        let window_start = self.log_time.saturating_sub(self.window);
        self.floor = self.floor.max(window_start);
        if self.after_gap {
            // Skipped records are not later than this one.
            self.floor = self.floor.max(self.log_time + MAX_CLOCK_SKEW);
            self.after_gap = false;
        }
        while let Some(&(issued, key)) = self.by_issue_time.first() {
            if issued > self.floor {
                break;
            }
            self.by_issue_time.pop_first();
            self.winners.remove(&key);
        }
    }

    fn apply_item(&mut self, item: &Item) {
        match item {
            Item::Claim(record) => self.apply_claim(record),
            Item::Outcome { key, id, outcome } => self.apply_outcome(key, *id, *outcome),
        }
    }

    fn apply_claim(&mut self, record: &Record) {
        if record.issued <= self.floor || self.is_early(record) {
            return;
        }
        if self.winners.contains_key(&record.key) {
            return;
        }
        self.winners.insert(record.key, Winner::new(record));
        self.by_issue_time.insert((record.issued, record.key));
    }

    fn apply_outcome(&mut self, key: &KeyDigest, id: Id, outcome: Outcome) {
        let Some(winner) = self.winners.get_mut(key) else {
            return;
        };
        // Only the winner's holder knows the outcome; the first one reported is
        // final.
        if winner.id == id && winner.outcome.is_none() {
            winner.outcome = Some(outcome);
        }
    }
}

impl Winner {
    const fn new(record: &Record) -> Self {
        Self {
            id: record.id,
            body: record.body,
            outcome: None,
        }
    }

    fn verdict(&self, record: &Record) -> Verdict {
        if self.id == record.id {
            return Verdict::Claimed;
        }
        if self.body != record.body {
            return Verdict::OtherBody;
        }
        Verdict::Taken {
            by: self.id,
            outcome: self.outcome,
        }
    }
}

#[cfg(test)]
mod tests;
