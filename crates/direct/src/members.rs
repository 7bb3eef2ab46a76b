//! The instances that keep the origins of each other's streams.
//!
//! Any instance has to find what any other one has told, whatever has been lost meanwhile. So
//! all draw the same few instances for a stream, by its id, from the same list: up to
//! [`MAX_MEMBERS`] instances, those that rank first by a hash of their addresses. Seeds make
//! the list from the instances that poll them and from the other seeds' lists, and send it to
//! the instances that poll them when it has changed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::hash;
use godwitpost_types::id::StreamId;

/// How many instances are on the list at most.
pub const MAX_MEMBERS: usize = 64;

/// How many instances are told of a stream. If half of all instances are lost, those told of
/// one stream in sixteen are all lost.
pub const REPLICAS: usize = 4;

/// How long after its last poll an instance is on the list.
const POLL_LIFETIME: Duration = Duration::from_secs(5);

/// How long the list of another seed is used after it was sent, which it is every second.
const SEED_LIFETIME: Duration = Duration::from_secs(5);

/// How long a list is used again. Each poll of hundreds of instances asks for it.
const LIST_LIFETIME: Duration = Duration::from_millis(200);

/// The known instances.
#[derive(Debug)]
pub struct Members {
    own: Option<SocketAddr>,
    // Instances that poll this one, by rank, and when they last did.
    pollers: BTreeMap<(u64, SocketAddr), Moment>,
    // The pollers of other seeds, and when the seed sent them.
    by_seed: BTreeMap<SocketAddr, (Vec<SocketAddr>, Moment)>,
    // The list of the instance that this one polls.
    followed: Vec<SocketAddr>,
    // The list made last, and when.
    made: Option<(Vec<SocketAddr>, Moment)>,
}

impl Members {
    /// Returns a list without other instances, for one that itself listens at `own`.
    #[must_use]
    pub const fn new(own: Option<SocketAddr>) -> Self {
        Self {
            own,
            pollers: BTreeMap::new(),
            by_seed: BTreeMap::new(),
            followed: Vec::new(),
            made: None,
        }
    }

    /// Records a poll of an instance that listens at `address`.
    pub fn record_poll(&mut self, address: SocketAddr, now: Moment) {
        self.pollers.insert((rank(address), address), now);
    }

    /// Records the pollers of another seed.
    pub fn record_seed(&mut self, seed: SocketAddr, pollers: Vec<SocketAddr>, now: Moment) {
        self.by_seed
            .retain(|_, (_, sent_at)| since(now, *sent_at) < SEED_LIFETIME);
        self.by_seed.insert(seed, (pollers, now));
    }

    /// Replaces the list that was received from the instance that this one polls.
    pub fn follow(&mut self, list: Vec<SocketAddr>) {
        self.followed = list;
        self.made = None;
    }

    /// Returns the list that was received from the instance that this one polls.
    #[must_use]
    pub fn followed(&self) -> &[SocketAddr] {
        &self.followed
    }

    /// Returns this instance and those that poll it, the first ones by rank.
    pub fn polling(&mut self, now: Moment) -> Vec<SocketAddr> {
        self.pollers
            .retain(|_, polled_at| since(now, *polled_at) < POLL_LIFETIME);
        let pollers = self.pollers.keys().map(|(_, address)| *address);
        first_by_rank(self.own.into_iter().chain(pollers.take(MAX_MEMBERS)))
    }

    /// Returns the list.
    pub fn list(&mut self, now: Moment) -> &[SocketAddr] {
        let is_fresh = |made_at: Moment| since(now, made_at) < LIST_LIFETIME;
        let made = self.made.take().filter(|(_, made_at)| is_fresh(*made_at));
        let made = made.unwrap_or_else(|| (self.make_list(now), now));
        &self.made.insert(made).0
    }

    fn make_list(&mut self, now: Moment) -> Vec<SocketAddr> {
        let polling = self.polling(now);
        let of_seeds = self
            .by_seed
            .values()
            .filter(|(_, sent_at)| since(now, *sent_at) < SEED_LIFETIME)
            .flat_map(|(pollers, _)| pollers);
        let others = of_seeds.chain(&self.followed).copied();
        first_by_rank(polling.into_iter().chain(others))
    }

    /// Returns whether this instance is the one of the list that a key draws. One that knows
    /// no others is.
    pub fn is_chosen(&mut self, key: u64, now: Moment) -> bool {
        let own = self.own;
        chosen(self.list(now), key).is_none_or(|one| Some(one) == own)
    }

    /// Returns the instances other than this one that are told of a stream, the first to ask
    /// first.
    pub fn replicas(&mut self, stream: StreamId, now: Moment) -> Vec<SocketAddr> {
        let own = self.own;
        let others = self.list(now).iter().filter(|one| Some(**one) != own);
        let mut others = drawn(others.copied().collect(), stream);
        others.truncate(REPLICAS);
        others
    }
}

/// Returns the instance that a key draws from a list.
#[must_use]
pub fn chosen(list: &[SocketAddr], key: u64) -> Option<SocketAddr> {
    let score = |one: &&SocketAddr| hash::score(key, rank(**one));
    list.iter().max_by_key(score).copied()
}

/// Returns instances in the order in which a key draws them.
#[must_use]
pub fn drawn(mut instances: Vec<SocketAddr>, key: u64) -> Vec<SocketAddr> {
    instances.sort_by_cached_key(|one| Reverse(hash::score(key, rank(*one))));
    instances
}

/// Returns a digest of a list.
#[must_use]
pub fn digest(list: &[SocketAddr]) -> u64 {
    list.iter()
        .fold(list.len() as u64, |sum, one| hash::score(sum, rank(*one)))
}

fn rank(address: SocketAddr) -> u64 {
    let host = match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => {
            let segments = ip.segments().map(u64::from);
            segments.into_iter().fold(0, hash::score)
        }
    };
    hash::score(host, u64::from(address.port()))
}

fn first_by_rank(addresses: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let unique: BTreeSet<(u64, SocketAddr)> = addresses.map(|one| (rank(one), one)).collect();
    let by_rank = unique.into_iter().map(|(_, address)| address);
    by_rank.take(MAX_MEMBERS).collect()
}

#[cfg(test)]
mod tests;
