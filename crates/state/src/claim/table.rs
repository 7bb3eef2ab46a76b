//! The fold of one partition's stream into who won which key.
//!
//! The fold depends on the log's records, offsets and times alone, so every
//! reader that has read enough of the stream gives the same verdict. What is
//! *enough* follows from a key's time of issue: a claim counts only if its key
//! was issued no later than [`MAX_CLOCK_SKEW`] after the record's time, so all claims of
//! a key issued at `i` have times of `i - MAX_CLOCK_SKEW` or later. A reader that holds
//! every record after some time has therefore seen all claims of each key
//! issued more than [`MAX_CLOCK_SKEW`] after it. The table keeps that limit as its
//! *floor* and calls every key at or below it expired. Truncation raises the
//! floor, and so does the claim window, which also bounds the memory.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{BodyDigest, KeyDigest, Offset};
use godwitpost_types::outcome::Outcome;

use super::{Id, Item, MAX_CLOCK_SKEW, Record, Verdict};

/// Winners of one partition's keys, as the log has them.
#[derive(Clone, Debug, Default)]
pub struct Table {
    next: Offset,
    time: Moment,
    floor: Moment,
    gap: bool,
    window: Duration,
    winners: BTreeMap<KeyDigest, Winner>,
    by_issue: BTreeSet<(Moment, KeyDigest)>,
}

#[derive(Clone, Copy, Debug)]
struct Winner {
    id: Id,
    body: BodyDigest,
    fate: Option<Outcome>,
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
    /// A longer window brings no forgotten key back: the floor never falls.
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
        self.next
    }

    /// Returns the time of issue at and below which every key is refused.
    #[must_use]
    pub const fn floor(&self) -> Moment {
        self.floor
    }

    /// Returns the number of keys held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.winners.len()
    }

    /// Returns whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.winners.is_empty()
    }

    /// Goes on at `offset` because the records before it can't be read.
    ///
    /// Those records may hold winners that the table then misses. Until the
    /// next record's time is known no key can be vouched for.
    pub fn skip_to(&mut self, offset: Offset) {
        if offset > self.next {
            self.next = offset;
            self.gap = true;
        }
    }

    /// Applies the batch at `offset` with the log's time for it.
    ///
    /// Offsets already applied are ignored.
    ///
    /// # Panics
    ///
    /// Panics if an offset is left out without [`Table::skip_to`].
    pub fn apply(&mut self, offset: Offset, time: Moment, batch: &[Item]) {
        if offset < self.next {
            return;
        }
        assert_eq!(offset, self.next, "a claim batch was left out of the fold");
        self.next = offset.saturating_add(1);
        self.time = self.time.max(time);
        self.raise_floor();
        for item in batch {
            self.apply_item(item);
        }
    }

    /// Returns the verdict on a claim, `None` while its record is not applied
    /// and its key is free.
    #[must_use]
    pub fn verdict(&self, record: &Record) -> Option<Verdict> {
        if record.issued <= self.floor {
            return Some(Verdict::Expired);
        }
        let winner = self.winners.get(&record.key)?;
        Some(winner.verdict(record))
    }

    /// Returns whether a claim's time of issue is too far ahead of the log.
    #[must_use]
    pub fn is_early(&self, record: &Record) -> bool {
        record.issued > self.time + MAX_CLOCK_SKEW
    }

    fn raise_floor(&mut self) {
        let aged = self.time.saturating_sub(self.window);
        self.floor = self.floor.max(aged);
        if self.gap {
            // Every record that was lost is at most as late as this one.
            self.floor = self.floor.max(self.time + MAX_CLOCK_SKEW);
            self.gap = false;
        }
        while let Some(&(issued, key)) = self.by_issue.first() {
            if issued > self.floor {
                break;
            }
            self.by_issue.pop_first();
            self.winners.remove(&key);
        }
    }

    fn apply_item(&mut self, item: &Item) {
        match item {
            Item::Claim(record) => self.claim(record),
            Item::Outcome { key, id, outcome } => self.fate(key, *id, *outcome),
        }
    }

    fn claim(&mut self, record: &Record) {
        if record.issued <= self.floor || self.is_early(record) {
            return;
        }
        if self.winners.contains_key(&record.key) {
            return;
        }
        self.winners.insert(record.key, Winner::new(record));
        self.by_issue.insert((record.issued, record.key));
    }

    fn fate(&mut self, key: &KeyDigest, id: Id, outcome: Outcome) {
        let Some(winner) = self.winners.get_mut(key) else {
            return;
        };
        // Only the winner knows; the first word stays.
        if winner.id == id && winner.fate.is_none() {
            winner.fate = Some(outcome);
        }
    }
}

impl Winner {
    const fn new(record: &Record) -> Self {
        Self {
            id: record.id,
            body: record.body,
            fate: None,
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
            outcome: self.fate,
        }
    }
}

#[cfg(test)]
mod tests;
