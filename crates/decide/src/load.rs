//! What an instance knows about the load on a pool: its own part exactly, the
//! rest from the latest summary of each other instance.
//!
//! A summary is the whole state of one source for one pool. Merging keeps the
//! newer one, so a lost or repeated summary does no harm. Summaries arrive by
//! gossip and with every response between instances.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::InstanceId;
use serde::{Deserialize, Serialize};

use crate::view::Pool;

/// How long a summary is used after it was taken.
///
/// This is longer than gossip takes to reach all instances of the target
/// deployment. A source that is silent for longer is treated as
/// unknown.
pub const SUMMARY_MAX_AGE: Duration = Duration::from_secs(15);

/// Maximum age of the summaries that a mean is computed from if they cover
/// enough endpoints.
///
/// Such a mean follows the end of a surge within some seconds. A mean of older
/// figures is too high then, and so is the load bound.
pub const RECENT_SUMMARY_MAX_AGE: Duration = Duration::from_secs(3);

/// Minimum number of endpoints that recent summaries must cover for a mean of
/// their own.
///
/// With loads that differ by a third, the mean of 16 is off by 8%.
pub const MIN_RECENT_ENDPOINTS: u64 = 16;

/// The load of one instance's endpoints in one pool at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The instance that owns the endpoints.
    pub source: InstanceId,
    /// The pool.
    pub pool: Pool,
    /// Number of endpoints of the pool that the source owns.
    pub endpoints: u32,
    /// The estimated work on these endpoints, in tokens.
    pub work: u64,
    /// Number of requests that wait for them at the source.
    pub waiting: u32,
    /// When the source took the figures, by its clock.
    pub taken: Moment,
}

/// The latest summary of each source, by pool.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pools: BTreeMap<Pool, BTreeMap<InstanceId, Summary>>,
}

impl Table {
    /// Records a summary unless a newer one of its source is known.
    pub fn record(&mut self, summary: Summary) {
        let sources = self.pools.entry(summary.pool).or_default();
        let reported = sources.entry(summary.source).or_insert(summary);
        if reported.taken < summary.taken {
            *reported = summary;
        }
    }

    /// Removes summaries that are too old; called about once a second.
    pub fn expire(&mut self, now: Moment) {
        for sources in self.pools.values_mut() {
            sources.retain(|_, summary| since(now, summary.taken) < SUMMARY_MAX_AGE);
        }
        self.pools.retain(|_, sources| !sources.is_empty());
    }

    /// Returns the latest summary of one source unless it is too old.
    #[must_use]
    pub fn fresh_summary(&self, pool: Pool, source: InstanceId, now: Moment) -> Option<&Summary> {
        let summary = self.pools.get(&pool)?.get(&source)?;
        (since(now, summary.taken) < SUMMARY_MAX_AGE).then_some(summary)
    }

    /// Returns the mean estimated work of an endpoint in a pool of `size`.
    ///
    /// `own` is the local instance's exact summary. Endpoints not covered by a
    /// summary that is still valid are assumed to carry at most `floor`.
    /// Without that limit, an instance that has no summaries would compare its
    /// endpoints only with themselves, find each of them at the mean, and
    /// overload them.
    #[must_use]
    pub fn mean_work(&self, own: &Summary, size: usize, floor: f64, now: Moment) -> f64 {
        let others = || {
            self.fresh_summaries(own.pool, now)
                .filter(|s| s.source != own.source)
        };
        let recent = others().filter(|summary| since(now, summary.taken) < RECENT_SUMMARY_MAX_AGE);
        let (endpoints, work) = total(own, recent);
        if endpoints >= MIN_RECENT_ENDPOINTS.min(size as u64) {
            return mean_of(endpoints, work, endpoints, floor);
        }
        let (endpoints, work) = total(own, others());
        mean_of(endpoints, work, size as u64, floor)
    }

    fn fresh_summaries(&self, pool: Pool, now: Moment) -> impl Iterator<Item = &Summary> {
        self.pools
            .get(&pool)
            .into_iter()
            .flat_map(BTreeMap::values)
            .filter(move |summary| since(now, summary.taken) < SUMMARY_MAX_AGE)
    }
}

fn total<'a>(own: &Summary, others: impl Iterator<Item = &'a Summary>) -> (u64, u64) {
    let start = (u64::from(own.endpoints), own.work);
    others.fold(start, |(endpoints, work), summary| {
        (
            endpoints + u64::from(summary.endpoints),
            work + summary.work,
        )
    })
}

#[expect(
    clippy::cast_precision_loss,
    reason = "work and counts stay far under 2^52"
)]
fn mean_of(endpoints: u64, work: u64, size: u64, floor: f64) -> f64 {
    let reported = work as f64;
    let unreported = size.saturating_sub(endpoints) as f64;
    if endpoints == 0 {
        return floor;
    }
    let mean = reported / endpoints as f64;
    (reported + unreported * mean.min(floor)) / (endpoints as f64 + unreported)
}
