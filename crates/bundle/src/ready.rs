//! Whether an instance may handle requests with the bundle of its fold.
//!
//! This guards against the following failure: an instance starts with no
//! state and reads weeks of the stream, which puts every old version in force
//! in turn. If it served meanwhile, its callers would see bundles that the
//! fleet replaced long ago. So it serves only once it has read to the end of
//! the stream with a bundle in force and no gap, or has a bundle from a peer
//! that serves. Reaching the end of a stream without a bundle is not enough:
//! the instance would then serve the first versions one by one, behind the
//! others. Randomized schedules of rolls trigger both failures.

use crate::fold::Fold;

/// Whether an instance may handle requests; once set, it stays set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ready(bool);

impl Ready {
    /// Records that a page of the stream was applied. `to_the_end` says that
    /// the page had fewer records than requested, so it ends the stream.
    pub const fn record_read(&mut self, fold: &Fold, to_the_end: bool) {
        let caught_up = to_the_end && fold.version() > 0 && !fold.has_gap();
        self.0 = self.0 || caught_up;
    }

    /// Records that a snapshot or update of a peer that serves was applied, or
    /// was not ahead of the fold.
    pub const fn record_peer(&mut self, fold: &Fold) {
        self.0 = self.0 || fold.version() > 0;
    }

    /// Returns whether the instance may handle requests.
    #[must_use]
    pub const fn get(self) -> bool {
        self.0
    }
}
