//! Limits the requests that this instance sends to an endpoint that is warming up.
//!
//! A service may state that for some time after they start, its endpoints withstand only
//! a certain number of requests a second from all instances together, and crash above
//! that. Instances share no memory, so each takes a share according to their number: a
//! number of requests in each second, drawn anew for each endpoint, since most shares are
//! less than one. An instance's unused share is not given to others. The prompts of a new
//! endpoint are still held by the next one in their ranking, so a request without a share
//! loses little there.
//!
//! Shares protect against a burst: when callers ask for the same thing and its endpoint
//! has just started, no instance knows of the others' requests within the same second.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::hash;
use godwitpost_types::id::EndpointId;

use crate::policy::Ramp;

/// The interval that a share is for.
const SHARE_INTERVAL: Duration = Duration::from_secs(1);

/// The fraction of the rate that is allocated. The instances' seconds overlap, and the
/// drawn numbers vary.
const ALLOCATED_FRACTION: f64 = 0.5;

/// How long a count of the instances is used without being renewed.
const MAX_COUNT_AGE: Duration = Duration::from_mins(1);

/// The number of instances that is assumed if it is unknown, as in the first second after
/// a start: the order of the largest fleets.
const DEFAULT_INSTANCES: f64 = 256.0;

/// The number of values of a 32-bit half of a draw.
const HALF_DRAW_VALUES: f64 = 4_294_967_296.0;

/// The number of instances, as far as it is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct InstanceCount {
    instances: u32,
    counted_at: Option<Moment>,
}

impl InstanceCount {
    /// Applies a count made at `now`. A lower count is applied only after a while:
    /// instances that were not seen recently may still send requests.
    pub fn update(&mut self, instances: u32, now: Moment) {
        let expired = self
            .counted_at
            .is_none_or(|at| since(now, at) > MAX_COUNT_AGE);
        if instances >= self.instances || expired {
            self.instances = instances;
            self.counted_at = Some(now);
        }
    }

    /// Returns the count, unless it is too old.
    #[must_use]
    pub fn get(&self, now: Moment) -> Option<u32> {
        let at = self
            .counted_at
            .filter(|at| since(now, *at) <= MAX_COUNT_AGE)?;
        (at <= now && self.instances > 0).then_some(self.instances)
    }
}

/// The requests sent by this instance to endpoints that are warming up.
#[derive(Debug)]
pub struct Shares {
    // Makes this instance's draws differ from those of others.
    seed: u64,
    sent: BTreeMap<EndpointId, Usage>,
}

// The requests sent within an interval.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    interval: u64,
    requests: u32,
}

impl Shares {
    /// Returns the shares of an instance, drawn with `seed`.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            seed,
            sent: BTreeMap::new(),
        }
    }

    /// Returns whether an endpoint may get a request now, with this ramp and in a fleet
    /// of this many instances.
    #[must_use]
    pub fn has_share(
        &self,
        endpoint: EndpointId,
        ramp: Ramp,
        instances: Option<u32>,
        now: Moment,
    ) -> bool {
        let interval = interval(now);
        let sent = self.sent.get(&endpoint);
        let sent = sent.filter(|sent| sent.interval == interval);
        let requests = sent.map_or(0, |sent| sent.requests);
        let share = mean_share(ramp, instances);
        let draw = hash::score(hash::score(self.seed, interval), endpoint);
        f64::from(requests) + 1.0 <= share + uniform_fraction(draw)
    }

    /// Takes one request from the share of an endpoint, as [`Shares::has_share`] allows;
    /// returns false if none is left.
    pub fn try_take(
        &mut self,
        endpoint: EndpointId,
        ramp: Ramp,
        instances: Option<u32>,
        now: Moment,
    ) -> bool {
        let has_share = self.has_share(endpoint, ramp, instances, now);
        if has_share {
            self.record_sent(endpoint, now);
        }
        has_share
    }

    /// Gives back a request that was taken within this second.
    pub fn give_back(&mut self, endpoint: EndpointId, now: Moment) {
        let interval = interval(now);
        if let Some(sent) = self.sent.get_mut(&endpoint)
            && sent.interval == interval
        {
            sent.requests = sent.requests.saturating_sub(1);
        }
    }

    fn record_sent(&mut self, endpoint: EndpointId, now: Moment) {
        let interval = interval(now);
        self.sent.retain(|_, sent| sent.interval == interval);
        let sent = self.sent.entry(endpoint).or_insert(Usage {
            interval,
            requests: 0,
        });
        sent.requests += 1;
    }
}

// Returns the mean number of requests of one instance per interval.
fn mean_share(ramp: Ramp, instances: Option<u32>) -> f64 {
    let instances = instances.map_or(DEFAULT_INSTANCES, f64::from).max(1.0);
    let total = SHARE_INTERVAL.as_secs_f64() / ramp.spacing.as_secs_f64().max(f64::EPSILON);
    total * ALLOCATED_FRACTION / instances
}

fn interval(now: Moment) -> u64 {
    now.as_secs() / SHARE_INTERVAL.as_secs()
}

fn uniform_fraction(bits: u64) -> f64 {
    const HALF: u64 = 0xffff_ffff;
    f64::from(u32::try_from(bits & HALF).unwrap_or(0)) / HALF_DRAW_VALUES
}

#[cfg(test)]
mod tests;
