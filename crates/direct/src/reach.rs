//! Which endpoints this instance can connect to itself.
//!
//! An instance may lose its paths to some or all endpoints while callers, the log and other
//! instances still reach it, and other instances still reach the endpoints. From inside, a
//! lost path looks like an endpoint that is down. It is told apart by asking: an endpoint
//! that another instance reaches is not down. Such an endpoint is *out of reach*. Requests
//! for it go through other instances, and connections to it are tried in the background,
//! without a request that would have to wait for them.
//!
//! Where several endpoints of an availability zone are out of reach, the others of the
//! service there most likely are as well, so their requests don't have to find out.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{EndpointId, ServiceId, ZoneId};

/// The number of endpoints of a service in one zone that are out of reach from which on the
/// others there are taken to be so too. Two may have lost a packet each.
const MIN_LOST_TO_SUSPECT: usize = 3;

/// The pause before a connection to an endpoint that is out of reach is tried again, at
/// first and at most. A path is used again soon after it heals; thousands of instances that
/// try all endpoints once in the longer time cost each of them a few connections a second.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(400);
const MAX_PROBE_PAUSE: Duration = Duration::from_millis(1_600);

/// The range of the random factor of a pause, so that instances that lost their paths
/// together don't return together.
const PROBE_JITTER: f64 = 0.5;

/// How long an endpoint that other instances don't reach either is taken to be down without
/// asking them again.
const DOWN_LIFETIME: Duration = Duration::from_millis(500);

/// The endpoints of a service in one availability zone.
type Group = (ServiceId, ZoneId);

/// An endpoint and the group that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceId,
    /// Its availability zone.
    pub zone: ZoneId,
}

impl Destination {
    const fn group(self) -> Group {
        (self.service, self.zone)
    }
}

/// How a request gets to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Over a connection of this instance.
    Direct,
    /// Through another instance.
    Forward,
}

/// An endpoint that is out of reach.
#[derive(Clone, Copy, Debug)]
struct Loss {
    group: Group,
    next_probe: Moment,
    pause: Duration,
}

/// A group with endpoints that are out of reach.
#[derive(Clone, Copy, Debug, Default)]
struct GroupState {
    lost: usize,
    next_probe: Moment,
}

/// The endpoints that are out of reach, and those that are down for everybody.
#[derive(Debug, Default)]
pub struct Reach {
    lost: BTreeMap<EndpointId, Loss>,
    groups: BTreeMap<Group, GroupState>,
    down: BTreeMap<EndpointId, Moment>,
}

impl Reach {
    /// Returns the way by which to send a request first.
    #[must_use]
    pub fn way(&self, to: Destination) -> Way {
        if self.is_lost(to.endpoint) || self.is_suspect(to.group()) {
            Way::Forward
        } else {
            Way::Direct
        }
    }

    /// Returns whether an endpoint is out of reach.
    #[must_use]
    pub fn is_lost(&self, endpoint: EndpointId) -> bool {
        self.lost.contains_key(&endpoint)
    }

    /// Returns whether to ask other instances for an endpoint that this one can't connect to.
    #[must_use]
    pub fn may_ask_others(&self, endpoint: EndpointId, now: Moment) -> bool {
        self.down
            .get(&endpoint)
            .is_none_or(|at| since(now, *at) >= DOWN_LIFETIME)
    }

    /// Records that another instance reached an endpoint to which this one couldn't
    /// connect; returns whether the endpoint is newly out of reach.
    pub fn record_loss(&mut self, to: Destination, now: Moment, draw: f64) -> bool {
        // Those that were asked for the others may be cut off as well.
        self.down.clear();
        if self.is_lost(to.endpoint) {
            return false;
        }
        self.groups.entry(to.group()).or_default().lost += 1;
        let loss = Loss {
            group: to.group(),
            next_probe: now + jittered(MIN_PROBE_PAUSE, draw),
            pause: MIN_PROBE_PAUSE,
        };
        self.lost.insert(to.endpoint, loss);
        true
    }

    /// Records that this instance connected to an endpoint, which may have been out of
    /// reach; returns the endpoints that are within reach again.
    ///
    /// The paths of a group mostly heal together. One of it that is still lost costs one
    /// request a short delay.
    pub fn record_connected(&mut self, to: Destination) -> Vec<EndpointId> {
        self.down.remove(&to.endpoint);
        let in_group = self.lost.iter().filter(|(_, one)| one.group == to.group());
        let returned: Vec<EndpointId> = in_group.map(|(endpoint, _)| *endpoint).collect();
        for endpoint in &returned {
            self.remove_loss(*endpoint);
        }
        returned
    }

    /// Records that neither this instance nor others reach an endpoint.
    pub fn record_down(&mut self, endpoint: EndpointId, now: Moment) {
        self.remove_loss(endpoint);
        self.down.insert(endpoint, now);
    }

    /// Returns whether to try a connection to an endpoint now, and if so, defers the next
    /// try.
    pub fn take_probe(&mut self, to: Destination, now: Moment, draw: f64) -> bool {
        if let Some(loss) = self.lost.get_mut(&to.endpoint) {
            if now < loss.next_probe {
                return false;
            }
            loss.pause = (loss.pause * 2).min(MAX_PROBE_PAUSE);
            loss.next_probe = now + jittered(loss.pause, draw);
            return true;
        }
        let suspect = self.is_suspect(to.group());
        match self.groups.get_mut(&to.group()) {
            Some(group) if suspect && now >= group.next_probe => {
                group.next_probe = now + jittered(MIN_PROBE_PAUSE, draw);
                true
            }
            _ => false,
        }
    }

    /// Returns the number of endpoints that are out of reach.
    #[must_use]
    pub fn lost_count(&self) -> usize {
        self.lost.len()
    }

    /// Drops endpoints that are gone.
    pub fn retain_endpoints(&mut self, known: impl Fn(EndpointId) -> bool) {
        let gone: Vec<EndpointId> = self
            .lost
            .keys()
            .copied()
            .filter(|one| !known(*one))
            .collect();
        for endpoint in gone {
            self.remove_loss(endpoint);
        }
        self.down.retain(|endpoint, _| known(*endpoint));
    }

    fn remove_loss(&mut self, endpoint: EndpointId) -> Option<Loss> {
        let loss = self.lost.remove(&endpoint)?;
        if let Some(group) = self.groups.get_mut(&loss.group) {
            group.lost -= 1;
            if group.lost == 0 {
                self.groups.remove(&loss.group);
            }
        }
        Some(loss)
    }

    // Returns whether all endpoints of a group are taken to be out of reach.
    fn is_suspect(&self, group: Group) -> bool {
        let group = self.groups.get(&group);
        group.is_some_and(|group| group.lost >= MIN_LOST_TO_SUSPECT)
    }
}

// Returns a pause with a random factor, for a draw from 0 to 1.
fn jittered(pause: Duration, draw: f64) -> Duration {
    pause.mul_f64(1.0 - PROBE_JITTER / 2.0 + PROBE_JITTER * draw)
}

#[cfg(test)]
mod tests;
