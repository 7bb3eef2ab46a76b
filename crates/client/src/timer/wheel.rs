//! A schedule of timer entries that is independent of any clock.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::Moment;

/// When an entry is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Schedule {
    /// Repeatedly, with this period.
    Every(Duration),
    /// Once.
    At(Moment),
}

/// Entries ordered by the moment at which they are due.
#[derive(Debug)]
pub struct Wheel<T> {
    now: Moment,
    last_key: Key,
    due: BTreeMap<(Moment, Key), (Schedule, T)>,
    // When each entry is due next, to look up entries by key.
    due_by_key: BTreeMap<Key, Moment>,
}

/// Identifies an entry of a wheel.
pub type Key = u64;

impl<T> Default for Wheel<T> {
    fn default() -> Self {
        Self::new(Moment::ZERO)
    }
}

impl<T> Wheel<T> {
    /// Creates an empty wheel at a moment.
    #[must_use]
    pub const fn new(now: Moment) -> Self {
        Self {
            now,
            last_key: 0,
            due: BTreeMap::new(),
            due_by_key: BTreeMap::new(),
        }
    }

    /// Adds an entry and returns its key. Its first period starts at `now`.
    pub fn insert(&mut self, now: Moment, schedule: Schedule, entry: T) -> Key {
        let at = match schedule {
            Schedule::Every(period) => now + period,
            Schedule::At(moment) => moment,
        };
        self.last_key += 1;
        self.schedule_at(at, self.last_key, schedule, entry);
        self.last_key
    }

    /// Removes an entry. Does nothing if it was removed already.
    pub fn remove(&mut self, key: Key) {
        if let Some(at) = self.due_by_key.remove(&key) {
            self.due.remove(&(at, key));
        }
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Returns whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }

    /// Returns the moment to which the wheel was last advanced.
    #[must_use]
    pub const fn now(&self) -> Moment {
        self.now
    }

    /// Returns the moment at which the next entry is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Moment> {
        self.due.keys().next().map(|&(at, _)| at)
    }

    /// Advances to a moment and calls `fire` for each entry due by then, in
    /// order. An entry for which `fire` returns false is removed.
    ///
    /// A periodic entry fires once, however many periods have passed. A moment
    /// before the current one of the wheel does not move it back.
    pub fn advance(&mut self, now: Moment, mut fire: impl FnMut(&T) -> bool) {
        self.now = self.now.max(now);
        let after = self.due.split_off(&(self.now, u64::MAX));
        let due = std::mem::replace(&mut self.due, after);
        for ((at, key), (schedule, entry)) in due {
            self.due_by_key.remove(&key);
            if !fire(&entry) {
                continue;
            }
            if let Schedule::Every(period) = schedule {
                self.schedule_at(next_period(at, period, self.now), key, schedule, entry);
            }
        }
    }

    fn schedule_at(&mut self, at: Moment, key: Key, schedule: Schedule, entry: T) {
        self.due_by_key.insert(key, at);
        self.due.insert((at, key), (schedule, entry));
    }
}

// Returns the first moment after `now` that is a multiple of `period` after
// `at`. A late driver does not shift the periods, and missed ones are skipped.
fn next_period(at: Moment, period: Duration, now: Moment) -> Moment {
    let next = at + period;
    if next > now {
        return next;
    }
    let missed = now.saturating_sub(at).as_nanos() / period.as_nanos();
    let skipped = u32::try_from(missed)
        .ok()
        .and_then(|n| period.checked_mul(n));
    skipped.map_or(now, |skipped| at + skipped) + period
}
