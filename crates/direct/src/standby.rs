//! Which instances may be asked when none of the seeds can be.
//!
//! Seeds are few and die like any other instance, often together. Left without
//! them, hundreds of instances went to the log at once, and it was slow or down as
//! often as not. So each seed names a few of those that ask it as standbys, and
//! tells all others of them. When the seeds fail, everybody asks the standbys, and
//! only these read the log.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::{hash, id};

/// Standbys that one instance names: three seeds then have six between them.
const NAMED: usize = 2;

/// How long after its last question an instance counts as asking: more than two
/// of the longest waits.
const ASKING: Duration = Duration::from_secs(4);

/// Instances that are remembered as asking; more than ask one of three in a fleet
/// of a thousand, and a bound on what strangers can make this one keep.
const REMEMBERED: usize = 512;

/// How long another instance's count is believed: it is told each second, and one
/// that is away comes back or its askers ask this one.
const COUNT_BELIEVED: Duration = Duration::from_secs(10);

/// Instances whose counts are kept at most.
const COUNTING: usize = 16;

/// The instances that ask this one.
#[derive(Debug, Default)]
pub struct Pollers {
    asked: BTreeMap<SocketAddr, Moment>,
    last: Option<Moment>,
    // What other instances that are asked counted of theirs.
    told: BTreeMap<SocketAddr, (u32, Moment)>,
}

impl Pollers {
    /// Takes in a question from an instance that can be asked at `address`, if it
    /// can be.
    pub fn record_poll(&mut self, address: Option<SocketAddr>, now: Moment) {
        self.last = Some(now);
        let Some(address) = address else { return };
        if self.asked.len() >= REMEMBERED {
            self.asked.retain(|_, at| since(now, *at) < ASKING);
        }
        if self.asked.len() < REMEMBERED {
            self.asked.insert(address, now);
        }
    }

    /// Returns how many instances ask this one, and itself.
    #[must_use]
    pub fn own_count(&self, now: Moment) -> u32 {
        let asking = self.asked.values().filter(|at| since(now, **at) < ASKING);
        u32::try_from(asking.count()).map_or(u32::MAX, |count| count.saturating_add(1))
    }

    /// Takes in how many another instance that is asked counted.
    pub fn record_peer_count(&mut self, peer: SocketAddr, count: u32, now: Moment) {
        self.told
            .retain(|_, (_, at)| since(now, *at) < COUNT_BELIEVED);
        if self.told.len() < COUNTING {
            self.told.insert(peer, (count, now));
        }
    }

    /// Returns how many instances there are in all, as far as this one knows.
    #[must_use]
    pub fn count(&self, now: Moment) -> u32 {
        let told = self.told.values();
        let believed = told.filter(|(_, at)| since(now, *at) < COUNT_BELIEVED);
        believed.fold(self.own_count(now), |sum, (count, _)| {
            sum.saturating_add(*count)
        })
    }

    /// Returns whether there was a question lately.
    #[must_use]
    pub fn any_recent(&self, now: Moment) -> bool {
        self.last.is_some_and(|at| since(now, at) < ASKING)
    }

    /// Returns the standbys that the instance of this life names: those of its
    /// askers that rank highest with it, so that they change only when one of
    /// them stops asking.
    #[must_use]
    pub fn standbys(&self, life: u64, now: Moment) -> Vec<SocketAddr> {
        let mut asking: Vec<SocketAddr> = self
            .asked
            .iter()
            .filter(|(_, at)| since(now, **at) < ASKING)
            .map(|(address, _)| *address)
            .collect();
        asking.sort_by_key(|address| std::cmp::Reverse(rank(life, *address)));
        asking.truncate(NAMED);
        asking
    }
}

fn rank(life: u64, address: SocketAddr) -> u64 {
    hash::score(life, id::of(&address.to_string()))
}

/// The instances that one can ask, in the order in which it does.
#[derive(Debug)]
pub struct Peers {
    seeds: Vec<SocketAddr>,
    // What each peer named last.
    named: BTreeMap<SocketAddr, Vec<SocketAddr>>,
    own: Option<SocketAddr>,
    next: usize,
}

impl Peers {
    /// Returns the seeds, beginning with the one of this number.
    #[must_use]
    pub const fn new(seeds: Vec<SocketAddr>, own: Option<SocketAddr>, first: usize) -> Self {
        Self {
            seeds,
            named: BTreeMap::new(),
            own,
            next: first,
        }
    }

    /// Takes in the standbys that a peer names. Only seeds name any: a standby's
    /// own askers are at most as well informed as it is.
    pub fn set_standbys(&mut self, peer: SocketAddr, standbys: Vec<SocketAddr>) {
        if self.seeds.contains(&peer) {
            self.named.insert(peer, standbys);
        }
    }

    /// Returns whether this instance is a standby, so that it reads the log when no
    /// seed can be asked.
    #[must_use]
    pub fn is_standby(&self) -> bool {
        let named = |own: &SocketAddr| self.named.values().flatten().any(|one| one == own);
        self.own.as_ref().is_some_and(named)
    }

    /// Returns whom to ask, one after the other: the seeds in turn, and then the
    /// standbys, each instance in an order of its own. A standby asks seeds alone.
    pub fn next_round(&mut self, draw: u64) -> Vec<SocketAddr> {
        let mut turn = self.seeds.clone();
        let count = turn.len().max(1);
        turn.rotate_left(self.next % count);
        self.next = (self.next + 1) % count;
        if !self.is_standby() {
            let mut standbys: Vec<SocketAddr> = self.named.values().flatten().copied().collect();
            standbys.sort_by_key(|address| rank(draw, *address));
            standbys.dedup();
            turn.extend(standbys);
        }
        turn
    }
}

#[cfg(test)]
mod tests;
