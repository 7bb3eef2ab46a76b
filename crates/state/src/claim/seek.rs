//! Finds the offset in a stream at which the claim window begins.
//!
//! The log may retain a stream for days, but a new batcher needs only its last
//! minutes. Records are ordered by time, so a few reads of one record each
//! suffice: the search doubles its step until it passes the start of the window
//! or the end of the stream, then bisects. Any starting offset is safe, since
//! the table refuses keys whose claims it may have missed. An early enough one
//! refuses no key within the window.

use godwitpost_types::clock::Moment;
use godwitpost_types::id::Offset;

use super::Page;

/// The range that is read sequentially instead of searched; one page.
const MAX_SCAN_RECORDS: Offset = 1000;

/// A search for the last record before the claim window.
#[derive(Clone, Debug)]
pub(super) struct Search {
    // Records at or before this time are outside the window.
    window_start: Moment,
    // Lower bound of the start of the window.
    low: Offset,
    // Upper bound of the start of the window; `None` until known.
    high: Option<Offset>,
    step: Offset,
    started: bool,
}

impl Search {
    /// Returns a search for a window that begins after `window_start`.
    pub(super) const fn new(window_start: Moment) -> Self {
        Self {
            window_start,
            low: 0,
            high: None,
            step: MAX_SCAN_RECORDS,
            started: false,
        }
    }

    /// Returns the offset at which to read one record next.
    pub(super) const fn probe_offset(&self) -> Offset {
        if !self.started {
            return 0;
        }
        match self.high {
            None => self.low + self.step,
            Some(high) => self.low + (high - self.low) / 2,
        }
    }

    /// Applies the result of a probe. Returns the offset to start reading from
    /// once it is found.
    pub(super) fn apply_probe(&mut self, page: &Page) -> Option<Offset> {
        let probe = self.probe_offset().max(page.first);
        let record = page.records.first().filter(|r| r.offset == probe);
        let before_window = record.is_some_and(|record| record.time <= self.window_start);
        if !self.started {
            self.started = true;
            self.low = page.first;
            return (!before_window).then_some(page.first);
        }
        if before_window {
            self.low = probe;
            self.step *= 2;
        } else {
            // Within the window, or past the end of the stream.
            self.high = Some(probe);
        }
        let high = self.high?;
        // The log may have deleted records in the meantime.
        self.low = self.low.max(page.first);
        (high.saturating_sub(self.low) <= MAX_SCAN_RECORDS).then_some(self.low)
    }
}

#[cfg(test)]
mod tests;
