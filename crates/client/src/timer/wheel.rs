//! What is due when, without a clock.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::Moment;

/// When something is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Schedule {
    /// Again and again, this far apart.
    Every(Duration),
    /// Once.
    At(Moment),
}

/// Entries in the order in which they are due.
#[derive(Debug)]
pub struct Wheel<T> {
    now: Moment,
    last_key: Key,
    due: BTreeMap<(Moment, Key), (Schedule, T)>,
    // When each entry is due next, to find it by its key.
    due_by_key: BTreeMap<Key, Moment>,
}

/// Names an entry of a wheel.
pub type Key = u64;

impl<T> Default for Wheel<T> {
    fn default() -> Self {
        Self::new(Moment::ZERO)
    }
}

impl<T> Wheel<T> {
    /// Makes an empty wheel at a moment.
    #[must_use]
    pub const fn new(now: Moment) -> Self {
        Self {
            now,
            last_key: 0,
            due: BTreeMap::new(),
            due_by_key: BTreeMap::new(),
        }
    }

    /// Adds an entry and returns its key; its first period starts at `now`.
    pub fn insert(&mut self, now: Moment, schedule: Schedule, entry: T) -> Key {
        let at = match schedule {
            Schedule::Every(period) => now + period,
            Schedule::At(moment) => moment,
        };
        self.last_key += 1;
        self.schedule_at(at, self.last_key, schedule, entry);
        self.last_key
    }

    /// Removes an entry; one that is gone already changes nothing.
    pub fn remove(&mut self, key: Key) {
        if let Some(at) = self.due_by_key.remove(&key) {
            self.due.remove(&(at, key));
        }
    }

    /// Returns how many entries are due some time.
    #[must_use]
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Returns whether nothing is due ever.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }

    /// Returns the moment to which it was moved last.
    #[must_use]
    pub const fn now(&self) -> Moment {
        self.now
    }

    /// Returns the moment at which the next entry is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Moment> {
        self.due.keys().next().map(|&(at, _)| at)
    }

    /// Moves to a moment and calls `fire` for each entry due by then, in
    /// order. An entry for which it returns false is removed.
    ///
    /// A periodic entry fires once, however many periods have passed. A
    /// moment before the wheel's own leaves the wheel where it is.
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

// The first moment after `now` on the grid of `period` from `at`: a late
// driver doesn't shift the grid, and missed periods are skipped.
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
