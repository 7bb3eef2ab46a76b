//! The instances that can send this instance's requests on to endpoints.
//!
//! Seeds hear from the instances that poll them where these take requests of others, and
//! name a few of them in each answer, other ones to each instance. So hundreds of instances
//! that lose their paths at once turn to as many others and not to the seeds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id;

/// The number of instances that an answer names.
const SAMPLE_SIZE: usize = 8;

/// The number of instances that are remembered by one that is told of them, and by a seed,
/// which hears from each.
const MAX_TOLD: usize = 32;
const MAX_HEARD: usize = 1_000;

/// How long after it was last heard of an instance is named to others: a few polls.
const SAMPLE_MAX_AGE: Duration = Duration::from_secs(5);

/// How long an instance is passed over that can't be connected to, that doesn't reach an
/// endpoint which another one does, or that takes no requests now.
const GONE_AVOIDANCE: Duration = Duration::from_secs(4);
const OUT_OF_REACH_AVOIDANCE: Duration = Duration::from_secs(1);
const DECLINED_AVOIDANCE: Duration = Duration::from_millis(500);

/// How long one is passed over that doesn't reach an endpoint which may be down: long enough
/// for others to be asked about the next endpoints.
const UNREACHABLE_AVOIDANCE: Duration = Duration::from_millis(300);

/// How long after it has sent a request on an instance is preferred to those of which
/// nothing is known.
const PROVEN_LIFETIME: Duration = Duration::from_secs(3);

/// Of the requests of an instance that knows `n` others that have sent one on, one in
/// `1 + n * PROVEN_WEIGHT` goes to any other, so that more of them become known and share
/// the load.
const PROVEN_WEIGHT: u64 = 2;

/// Why an instance is passed over for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Fault {
    /// gone
    Gone,
    /// out-of-reach
    OutOfReach,
    /// declined
    Declined,
    /// unreachable
    Unreachable,
}

impl Fault {
    const fn avoidance(self) -> Duration {
        match self {
            Self::Gone => GONE_AVOIDANCE,
            Self::OutOfReach => OUT_OF_REACH_AVOIDANCE,
            Self::Declined => DECLINED_AVOIDANCE,
            Self::Unreachable => UNREACHABLE_AVOIDANCE,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Forwarder {
    address: SocketAddr,
    heard_at: Moment,
    avoided_until: Moment,
    // When it last sent a request on, unless it failed since.
    proven_at: Option<Moment>,
}

/// The known instances, by a hash of their addresses: neighbours in this order are of any
/// availability zone.
#[derive(Debug)]
pub struct Forwarders {
    known: BTreeMap<u64, Forwarder>,
    own: Option<SocketAddr>,
    capacity: usize,
}

impl Forwarders {
    /// Returns a set without instances, for one that itself takes requests at `own`.
    #[must_use]
    pub const fn new(own: Option<SocketAddr>, is_seed: bool) -> Self {
        Self {
            known: BTreeMap::new(),
            own,
            capacity: if is_seed { MAX_HEARD } else { MAX_TOLD },
        }
    }

    /// Records that an instance takes requests at `address`.
    pub fn record(&mut self, address: SocketAddr, now: Moment) {
        if Some(address) == self.own {
            return;
        }
        let entry = self.known.entry(key(address)).or_insert(Forwarder {
            address,
            heard_at: now,
            avoided_until: Moment::ZERO,
            proven_at: None,
        });
        entry.heard_at = now;
        if self.known.len() > self.capacity {
            let oldest = self.known.iter().min_by_key(|(_, one)| one.heard_at);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.known.remove(&oldest);
            }
        }
    }

    /// Passes an instance over for a while.
    pub fn avoid(&mut self, address: SocketAddr, fault: Fault, now: Moment) {
        if let Some(one) = self.known.get_mut(&key(address)) {
            one.avoided_until = one.avoided_until.max(now + fault.avoidance());
            one.proven_at = None;
        }
    }

    /// Records that an instance has sent a request on.
    pub fn record_sent_on(&mut self, address: SocketAddr, now: Moment) {
        if let Some(one) = self.known.get_mut(&key(address)) {
            one.avoided_until = Moment::ZERO;
            one.proven_at = Some(now);
        }
    }

    /// Returns an instance to ask that is not among `asked`: mostly one that has sent requests
    /// on, else one that is not passed over, else the one that is passed over for the
    /// shortest time. `draw` selects among several.
    #[must_use]
    pub fn pick(&self, asked: &[SocketAddr], draw: u64, now: Moment) -> Option<SocketAddr> {
        let unasked = || {
            self.known
                .values()
                .filter(|one| !asked.contains(&one.address))
        };
        let usable: Vec<&Forwarder> = unasked().filter(|one| one.avoided_until <= now).collect();
        let is_proven = |one: &&Forwarder| {
            one.proven_at
                .is_some_and(|at| since(now, at) < PROVEN_LIFETIME)
        };
        let proven: Vec<&Forwarder> = usable.iter().copied().filter(is_proven).collect();
        let (which, explore) = (draw >> 32, draw & u64::from(u32::MAX));
        let explores = explore.is_multiple_of(1 + proven.len() as u64 * PROVEN_WEIGHT);
        let among = if explores { usable } else { proven };
        let index = which.checked_rem(among.len() as u64).unwrap_or(0);
        let chosen = among.get(usize::try_from(index).unwrap_or(0)).copied();
        chosen
            .or_else(|| unasked().min_by_key(|one| one.avoided_until))
            .map(|one| one.address)
    }

    /// Returns some of the instances that were heard of recently, and this one, to name to
    /// another instance. `draw` selects them.
    #[must_use]
    pub fn sample(&self, draw: u64, now: Moment) -> Vec<SocketAddr> {
        let recent = |one: &&Forwarder| since(now, one.heard_at) < SAMPLE_MAX_AGE;
        let from_draw = self.known.range(draw..).chain(self.known.range(..draw));
        let others = from_draw.map(|(_, one)| one).filter(recent);
        others
            .map(|one| one.address)
            .take(SAMPLE_SIZE)
            .chain(self.own)
            .collect()
    }
}

fn key(address: SocketAddr) -> u64 {
    id::from_name(&address.to_string())
}

#[cfg(test)]
mod tests;
