//! Which availability zones the operator keeps empty.
//!
//! The operator's topic has one writer and, within an era, one order. So whoever has
//! read it up to a position knows the evacuated zones as of that, and of two such
//! states the one of the greater position is the newer, whichever way they came:
//! from a list, from records, from a peer, or at a start. A state is replaced as
//! a whole, so a zone that was given back can't come back as evacuated, nor the
//! other way round.
//!
//! A log that came back from a copy may lack evacuations until the operator writes
//! them again. So a zone that is evacuated by the state of an earlier era stays so for
//! a while, also if that of the later one doesn't name it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{self, Era, Version, ZoneId};
use serde::{Deserialize, Serialize};

use crate::source::Position;

/// How long the operator has to write again an evacuation that the log lost: twice what
/// endpoints take for their entries.
const REWRITE_GRACE: Duration = Duration::from_secs(4);

/// The evacuated zones as of a position of the operator's topic.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// All records before this one are part of it.
    pub as_of: Position,
    /// The zones' names.
    pub zones: BTreeSet<String>,
}

/// How the evacuated zones changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Zones that are to be empty from now on.
    pub evacuated: Vec<String>,
    /// Zones that may be used again.
    pub returned: Vec<String>,
}

impl Changes {
    /// Returns whether there is none.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.evacuated.is_empty() && self.returned.is_empty()
    }
}

impl Evacuation {
    /// What is known before anything was read.
    pub const NONE: Self = Self {
        as_of: Position::START,
        zones: BTreeSet::new(),
    };

    /// Takes in another state; returns what it changes, or `None` if it is not newer.
    ///
    /// A newer one that changes nothing has to be passed on all the same: others may
    /// know what was in between.
    pub fn apply(&mut self, other: Self) -> Option<Changes> {
        if other.as_of <= self.as_of {
            return None;
        }
        let without = |zones: &BTreeSet<String>, others: &BTreeSet<String>| {
            zones.difference(others).cloned().collect()
        };
        let changes = Changes {
            evacuated: without(&other.zones, &self.zones),
            returned: without(&self.zones, &other.zones),
        };
        *self = other;
        Some(changes)
    }
}

/// The zones that an instance keeps empty.
#[derive(Clone, Debug, Default)]
pub struct EvacuatedZones {
    state: Evacuation,
    // Those that only an earlier era names, and until when they are kept.
    retained: BTreeMap<String, Moment>,
}

impl EvacuatedZones {
    /// Takes in another state; returns what it changes, or `None` if it is not newer.
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

    /// Gives back zones that were kept for long enough, by a read of the operator's topic
    /// sent at `read`; returns them. With the log away nobody writes anything again.
    pub fn release_expired(&mut self, read: Moment) -> Vec<String> {
        let over = self.retained.iter().filter(|(_, until)| read >= **until);
        let over: Vec<String> = over.map(|(zone, _)| zone.clone()).collect();
        self.retained.retain(|_, until| read < *until);
        over
    }

    /// Returns the state that was learned last.
    #[must_use]
    pub const fn state(&self) -> &Evacuation {
        &self.state
    }

    /// Returns the names of the zones.
    pub fn zones(&self) -> impl Iterator<Item = &String> {
        self.state.zones.iter().chain(self.retained.keys())
    }

    /// Returns whether a zone is to be empty.
    #[must_use]
    pub fn contains(&self, zone: ZoneId) -> bool {
        self.zones().any(|name| id::of(name) == zone)
    }
}

/// What one follower of the operator's topic has read: the version, and the evacuated
/// zones by the key of the record that says so.
#[derive(Debug, Default)]
pub struct TopicState {
    epoch: u64,
    era: Era,
    /// The version of the configuration; 0 if none was read.
    pub version: Version,
    zones: BTreeMap<String, String>,
}

impl TopicState {
    /// Forgets what was read in another epoch or era: a follower that reads on after
    /// it asked peers, or in another era, lists the topic anew.
    pub fn reset_if_new(&mut self, epoch: u64, era: Era) {
        if (epoch, era) != (self.epoch, self.era) {
            *self = Self {
                epoch,
                era,
                ..Self::default()
            };
        }
    }

    /// Takes in that the record with this key evacuates a zone.
    pub fn set(&mut self, key: String, zone: String) {
        self.zones.insert(key, zone);
    }

    /// Takes in that the record with this key is gone.
    pub fn remove(&mut self, key: &str) {
        self.zones.remove(key);
    }

    /// Returns the state with all records before `as_of` read.
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
