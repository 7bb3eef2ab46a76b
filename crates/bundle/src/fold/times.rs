//! Append times of the latest records, used to compute the age of a
//! checkpoint.

use std::collections::VecDeque;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::Offset;

use super::gap;

/// Append times of the latest consecutive offsets.
#[derive(Clone, Debug, Default)]
pub(super) struct Times {
    first: Offset,
    times: VecDeque<Moment>,
}

impl Times {
    /// Records the time of an offset. If it does not follow the last one, the
    /// earlier times are dropped.
    pub fn record(&mut self, offset: Offset, time: Moment) {
        if offset != self.first + self.times.len() as u64 {
            self.times.clear();
            self.first = offset;
        }
        self.times.push_back(time);
        if self.times.len() > gap::MAX_BUFFERED_RECORDS {
            self.times.pop_front();
            self.first += 1;
        }
    }

    /// Returns the time of an offset, if it is among the latest ones.
    pub fn time_of(&self, offset: Offset) -> Option<Moment> {
        let index = usize::try_from(offset.checked_sub(self.first)?).ok()?;
        self.times.get(index).copied()
    }
}
