//! When the latest records were appended, to tell how old a checkpoint is.

use std::collections::VecDeque;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::Offset;

use super::gap;

/// Times of the latest offsets, without a hole.
#[derive(Clone, Debug, Default)]
pub(super) struct Times {
    first: Offset,
    times: VecDeque<Moment>,
}

impl Times {
    /// Notes the time of the next offset; after a hole it begins anew.
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

    /// Returns the time of an offset, if it is among the latest.
    pub fn time_of(&self, offset: Offset) -> Option<Moment> {
        let index = usize::try_from(offset.checked_sub(self.first)?).ok()?;
        self.times.get(index).copied()
    }
}
