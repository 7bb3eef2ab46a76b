//! Standbys: the instances to poll when none of the seeds can be polled.
//!
//! Seeds are few, and they fail like any other instance, often together.
//! Without them, hundreds of instances turned to the log at once, which was
//! then slow or down as often as not. So each seed names a few of the instances
//! that poll it as standbys, and sends their addresses to all others. When the
//! seeds fail, all instances poll the standbys, and only these read the log.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::{hash, id};

/// How many standbys one seed names. Three seeds then have six between them.
const STANDBYS_PER_SEED: usize = 2;

/// How long after its last poll an instance counts as polling: more than two of
/// the longest waits.
const POLLER_TIMEOUT: Duration = Duration::from_secs(4);

/// How many polling instances are remembered. This is more than poll one of
/// three seeds in a fleet of a thousand, and it bounds the memory that unknown
/// pollers can use.
const MAX_POLLERS: usize = 512;

/// How long another seed's count is used. It is sent every second, and a seed
/// that is away either returns in this time or its pollers poll this one.
const PEER_COUNT_TIMEOUT: Duration = Duration::from_secs(10);

/// How many other seeds' counts are kept.
const MAX_PEER_COUNTS: usize = 16;

/// The instances that poll this one.
#[derive(Debug, Default)]
pub struct Pollers {
    last_polls: BTreeMap<SocketAddr, Moment>,
    last_poll: Option<Moment>,
    // How many pollers each of the other seeds counted, and when it did.
    peer_counts: BTreeMap<SocketAddr, (u32, Moment)>,
}

impl Pollers {
    /// Records a poll of an instance that can itself be polled at `address`, if
    /// any.
    pub fn record_poll(&mut self, address: Option<SocketAddr>, now: Moment) {
        self.last_poll = Some(now);
        let Some(address) = address else { return };
        if self.last_polls.len() >= MAX_POLLERS {
            self.last_polls
                .retain(|_, at| since(now, *at) < POLLER_TIMEOUT);
        }
        if self.last_polls.len() < MAX_POLLERS {
            self.last_polls.insert(address, now);
        }
    }

    /// Returns the number of instances that poll this one, plus one for itself.
    #[must_use]
    pub fn own_count(&self, now: Moment) -> u32 {
        let active = self
            .last_polls
            .values()
            .filter(|at| since(now, **at) < POLLER_TIMEOUT);
        u32::try_from(active.count()).map_or(u32::MAX, |count| count.saturating_add(1))
    }

    /// Records the count that another seed sent.
    pub fn record_peer_count(&mut self, peer: SocketAddr, count: u32, now: Moment) {
        self.peer_counts
            .retain(|_, (_, at)| since(now, *at) < PEER_COUNT_TIMEOUT);
        if self.peer_counts.len() < MAX_PEER_COUNTS {
            self.peer_counts.insert(peer, (count, now));
        }
    }

    /// Returns the number of all instances, as far as this one knows.
    #[must_use]
    pub fn count(&self, now: Moment) -> u32 {
        let counts = self.peer_counts.values();
        let recent = counts.filter(|(_, at)| since(now, *at) < PEER_COUNT_TIMEOUT);
        recent.fold(self.own_count(now), |sum, (count, _)| {
            sum.saturating_add(*count)
        })
    }

    /// Returns whether there was a poll recently.
    #[must_use]
    pub fn any_recent(&self, now: Moment) -> bool {
        self.last_poll
            .is_some_and(|at| since(now, at) < POLLER_TIMEOUT)
    }

    /// Returns the standbys that the instance of this incarnation names: the
    /// pollers that rank highest with it. They change only when one of them
    /// stops polling.
    #[must_use]
    pub fn standbys(&self, incarnation: u64, now: Moment) -> Vec<SocketAddr> {
        let mut active: Vec<SocketAddr> = self
            .last_polls
            .iter()
            .filter(|(_, at)| since(now, **at) < POLLER_TIMEOUT)
            .map(|(address, _)| *address)
            .collect();
        active.sort_by_key(|address| std::cmp::Reverse(rank(incarnation, *address)));
        active.truncate(STANDBYS_PER_SEED);
        active
    }
}

fn rank(salt: u64, address: SocketAddr) -> u64 {
    hash::score(salt, id::from_name(&address.to_string()))
}

/// The instances that can be polled, in order.
#[derive(Debug)]
pub struct Peers {
    seeds: Vec<SocketAddr>,
    // The standbys that each seed named last.
    standbys: BTreeMap<SocketAddr, Vec<SocketAddr>>,
    own_address: Option<SocketAddr>,
    next_seed: usize,
}

impl Peers {
    /// Returns the seeds, starting with the one at index `first`.
    #[must_use]
    pub const fn new(
        seeds: Vec<SocketAddr>,
        own_address: Option<SocketAddr>,
        first: usize,
    ) -> Self {
        Self {
            seeds,
            standbys: BTreeMap::new(),
            own_address,
            next_seed: first,
        }
    }

    /// Records the standbys that a peer names. Those of peers other than seeds
    /// are ignored: the instances that poll a standby are at most as well
    /// informed as it is.
    pub fn set_standbys(&mut self, peer: SocketAddr, standbys: Vec<SocketAddr>) {
        if self.seeds.contains(&peer) {
            self.standbys.insert(peer, standbys);
        }
    }

    /// Returns whether this instance is a standby, which reads the log when no
    /// seed can be polled.
    #[must_use]
    pub fn is_standby(&self) -> bool {
        let is_named = |own: &SocketAddr| self.standbys.values().flatten().any(|one| one == own);
        self.own_address.as_ref().is_some_and(is_named)
    }

    /// Returns the instances to poll, in order: the seeds in turn, and then the
    /// standbys in an order that differs between instances. A standby polls
    /// only seeds.
    pub fn next_round(&mut self, draw: u64) -> Vec<SocketAddr> {
        let mut round = self.seeds.clone();
        let count = round.len().max(1);
        round.rotate_left(self.next_seed % count);
        self.next_seed = (self.next_seed + 1) % count;
        if !self.is_standby() {
            let mut standbys: Vec<SocketAddr> = self.standbys.values().flatten().copied().collect();
            standbys.sort_by_key(|address| rank(draw, *address));
            standbys.dedup();
            round.extend(standbys);
        }
        round
    }
}

#[cfg(test)]
mod tests;
