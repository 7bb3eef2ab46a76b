//! The endpoints that may get requests, from what the log says of them.
//!
//! An entry that is removed is gone at once, with one exception. While the log
//! is away, endpoints can't renew their entries, and those lapse although
//! their endpoints live. On the log's return all of them look removed; an
//! instance that believed it would refuse every request until they are back.
//! So entries that are found removed just after an absence long enough for
//! them to lapse are kept for a grace period, and dropped if they are still
//! missing then. An entry that said it was leaving is never kept.
//!
//! A log that comes back from a copy has lost the newest entries and tells older ones
//! until they are written again. Those that it lacks count as lapsed, and what an
//! endpoint said of itself orders the others: a later life replaces an earlier one,
//! and who is leaving doesn't come back in the same life. An entry that only a list
//! holds may be of an endpoint that is gone. It waits until that writes again, or until
//! what the copy holds of silent endpoints has lapsed; and so does one that a peer tells
//! of an endpoint which was seen to be gone here.
//!
//! Endpoints also say in their answers that they are leaving, which the log may say late
//! or never. Whoever said it, an entry that says otherwise of the same life is not taken,
//! also if the endpoint was removed in between.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::id::Incarnation;
use serde::{Deserialize, Serialize};

/// How long after the log's return lapsed entries are kept. Live endpoints
/// renew theirs within two seconds of it; that return is noticed up to 0.6 s
/// late, and an endpoint that really left must be left alone three seconds
/// after it.
pub const GRACE: Duration = Duration::from_millis(2_200);

/// Heartbeats for which the log has to be away for entries to lapse: they
/// lapse after three, of which the last may just not have been sent.
const BEATS: u32 = 2;

/// Heartbeats after a log came back from a copy in which the copy may hold entries of
/// endpoints that are gone: three until those lapse, and one until that is heard of.
const DOUBTED_BEATS: u32 = 4;

/// How long an endpoint that is gone is remembered: more than a copy of the log is old.
const REMEMBERED: Duration = Duration::from_mins(1);

/// How long it is remembered that a life was leaving, since anything was last said of it:
/// more than endpoints take to leave.
const LEAVING_REMEMBERED: Duration = Duration::from_mins(10);

/// The life of an endpoint that doesn't say which one it is in.
const UNNAMED: Incarnation = 0;

/// The endpoints known, and how the log has been reached.
#[derive(Debug)]
pub struct Roster {
    heartbeat: Duration,
    entries: BTreeMap<String, Entry>,
    // When the log was last read, and since when it could be again after an
    // absence in which entries may have lapsed.
    read: Option<Moment>,
    back: Option<Moment>,
    // When it was heard that the log came back from a copy.
    restored: Option<Moment>,
    // Entries that may be of endpoints that are gone.
    doubted: BTreeMap<String, Registration>,
    origin: Option<Origin>,
    // Lives that ended lately, and when.
    gone: BTreeMap<String, (Incarnation, Moment)>,
    // Lives that are leaving, and when anything was last said of them.
    leaving: BTreeMap<String, (Incarnation, Moment)>,
}

/// One life of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Life {
    /// The endpoint's name.
    pub name: String,
    /// Which of its lives.
    pub incarnation: Incarnation,
}

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Who and where it is, and whether it may get new work.
    pub endpoint: Endpoint,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How much longer it takes to warm up, from when this is told.
    pub warming: Duration,
}

impl Registration {
    /// Returns the life that it is of.
    #[must_use]
    pub fn life(&self) -> Life {
        Life {
            name: self.endpoint.name.clone(),
            incarnation: self.endpoint.incarnation,
        }
    }

    // Whether it says the same but for its warming up.
    fn same(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && self.slots == other.slots
    }

    // Whether it was said before the other by an endpoint of the same name.
    fn precedes(&self, other: &Self) -> bool {
        let (own, other) = (&self.endpoint, &other.endpoint);
        let takes_back = own.standing == Standing::Live && other.standing == Standing::Leaving;
        own.incarnation < other.incarnation || (own.incarnation == other.incarnation && takes_back)
    }
}

#[derive(Debug)]
struct Entry {
    registration: Registration,
    // When it will have warmed up.
    warm_at: Moment,
    lapsed: bool,
}

/// Whose word on entries is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The log's, in this epoch of reading it.
    Log(u64),
    /// That of a peer in this life.
    Peer(u64),
}

/// What an entry that was set says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Setting {
    /// Nothing but that its endpoint lives.
    Same,
    /// The same as before it lapsed.
    Returned,
    /// That its endpoint is warming up again, and else the same.
    Warming,
    /// Something new.
    Changed,
    /// Something older than what is known: it is not taken.
    Older,
    /// Something that may be older than what was known: it waits.
    Doubted,
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
            restored: None,
            doubted: BTreeMap::new(),
            origin: None,
            gone: BTreeMap::new(),
            leaving: BTreeMap::new(),
        }
    }

    /// Takes in that the log was read.
    pub fn reached(&mut self, now: Moment) {
        let away = self.read.map(|read| since(now, read));
        // Endpoints whose entries lapsed had no time to write while it was away again.
        let lapsed = self.entries.values().any(|entry| entry.lapsed);
        let beats = if lapsed { 1 } else { BEATS };
        if away.is_some_and(|away| away >= self.heartbeat * beats) {
            self.back = Some(now);
        }
        self.read = Some(now);
    }

    /// Takes in who tells from now on. Whoever that is doesn't say again what another
    /// one would have said of entries that are doubted: they have to be told anew.
    pub fn hear(&mut self, origin: Origin) {
        if self.origin.replace(origin) != Some(origin) {
            self.doubted.clear();
        }
    }

    /// Takes in when it was heard that the log came back from a copy, which may lack
    /// the newest entries.
    pub fn restored(&mut self, at: Moment) {
        self.back = self.back.max(Some(at));
        self.restored = self.restored.max(Some(at));
    }

    /// Takes in an entry that a list of the log holds; returns what it says.
    pub fn listed(&mut self, registration: Registration, then: Moment) -> Setting {
        let known = self.entries.contains_key(&registration.endpoint.name);
        self.set_unless(!known, registration, then)
    }

    /// Takes in an entry that a peer told; returns what it says.
    pub fn told(&mut self, registration: Registration, then: Moment) -> Setting {
        let endpoint = &registration.endpoint;
        let gone = self.gone.get(&endpoint.name);
        let gone = gone.is_some_and(|(life, _)| *life == endpoint.incarnation);
        self.set_unless(gone, registration, then)
    }

    fn set_unless(&mut self, doubted: bool, registration: Registration, then: Moment) -> Setting {
        if doubted && self.doubts(then) {
            let name = registration.endpoint.name.clone();
            self.doubted.insert(name, registration);
            return Setting::Doubted;
        }
        self.set(registration, then)
    }

    // Whether the copy that the log came back from may hold entries that lapse yet.
    fn doubts(&self, now: Moment) -> bool {
        let time = self.heartbeat * DOUBTED_BEATS;
        self.restored.is_some_and(|at| now < at + time)
    }

    /// Returns the entries that nobody has removed while they were doubted, to be taken
    /// in now.
    pub fn take_believed(&mut self) -> Vec<Registration> {
        // Nothing lapses for who can't read the log.
        if self.read.is_none_or(|read| self.doubts(read)) {
            return Vec::new();
        }
        std::mem::take(&mut self.doubted).into_values().collect()
    }

    /// Takes in an entry that was told at `then`; returns what it says beside its
    /// heartbeat.
    pub fn set(&mut self, registration: Registration, then: Moment) -> Setting {
        let name = registration.endpoint.name.clone();
        self.doubted.remove(&name);
        if registration.endpoint.standing == Standing::Leaving {
            self.remember_leaving(&registration.life(), then);
        } else if self.was_leaving(&registration.life(), then) {
            return Setting::Older;
        }
        self.gone.remove(&name);
        let entry = Entry {
            warm_at: then + registration.warming,
            registration,
            lapsed: false,
        };
        match self.entries.get_mut(&name) {
            Some(known) if entry.registration.precedes(&known.registration) => Setting::Older,
            Some(known) if known.registration.same(&entry.registration) => {
                let again = entry.registration.warming > Duration::ZERO
                    && entry.warm_at > known.warm_at + self.heartbeat;
                // Each entry is older than it looks, so the earliest is right.
                known.warm_at = if again {
                    entry.warm_at
                } else {
                    known.warm_at.min(entry.warm_at)
                };
                let lapsed = std::mem::take(&mut known.lapsed);
                if again {
                    Setting::Warming
                } else if lapsed {
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

    /// Takes in that an endpoint says itself that it is leaving; returns what its entry
    /// says now if that is news.
    pub fn leaves(&mut self, life: &Life, now: Moment) -> Option<Registration> {
        self.remember_leaving(life, now);
        let entry = self.entries.get_mut(&life.name)?;
        let endpoint = &mut entry.registration.endpoint;
        if endpoint.incarnation != life.incarnation || endpoint.standing == Standing::Leaving {
            return None;
        }
        endpoint.standing = Standing::Leaving;
        Some(entry.registration.clone())
    }

    fn remember_leaving(&mut self, life: &Life, now: Moment) {
        self.leaving
            .retain(|_, (_, at)| since(now, *at) < LEAVING_REMEMBERED);
        let known = self.leaving.entry(life.name.clone()).or_default();
        *known = (life.incarnation.max(known.0), now);
    }

    // Whether a life was leaving, or an earlier one than one that was.
    fn was_leaving(&mut self, life: &Life, now: Moment) -> bool {
        let Some((leaving, at)) = self.leaving.get_mut(&life.name) else {
            return false;
        };
        let was = life.incarnation <= *leaving;
        if was {
            *at = now.max(*at);
        } else {
            self.leaving.remove(&life.name);
        }
        was
    }

    /// Takes in that an entry was removed.
    pub fn remove(&mut self, name: &str, now: Moment) -> Removal {
        let recent = self.back.is_some_and(|back| since(now, back) < GRACE);
        self.doubted.remove(name);
        let Some(entry) = self.entries.get_mut(name) else {
            return Removal::Unknown;
        };
        if recent && entry.registration.endpoint.standing == Standing::Live {
            entry.lapsed = true;
            return Removal::Kept;
        }
        self.end(name, now);
        Removal::Gone
    }

    // Drops an entry, and remembers the life that ended.
    fn end(&mut self, name: &str, now: Moment) {
        if let Some(entry) = self.entries.remove(name) {
            self.gone.retain(|_, (_, at)| since(now, *at) < REMEMBERED);
            let life = entry.registration.endpoint.incarnation;
            self.gone.insert(name.to_owned(), (life, now));
            // One that names no life can't be told from the next of its name.
            if life == UNNAMED {
                self.leaving.remove(name);
            }
        }
    }

    /// Drops an entry that a peer, who weighed it, says is gone; returns
    /// whether it was known.
    pub fn dismiss(&mut self, name: &str, now: Moment) -> bool {
        self.doubted.remove(name);
        let known = self.entries.contains_key(name);
        self.end(name, now);
        known
    }

    /// Drops lapsed entries whose time is over, by the last read of the log: with that
    /// away no endpoint can write. Returns their names.
    pub fn expire(&mut self, now: Moment) -> Vec<String> {
        let read = self.read.unwrap_or_default();
        let over = self.back.is_none_or(|back| read >= back + GRACE);
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
            self.end(name, now);
        }
        gone
    }

    /// Returns when each endpoint will have warmed up, of those that have not by `now`.
    pub fn warming(&self, now: Moment) -> impl Iterator<Item = (&Registration, Moment)> {
        let warming = self.entries.values().filter(move |one| one.warm_at > now);
        warming.map(|one| (&one.registration, one.warm_at))
    }

    /// Returns when an endpoint will have warmed up, or has.
    #[must_use]
    pub fn warm_at(&self, name: &str) -> Moment {
        self.entries
            .get(name)
            .map_or(Duration::ZERO, |entry| entry.warm_at)
    }

    /// Returns all endpoints known, leaving ones included.
    pub fn registrations(&self) -> impl Iterator<Item = &Registration> {
        self.entries.values().map(|entry| &entry.registration)
    }
}

#[cfg(test)]
mod tests;
