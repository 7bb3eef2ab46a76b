//! How much an endpoint gets from this instance while it is warming up.
//!
//! A service may say that its endpoints bear only so many requests a second from
//! all instances together for some time after they start, and end above that.
//! Instances share no memory, so each takes a share by how many of them there are:
//! a number of requests in each second, drawn anew for each endpoint, since most
//! shares are less than one. What one instance leaves unused nobody else gets; the
//! prompts of an endpoint that has just come are held by the next in their ranking,
//! so a request without a share loses little there.
//!
//! Shares answer a burst: when callers ask for one thing whose endpoint has just
//! started, no instance knows of the others' requests within the same second.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::hash;
use godwitpost_types::id::EndpointId;

use crate::policy::Ramp;

/// The time that a share is for.
const INTERVAL: Duration = Duration::from_secs(1);

/// The part of the rate that is given away: two instances' seconds overlap, and
/// what is drawn varies.
const ALLOCATED_FRACTION: f64 = 0.5;

/// How long a count of the instances is believed without being told again.
const MAX_COUNT_AGE: Duration = Duration::from_mins(1);

/// The number of instances that is assumed with none told, as in the first second
/// after a start: of the order of the largest fleets.
const DEFAULT_INSTANCES: f64 = 256.0;

/// The number of values that half of a draw may have.
const HALF_SPAN: f64 = 4_294_967_296.0;

/// How many instances there are, as far as those that are asked know.
#[derive(Clone, Copy, Debug, Default)]
pub struct InstanceCount {
    most: u32,
    at: Option<Moment>,
}

impl InstanceCount {
    /// Takes in a count that was made at `now`. Fewer are believed only after a
    /// while: those that were not heard of lately may still send.
    pub fn update(&mut self, instances: u32, now: Moment) {
        let old = self.at.is_none_or(|at| since(now, at) > MAX_COUNT_AGE);
        if instances >= self.most || old {
            self.most = instances;
            self.at = Some(now);
        }
    }

    /// Returns the count, unless it is too old.
    #[must_use]
    pub fn get(&self, now: Moment) -> Option<u32> {
        let at = self.at.filter(|at| since(now, *at) <= MAX_COUNT_AGE)?;
        (at <= now && self.most > 0).then_some(self.most)
    }
}

/// What this instance has sent to endpoints that are warming up.
#[derive(Debug)]
pub struct Shares {
    // Tells this instance's draws from those of others.
    seed: u64,
    spent: BTreeMap<EndpointId, Usage>,
}

// What was sent within an interval.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    interval: u64,
    requests: u32,
}

impl Shares {
    /// Returns the shares of an instance's life.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            seed,
            spent: BTreeMap::new(),
        }
    }

    /// Returns whether an endpoint may get a request now, of a service with this
    /// ramp in a fleet of this many instances.
    #[must_use]
    pub fn has_share(
        &self,
        endpoint: EndpointId,
        ramp: Ramp,
        instances: Option<u32>,
        now: Moment,
    ) -> bool {
        let interval = interval(now);
        let spent = self.spent.get(&endpoint);
        let spent = spent.filter(|spent| spent.interval == interval);
        let requests = spent.map_or(0, |spent| spent.requests);
        let share = mean_share(ramp, instances);
        let draw = hash::score(hash::score(self.seed, interval), endpoint);
        f64::from(requests) + 1.0 <= share + uniform(draw)
    }

    /// Takes a request out of the share of an endpoint, as [`Shares::has_share`] says;
    /// returns whether there was one.
    pub fn try_take(
        &mut self,
        endpoint: EndpointId,
        ramp: Ramp,
        instances: Option<u32>,
        now: Moment,
    ) -> bool {
        let left = self.has_share(endpoint, ramp, instances, now);
        if left {
            self.record_sent(endpoint, now);
        }
        left
    }

    fn record_sent(&mut self, endpoint: EndpointId, now: Moment) {
        let interval = interval(now);
        self.spent.retain(|_, spent| spent.interval == interval);
        let spent = self.spent.entry(endpoint).or_insert(Usage {
            interval,
            requests: 0,
        });
        spent.requests += 1;
    }
}

// The requests of one instance in an interval, on average.
fn mean_share(ramp: Ramp, instances: Option<u32>) -> f64 {
    let instances = instances.map_or(DEFAULT_INSTANCES, f64::from).max(1.0);
    let all = INTERVAL.as_secs_f64() / ramp.spacing.as_secs_f64().max(f64::EPSILON);
    all * ALLOCATED_FRACTION / instances
}

fn interval(now: Moment) -> u64 {
    now.as_secs() / INTERVAL.as_secs()
}

fn uniform(bits: u64) -> f64 {
    const HALF: u64 = 0xffff_ffff;
    f64::from(u32::try_from(bits & HALF).unwrap_or(0)) / HALF_SPAN
}

#[cfg(test)]
mod tests;
