//! The endpoints that may get requests, from what the log says of them.
//!
//! An entry that is removed is gone at once, with one exception. While the log
//! is away, endpoints can't renew their entries, and those lapse although
//! their endpoints live. On the log's return all of them look removed; an
//! instance that believed it would refuse every request until they are back.
//! So entries that are found removed just after an absence long enough for
//! them to lapse are kept for a grace period, and dropped if they are still
//! missing then. An entry that said it was leaving is never kept.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::{Endpoint, Standing};
use serde::{Deserialize, Serialize};

/// How long after the log's return lapsed entries are kept. Live endpoints
/// renew theirs within two seconds of it; that return is noticed up to 0.6 s
/// late, and an endpoint that really left must be left alone three seconds
/// after it.
pub const GRACE: Duration = Duration::from_millis(2_200);

/// Heartbeats for which the log has to be away for entries to lapse: they
/// lapse after three, of which the last may just not have been sent.
const BEATS: u32 = 2;

/// The endpoints known, and how the log has been reached.
#[derive(Debug)]
pub struct Roster {
    heartbeat: Duration,
    entries: BTreeMap<String, Entry>,
    // When the log was last read, and since when it could be again after an
    // absence in which entries may have lapsed.
    read: Option<Moment>,
    back: Option<Moment>,
}

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Who and where it is, and whether it may get new work.
    pub endpoint: Endpoint,
    /// Requests that it runs at once.
    pub slots: u32,
}

#[derive(Debug)]
struct Entry {
    registration: Registration,
    lapsed: bool,
}

/// What an entry that was set says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Setting {
    /// Nothing but that its endpoint lives.
    Same,
    /// The same as before it lapsed.
    Returned,
    /// Something new.
    Changed,
}

/// What became of an entry that the log removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// It is gone.
    Gone,
    /// It may have lapsed only; it is kept for a while.
    Kept,
    /// It was not known.
    Unknown,
}

impl Roster {
    /// Returns an empty roster of endpoints that send a heartbeat this often.
    #[must_use]
    pub const fn new(heartbeat: Duration) -> Self {
        Self {
            heartbeat,
            entries: BTreeMap::new(),
            read: None,
            back: None,
        }
    }

    /// Takes in that the log was read.
    pub fn reached(&mut self, now: Moment) {
        let away = self.read.map(|read| since(now, read));
        if away.is_some_and(|away| away >= self.heartbeat * BEATS) {
            self.back = Some(now);
        }
        self.read = Some(now);
    }

    /// Takes in an entry; returns what it says beside its heartbeat.
    pub fn set(&mut self, registration: Registration) -> Setting {
        let name = registration.endpoint.name.clone();
        let entry = Entry {
            registration,
            lapsed: false,
        };
        match self.entries.get_mut(&name) {
            Some(known) if known.registration == entry.registration => {
                if std::mem::take(&mut known.lapsed) {
                    Setting::Returned
                } else {
                    Setting::Same
                }
            }
            Some(known) => {
                *known = entry;
                Setting::Changed
            }
            None => {
                self.entries.insert(name, entry);
                Setting::Changed
            }
        }
    }

    /// Takes in that an entry was removed.
    pub fn remove(&mut self, name: &str, now: Moment) -> Removal {
        let recent = self.back.is_some_and(|back| since(now, back) < GRACE);
        let Some(entry) = self.entries.get_mut(name) else {
            return Removal::Unknown;
        };
        if recent && entry.registration.endpoint.standing == Standing::Live {
            entry.lapsed = true;
            return Removal::Kept;
        }
        self.entries.remove(name);
        Removal::Gone
    }

    /// Drops an entry that a peer, who weighed it, says is gone; returns
    /// whether it was known.
    pub fn dismiss(&mut self, name: &str) -> bool {
        self.entries.remove(name).is_some()
    }

    /// Drops lapsed entries whose time is over; returns their names.
    pub fn expire(&mut self, now: Moment) -> Vec<String> {
        let over = self.back.is_none_or(|back| since(now, back) >= GRACE);
        if !over {
            return Vec::new();
        }
        let gone: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lapsed)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &gone {
            self.entries.remove(name);
        }
        gone
    }

    /// Returns all endpoints known, leaving ones included.
    pub fn registrations(&self) -> impl Iterator<Item = &Registration> {
        self.entries.values().map(|entry| &entry.registration)
    }
}

#[cfg(test)]
mod tests;
