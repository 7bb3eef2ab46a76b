//! Finds where in a stream the claim window begins.
//!
//! The log may keep a stream for days, and a new batcher needs its last
//! minutes. Records are in order of their time, so a few reads of one record
//! each find the place: doubling steps until the window or the stream's end
//! is passed, then halving. Starting anywhere is safe, since the fold vouches
//! only for what it can have seen; starting early enough loses no key.

use godwitpost_types::clock::Moment;
use godwitpost_types::id::Offset;

use super::Page;

/// Records that are read rather than searched; one page.
const NEAR: Offset = 1000;

/// A search for the last record that is older than the window.
#[derive(Clone, Debug)]
pub(super) struct Seek {
    // Records at or before this time are not needed.
    wanted: Moment,
    // The window begins at or after this offset.
    low: Offset,
    // It begins before this offset, once known.
    high: Option<Offset>,
    step: Offset,
    begun: bool,
}

impl Seek {
    /// Returns a search for a window that begins after `wanted`.
    pub(super) const fn new(wanted: Moment) -> Self {
        Self {
            wanted,
            low: 0,
            high: None,
            step: NEAR,
            begun: false,
        }
    }

    /// Returns the offset to read one record at.
    pub(super) const fn probe(&self) -> Offset {
        if !self.begun {
            return 0;
        }
        match self.high {
            None => self.low + self.step,
            Some(high) => self.low + (high - self.low) / 2,
        }
    }

    /// Takes what the probe brought; returns where to start reading, once
    /// found.
    pub(super) fn apply_probe(&mut self, page: &Page) -> Option<Offset> {
        let probe = self.probe().max(page.first);
        let record = page.records.first().filter(|r| r.offset == probe);
        let old = record.is_some_and(|record| record.time <= self.wanted);
        if !self.begun {
            self.begun = true;
            self.low = page.first;
            return (!old).then_some(page.first);
        }
        if old {
            self.low = probe;
            self.step *= 2;
        } else {
            // Too new, or past the end.
            self.high = Some(probe);
        }
        let high = self.high?;
        // The log may have dropped records meanwhile.
        self.low = self.low.max(page.first);
        (high.saturating_sub(self.low) <= NEAR).then_some(self.low)
    }
}

#[cfg(test)]
mod tests;
