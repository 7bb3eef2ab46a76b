//! Standbys: the instances to poll when none of the seeds can be polled.
//!
//! Seeds are few, and they fail like any other instance, often together.
//! Without them, hundreds of instances turned to the log at once, which was
//! then slow or down as often as not. So each seed names a few of the instances
//! that poll it as standbys, and sends their addresses to all others. When the
//! seeds fail, all instances poll the standbys, and only these read the log.
//!
//! Standbys then carry what the seeds did, so those with the fastest links are
//! named, and the more of them the more instances poll.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::{hash, id};

/// How many standbys one seed names at least. Three seeds then have six between
/// them.
const MIN_STANDBYS: usize = 2;

/// A seed names one standby for this many of the instances that poll it, if that
/// makes more than `MIN_STANDBYS`.
const POLLERS_PER_STANDBY: usize = 64;

/// How long the standbys named last are named again without another look at all
/// pollers.
const STANDBYS_LIFETIME: Duration = Duration::from_secs(1);

/// How long after its last poll an instance counts as polling: more than two of
/// the longest waits.
const POLLER_TIMEOUT: Duration = Duration::from_secs(4);

/// How much memory the records of polling instances may take, which bounds what
/// unknown hosts can use. They hold all instances of a fleet twenty times the
/// largest, since a seed that is left alone is polled by all.
const MAX_POLLERS_BYTES: usize = 2 << 20;

/// The memory that one polling instance takes, with its part of the map.
const POLLER_BYTES: usize = 96;

const MAX_POLLERS: usize = MAX_POLLERS_BYTES / POLLER_BYTES;

/// How long another seed's count is used. It is sent every second, and a seed
/// that is away either returns in this time or its pollers poll this one.
const PEER_COUNT_TIMEOUT: Duration = Duration::from_secs(10);

/// How many other seeds' counts are kept.
const MAX_PEER_COUNTS: usize = 16;

// One instance that polls.
#[derive(Clone, Copy, Debug)]
struct Poller {
    last_poll: Moment,
    ability: Ability,
}

/// What makes an instance a good standby, the most important first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ability {
    /// Whether it reads the log itself, so that what it tells is young.
    pub reads_log: bool,
    /// Whether it has the list of endpoints. While a seed can't read the log, those that can
    /// have it first.
    pub has_list: bool,
    /// Bytes a second that its link carries.
    pub link_rate: u64,
}

impl Poller {
    fn is_active(&self, now: Moment) -> bool {
        since(now, self.last_poll) < POLLER_TIMEOUT
    }
}

// For which incarnation, when, and among how many pollers standbys were chosen.
#[derive(Clone, Copy, Debug)]
struct Choice {
    incarnation: u64,
    at: Moment,
    pollers: usize,
}

/// The instances that poll this one.
#[derive(Debug, Default)]
pub struct Pollers {
    // Instances that are never standbys: the other seeds, which are polled in any case.
    seeds: Vec<SocketAddr>,
    last_polls: BTreeMap<SocketAddr, Poller>,
    last_poll: Option<Moment>,
    // The standbys named last, and how they were chosen.
    standbys: Vec<SocketAddr>,
    chosen: Option<Choice>,
    // How many pollers each of the other seeds counted, and when it did.
    peer_counts: BTreeMap<SocketAddr, (u32, Moment)>,
}

impl Pollers {
    /// Returns no pollers of an instance beside these other seeds.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            ..Self::default()
        }
    }

    /// Records a poll of an instance that can itself be polled at `address`, if any.
    pub fn record_poll(&mut self, address: Option<SocketAddr>, ability: Ability, now: Moment) {
        self.last_poll = Some(now);
        let Some(address) = address else { return };
        if self.last_polls.len() >= MAX_POLLERS {
            self.last_polls.retain(|_, poller| poller.is_active(now));
        }
        if self.last_polls.len() < MAX_POLLERS {
            let poller = Poller {
                last_poll: now,
                ability,
            };
            self.last_polls.insert(address, poller);
        }
    }

    /// Returns the number of instances that poll this one, plus one for itself.
    #[must_use]
    pub fn own_count(&self, now: Moment) -> u32 {
        let active = self.last_polls.values().filter(|one| one.is_active(now));
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

    /// Returns the standbys that the instance of this incarnation names: of the pollers that
    /// are no seeds the ablest, and among equals those that rank highest with it. They change
    /// only when one of them stops polling, an abler one polls, or the number of pollers
    /// changes much.
    pub fn standbys(&mut self, incarnation: u64, now: Moment) -> &[SocketAddr] {
        let pollers = self.last_polls.len();
        // While all instances start, those with fast links may come last.
        let is_recent = |choice: Choice| {
            choice.incarnation == incarnation
                && since(now, choice.at) < STANDBYS_LIFETIME
                && pollers < choice.pollers * 2
        };
        let lacks_one = || {
            let active = |one: &SocketAddr| {
                let poller = self.last_polls.get(one);
                poller.is_some_and(|poller| poller.is_active(now))
            };
            self.standbys.len() < MIN_STANDBYS || !self.standbys.iter().all(active)
        };
        if !self.chosen.is_some_and(is_recent) || lacks_one() {
            self.standbys = self.choose_standbys(incarnation, now);
            self.chosen = Some(Choice {
                incarnation,
                at: now,
                pollers,
            });
        }
        &self.standbys
    }

    fn choose_standbys(&self, incarnation: u64, now: Moment) -> Vec<SocketAddr> {
        let active = self.last_polls.iter().filter(|(_, one)| one.is_active(now));
        let active = active.filter(|(address, _)| !self.seeds.contains(address));
        let mut active: Vec<(SocketAddr, Ability)> = active
            .map(|(address, poller)| (*address, poller.ability))
            .collect();
        let count = (active.len() / POLLERS_PER_STANDBY).max(MIN_STANDBYS);
        active.sort_by_cached_key(|(address, ability)| {
            std::cmp::Reverse((*ability, rank(incarnation, *address)))
        });
        active.truncate(count);
        active.into_iter().map(|(address, _)| address).collect()
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

    /// Records the standbys that this instance, a seed, names itself. It polls them when no
    /// other seed can be polled.
    pub fn set_own_standbys(&mut self, standbys: Vec<SocketAddr>) {
        if let Some(own) = self.own_address {
            self.standbys.insert(own, standbys);
        }
    }

    /// Returns whether this instance is a standby, which reads the log when no
    /// seed can be polled.
    #[must_use]
    pub fn is_standby(&self) -> bool {
        let is_named = |own: &SocketAddr| self.standbys.values().flatten().any(|one| one == own);
        self.own_address.as_ref().is_some_and(is_named)
    }

    /// Returns whether this instance may poll standbys.
    #[must_use]
    pub fn has_standbys(&self) -> bool {
        !self.is_standby() && self.standbys.values().any(|named| !named.is_empty())
    }

    /// Returns the instances to poll, in order: the seeds in turn, and then the
    /// standbys in an order that differs between instances. A standby polls
    /// only seeds.
    pub fn next_round(&mut self, draw: u64) -> Vec<SocketAddr> {
        let mut round = self.seeds.clone();
        let count = round.len().max(1);
        round.rotate_left(self.next_seed % count);
        self.next_seed = (self.next_seed + 1) % count;
        round.extend(self.standbys(draw));
        round
    }

    /// Returns the standbys that this instance may poll, in an order that differs between
    /// instances: none if it is a standby itself.
    #[must_use]
    pub fn standbys(&self, draw: u64) -> Vec<SocketAddr> {
        if self.is_standby() {
            return Vec::new();
        }
        let mut standbys: Vec<SocketAddr> = self.standbys.values().flatten().copied().collect();
        standbys.sort_by_key(|address| rank(draw, *address));
        standbys.dedup();
        standbys
    }
}

#[cfg(test)]
mod tests;
