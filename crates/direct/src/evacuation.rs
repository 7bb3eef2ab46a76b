//! The availability zones that the operator evacuated.
//!
//! The operator's topic has a single writer and, within an era, a single order. So an
//! instance that has read it up to a position knows the evacuated zones as of that
//! position, and of two such states the one with the greater position is newer, whether
//! it came from a list, from records, from a peer or at startup. A state is replaced as a
//! whole, so a returned zone can't become evacuated again by an old state, nor the other
//! way round.
//!
//! A log that was restored from a copy may lack evacuations until the operator writes
//! them again. So a zone that was evacuated in an earlier era stays evacuated for a grace
//! period, even if the state of the later era doesn't name it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{self, Era, Version, ZoneId};
use serde::{Deserialize, Serialize};

use crate::source::Position;

/// How long the operator has to write an evacuation again that the log lost: twice as
/// long as endpoints take to write their entries.
const REWRITE_GRACE: Duration = Duration::from_secs(4);

/// The evacuated zones as of a position in the operator's topic.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// All records before this position are included.
    pub as_of: Position,
    /// The names of the zones.
    pub zones: BTreeSet<String>,
}

/// The difference between two states.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Zones that are evacuated from now on.
    pub evacuated: Vec<String>,
    /// Zones that may be used again.
    pub returned: Vec<String>,
}

impl Changes {
    /// Returns whether nothing changed.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.evacuated.is_empty() && self.returned.is_empty()
    }
}

impl Evacuation {
    /// The state before anything was read.
    pub const NONE: Self = Self {
        as_of: Position::START,
        zones: BTreeSet::new(),
    };

    /// Replaces this state by a newer one and returns the difference, or `None` if the
    /// other state is not newer.
    ///
    /// A newer state has to be forwarded even if the difference is empty, since peers may
    /// know a state in between.
    pub fn apply(&mut self, other: Self) -> Option<Changes> {
        if other.as_of <= self.as_of {
            return None;
        }
        let difference = |zones: &BTreeSet<String>, others: &BTreeSet<String>| {
            zones.difference(others).cloned().collect()
        };
        let changes = Changes {
            evacuated: difference(&other.zones, &self.zones),
            returned: difference(&self.zones, &other.zones),
        };
        *self = other;
        Some(changes)
    }
}

/// The zones that an instance treats as evacuated.
#[derive(Clone, Debug, Default)]
pub struct EvacuatedZones {
    state: Evacuation,
    // Zones that only the state of an earlier era names, and until when they stay
    // evacuated.
    retained: BTreeMap<String, Moment>,
}

impl EvacuatedZones {
    /// Replaces the state by a newer one and returns the difference, or `None` if the
    /// other state is not newer.
    pub fn apply(&mut self, other: Evacuation, now: Moment) -> Option<Changes> {
        let before = self.state.clone();
        let mut changes = self.state.apply(other)?;
        if before.as_of.era < self.state.as_of.era {
            let until = now + REWRITE_GRACE;
            self.retained
                .values_mut()
                .for_each(|retained| *retained = until);
            let lost = changes.returned.drain(..);
            self.retained.extend(lost.map(|zone| (zone, until)));
        }
        let retained = &mut self.retained;
        changes
            .evacuated
            .retain(|zone| retained.remove(zone).is_none());
        Some(changes)
    }

    /// Stops treating retained zones as evacuated once their grace period is over, and
    /// returns them. `read` is when the last read of the operator's topic was sent: while
    /// the log is unavailable, the operator can't write an evacuation again.
    pub fn release_expired(&mut self, read: Moment) -> Vec<String> {
        let released = self.retained.iter().filter(|(_, until)| read >= **until);
        let released: Vec<String> = released.map(|(zone, _)| zone.clone()).collect();
        self.retained.retain(|_, until| read < *until);
        released
    }

    /// Returns the newest state.
    #[must_use]
    pub const fn state(&self) -> &Evacuation {
        &self.state
    }

    /// Returns the names of the zones.
    pub fn zones(&self) -> impl Iterator<Item = &String> {
        self.state.zones.iter().chain(self.retained.keys())
    }

    /// Returns whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: ZoneId) -> bool {
        self.zones().any(|name| id::from_name(name) == zone)
    }
}

/// What a follower of the operator's topic has read: the policy version, and the
/// evacuated zones by the key of their record.
#[derive(Debug, Default)]
pub struct TopicState {
    epoch: u64,
    era: Era,
    /// The version of the policy; 0 if none was read.
    pub version: Version,
    /// Whether the newest policy can't be read. What is known may then have been replaced.
    pub is_policy_unreadable: bool,
    zones: BTreeMap<String, String>,
}

impl TopicState {
    /// Discards what was read in another epoch or era. A follower that reads on after
    /// polling peers, or in another era, starts with a new list of the topic.
    pub fn reset_if_new(&mut self, epoch: u64, era: Era) {
        if (epoch, era) != (self.epoch, self.era) {
            *self = Self {
                epoch,
                era,
                ..Self::default()
            };
        }
    }

    /// Records that the record with this key evacuates a zone.
    pub fn set(&mut self, key: String, zone: String) {
        self.zones.insert(key, zone);
    }

    /// Records that the record with this key was removed.
    pub fn remove(&mut self, key: &str) {
        self.zones.remove(key);
    }

    /// Returns the state as of a position, all records before which have been read.
    #[must_use]
    pub fn evacuation_at(&self, as_of: Position) -> Evacuation {
        Evacuation {
            as_of,
            zones: self.zones.values().cloned().collect(),
        }
    }
}

#[cfg(test)]
mod tests;
