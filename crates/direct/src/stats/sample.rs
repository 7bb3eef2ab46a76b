//! The recent loads that an instance sends to its peers.
//!
//! Each peer gets some of them in each answer. They are collected and shuffled once for
//! all answers within a moment: at hundreds of answers a second, a pass over thousands of
//! endpoints for each would take more of a seed's processor than everything else.

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::hash;

use super::Load;

/// How many loads one message to a peer holds at most, at about 15 bytes each.
pub(super) const MAX_SHARED_LOADS: usize = 512;

/// How long collected loads are sent. Peers use them for a second and more.
const SAMPLE_LIFETIME: Duration = Duration::from_millis(50);

/// Recent loads, collected at some time.
#[derive(Debug, Default)]
pub struct LoadSample {
    loads: Vec<Load>,
    collected_at: Option<Moment>,
}

impl LoadSample {
    /// Returns the loads for one message; if there are too many, `selection`
    /// decides which.
    /// Collects them with `collect` if those collected before are too old.
    ///
    /// They are not selected by size. A peer that got only the greatest loads would
    /// assume the same of the other endpoints, compute too great a mean, and leave
    /// prompts at home endpoints that are above the true load bound.
    pub fn draw(
        &mut self,
        now: Moment,
        selection: u64,
        collect: impl FnOnce() -> Vec<Load>,
    ) -> Vec<Load> {
        let is_old = |at: Moment| since(now, at) >= SAMPLE_LIFETIME;
        if self.collected_at.is_none_or(is_old) {
            self.loads = collect();
            if self.loads.len() > MAX_SHARED_LOADS {
                self.loads
                    .sort_by_cached_key(|load| hash::score(selection, load.endpoint));
            }
            self.collected_at = Some(now);
        }
        let age = self
            .collected_at
            .map_or(Duration::ZERO, |at| since(now, at));
        let first = match self.loads.len() {
            ..=MAX_SHARED_LOADS => 0,
            count => usize::try_from(selection).unwrap_or(usize::MAX) % count,
        };
        let from_first = self.loads.iter().cycle().skip(first);
        from_first
            .take(self.loads.len().min(MAX_SHARED_LOADS))
            .map(|load| Load {
                age: load.age + age,
                ..*load
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
