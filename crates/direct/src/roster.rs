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
pub const EXPIRED_ENTRY_GRACE: Duration = Duration::from_millis(2_200);

/// Heartbeats for which the log has to be away for entries to lapse: they
/// lapse after three, of which the last may just not have been sent.
const MIN_ABSENCE_HEARTBEATS: u32 = 2;

/// Heartbeats after a log came back from a copy in which the copy may hold entries of
/// endpoints that are gone: three until those lapse, and one until that is heard of.
const UNCONFIRMED_HEARTBEATS: u32 = 4;

/// How long an endpoint that is gone is remembered: more than a copy of the log is old.
const ENDED_RETENTION: Duration = Duration::from_mins(1);

/// How long it is remembered that a life was leaving, since anything was last said of it:
/// more than endpoints take to leave.
const LEAVING_RETENTION: Duration = Duration::from_mins(10);

/// The life of an endpoint that doesn't say which one it is in.
const NO_INCARNATION: Incarnation = 0;

/// The endpoints known, and how the log has been reached.
#[derive(Debug)]
pub struct Roster {
    heartbeat: Duration,
    entries: BTreeMap<String, Entry>,
    // When the log was last read, and since when it could be again after an
    // absence in which entries may have lapsed.
    last_read: Option<Moment>,
    recovered_at: Option<Moment>,
    // When it was heard that the log came back from a copy.
    restored_at: Option<Moment>,
    // Entries that may be of endpoints that are gone.
    unconfirmed: BTreeMap<String, Registration>,
    origin: Option<Origin>,
    // Lives that ended lately, and when.
    ended: BTreeMap<String, (Incarnation, Moment)>,
    // Lives that are leaving, and when anything was last said of them.
    leaving: BTreeMap<String, (Incarnation, Moment)>,
}

/// One life of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointIncarnation {
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
    pub fn endpoint_incarnation(&self) -> EndpointIncarnation {
        EndpointIncarnation {
            name: self.endpoint.name.clone(),
            incarnation: self.endpoint.incarnation,
        }
    }

    // Whether it says the same but for its warming up.
    fn same_except_warming(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && self.slots == other.slots
    }

    // Whether it was said before the other by an endpoint of the same name.
    fn is_older_than(&self, other: &Self) -> bool {
        let (own, other) = (&self.endpoint, &other.endpoint);
        let undoes_leaving = own.standing == Standing::Live && other.standing == Standing::Leaving;
        own.incarnation < other.incarnation
            || (own.incarnation == other.incarnation && undoes_leaving)
    }
}

#[derive(Debug)]
struct Entry {
    registration: Registration,
    // When it will have warmed up.
    warm_at: Moment,
    expired: bool,
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
pub enum SetResult {
    /// Nothing but that its endpoint lives.
    Unchanged,
    /// The same as before it lapsed.
    Restored,
    /// That its endpoint is warming up again, and else the same.
    WarmingAgain,
    /// Something new.
    Changed,
    /// Something older than what is known: it is not taken.
    Older,
    /// Something that may be older than what was known: it waits.
    Doubted,
}

/// What became of an entry that the log removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemoveResult {
    /// It is gone.
    Removed,
    /// It may have lapsed only; it is kept for a while.
    Retained,
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
            last_read: None,
            recovered_at: None,
            restored_at: None,
            unconfirmed: BTreeMap::new(),
            origin: None,
            ended: BTreeMap::new(),
            leaving: BTreeMap::new(),
        }
    }

    /// Takes in that the log was read.
    pub fn record_read(&mut self, now: Moment) {
        let away = self.last_read.map(|read| since(now, read));
        // Endpoints whose entries lapsed had no time to write while it was away again.
        let expired = self.entries.values().any(|entry| entry.expired);
        let heartbeats = if expired { 1 } else { MIN_ABSENCE_HEARTBEATS };
        if away.is_some_and(|away| away >= self.heartbeat * heartbeats) {
            self.recovered_at = Some(now);
        }
        self.last_read = Some(now);
    }

    /// Takes in who tells from now on. Whoever that is doesn't say again what another
    /// one would have said of entries that are doubted: they have to be told anew.
    pub fn set_origin(&mut self, origin: Origin) {
        if self.origin.replace(origin) != Some(origin) {
            self.unconfirmed.clear();
        }
    }

    /// Takes in when it was heard that the log came back from a copy, which may lack
    /// the newest entries.
    pub fn record_restore(&mut self, at: Moment) {
        self.recovered_at = self.recovered_at.max(Some(at));
        self.restored_at = self.restored_at.max(Some(at));
    }

    /// Takes in an entry that a list of the log holds; returns what it says.
    pub fn apply_listed(&mut self, registration: Registration, received_at: Moment) -> SetResult {
        let known = self.entries.contains_key(&registration.endpoint.name);
        self.apply_unless(!known, registration, received_at)
    }

    /// Takes in an entry that a peer told; returns what it says.
    pub fn apply_from_peer(
        &mut self,
        registration: Registration,
        received_at: Moment,
    ) -> SetResult {
        let endpoint = &registration.endpoint;
        let gone = self.ended.get(&endpoint.name);
        let gone = gone.is_some_and(|(life, _)| *life == endpoint.incarnation);
        self.apply_unless(gone, registration, received_at)
    }

    fn apply_unless(
        &mut self,
        unconfirmed: bool,
        registration: Registration,
        received_at: Moment,
    ) -> SetResult {
        if unconfirmed && self.may_be_stale(received_at) {
            let name = registration.endpoint.name.clone();
            self.unconfirmed.insert(name, registration);
            return SetResult::Doubted;
        }
        self.apply(registration, received_at)
    }

    // Whether the copy that the log came back from may hold entries that lapse yet.
    fn may_be_stale(&self, now: Moment) -> bool {
        let time = self.heartbeat * UNCONFIRMED_HEARTBEATS;
        self.restored_at.is_some_and(|at| now < at + time)
    }

    /// Returns the entries that nobody has removed while they were doubted, to be taken
    /// in now.
    pub fn take_unconfirmed(&mut self) -> Vec<Registration> {
        // Nothing lapses for who can't read the log.
        if self.last_read.is_none_or(|read| self.may_be_stale(read)) {
            return Vec::new();
        }
        std::mem::take(&mut self.unconfirmed)
            .into_values()
            .collect()
    }

    /// Takes in an entry that was told at `then`; returns what it says beside its
    /// heartbeat.
    pub fn apply(&mut self, registration: Registration, received_at: Moment) -> SetResult {
        let name = registration.endpoint.name.clone();
        self.unconfirmed.remove(&name);
        if registration.endpoint.standing == Standing::Leaving {
            self.record_leaving(&registration.endpoint_incarnation(), received_at);
        } else if self.is_known_leaving(&registration.endpoint_incarnation(), received_at) {
            return SetResult::Older;
        }
        self.ended.remove(&name);
        let entry = Entry {
            warm_at: received_at + registration.warming,
            registration,
            expired: false,
        };
        match self.entries.get_mut(&name) {
            Some(known) if entry.registration.is_older_than(&known.registration) => {
                SetResult::Older
            }
            Some(known) if known.registration.same_except_warming(&entry.registration) => {
                let again = entry.registration.warming > Duration::ZERO
                    && entry.warm_at > known.warm_at + self.heartbeat;
                // Each entry is older than it looks, so the earliest is right.
                known.warm_at = if again {
                    entry.warm_at
                } else {
                    known.warm_at.min(entry.warm_at)
                };
                let expired = std::mem::take(&mut known.expired);
                if again {
                    SetResult::WarmingAgain
                } else if expired {
                    SetResult::Restored
                } else {
                    SetResult::Unchanged
                }
            }
            Some(known) => {
                *known = entry;
                SetResult::Changed
            }
            None => {
                self.entries.insert(name, entry);
                SetResult::Changed
            }
        }
    }

    /// Takes in that an endpoint says itself that it is leaving; returns what its entry
    /// says now if that is news.
    pub fn mark_leaving(
        &mut self,
        life: &EndpointIncarnation,
        now: Moment,
    ) -> Option<Registration> {
        self.record_leaving(life, now);
        let entry = self.entries.get_mut(&life.name)?;
        let endpoint = &mut entry.registration.endpoint;
        if endpoint.incarnation != life.incarnation || endpoint.standing == Standing::Leaving {
            return None;
        }
        endpoint.standing = Standing::Leaving;
        Some(entry.registration.clone())
    }

    fn record_leaving(&mut self, life: &EndpointIncarnation, now: Moment) {
        self.leaving
            .retain(|_, (_, at)| since(now, *at) < LEAVING_RETENTION);
        let known = self.leaving.entry(life.name.clone()).or_default();
        *known = (life.incarnation.max(known.0), now);
    }

    // Whether a life was leaving, or an earlier one than one that was.
    fn is_known_leaving(&mut self, life: &EndpointIncarnation, now: Moment) -> bool {
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
    pub fn remove(&mut self, name: &str, now: Moment) -> RemoveResult {
        let recent = self
            .recovered_at
            .is_some_and(|back| since(now, back) < EXPIRED_ENTRY_GRACE);
        self.unconfirmed.remove(name);
        let Some(entry) = self.entries.get_mut(name) else {
            return RemoveResult::Unknown;
        };
        if recent && entry.registration.endpoint.standing == Standing::Live {
            entry.expired = true;
            return RemoveResult::Retained;
        }
        self.remove_entry(name, now);
        RemoveResult::Removed
    }

    // Drops an entry, and remembers the life that ended.
    fn remove_entry(&mut self, name: &str, now: Moment) {
        if let Some(entry) = self.entries.remove(name) {
            self.ended
                .retain(|_, (_, at)| since(now, *at) < ENDED_RETENTION);
            let life = entry.registration.endpoint.incarnation;
            self.ended.insert(name.to_owned(), (life, now));
            // One that names no life can't be told from the next of its name.
            if life == NO_INCARNATION {
                self.leaving.remove(name);
            }
        }
    }

    /// Drops an entry that a peer, who weighed it, says is gone; returns
    /// whether it was known.
    pub fn remove_confirmed(&mut self, name: &str, now: Moment) -> bool {
        self.unconfirmed.remove(name);
        let known = self.entries.contains_key(name);
        self.remove_entry(name, now);
        known
    }

    /// Drops lapsed entries whose time is over, by the last read of the log: with that
    /// away no endpoint can write. Returns their names.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<String> {
        let read = self.last_read.unwrap_or_default();
        let over = self
            .recovered_at
            .is_none_or(|back| read >= back + EXPIRED_ENTRY_GRACE);
        if !over {
            return Vec::new();
        }
        let ended: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.expired)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &ended {
            self.remove_entry(name, now);
        }
        ended
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
