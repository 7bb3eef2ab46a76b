//! Whether an instance may handle requests under what its fold holds.
//!
//! The failure it guards against: an instance starts with empty memory and
//! reads weeks of the stream. It passes through every old version on its way,
//! and if it served meanwhile, its callers would see bundles that the fleet
//! left long ago. So it serves only once it has read to the end of the stream
//! with a bundle in force and no gap, or a peer that serves has handed it
//! one. The end of a stream without a bundle does not count: the first
//! versions would then be served one by one, behind the others. The schedules
//! of rolls in the benches have found both.

use crate::fold::Fold;

/// Whether an instance may handle requests; once it may, it always may.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ready(bool);

impl Ready {
    /// Notes that records were applied, and whether they reach the end of the
    /// stream: the log's answer had fewer than were asked for.
    pub const fn record_read(&mut self, fold: &Fold, to_the_end: bool) {
        let caught_up = to_the_end && fold.version() > 0 && !fold.has_gap();
        self.0 = self.0 || caught_up;
    }

    /// Notes that a snapshot or update of a peer that serves was taken, or
    /// was not ahead of what is held here.
    pub const fn record_peer(&mut self, fold: &Fold) {
        self.0 = self.0 || fold.version() > 0;
    }

    /// Returns whether it may.
    #[must_use]
    pub const fn get(self) -> bool {
        self.0
    }
}
