//! The endpoints that may get requests, built from the entries in the log.
//!
//! A removed entry is dropped at once, with one exception. While the log is unavailable,
//! endpoints can't renew their entries, and those expire although the endpoints are
//! alive. When the log returns, all of them appear removed, and an instance that dropped
//! them would refuse every request until they are written again. So entries that are
//! removed shortly after an outage that was long enough for them to expire are retained
//! for a grace period, and dropped if they are still missing after it. An entry that said
//! that its endpoint is leaving is never retained.
//!
//! An instance that asks a peer is told of entries that the peer retains. It retains them
//! as well only if its own knowledge was interrupted: otherwise the log could be read by
//! some instance all the time, only the peer could not, and the endpoint is gone.
//!
//! A log that was restored from a copy has lost the newest entries and serves older ones
//! until they are written again. Entries that it lacks count as expired. Entries of one
//! endpoint are ordered by their content: a later incarnation replaces an earlier one,
//! and a leaving endpoint does not become live again in the same incarnation. An unknown
//! entry that appears only in a list may belong to an endpoint that is gone. It stays
//! unconfirmed until the endpoint writes it again, or until the entries of silent
//! endpoints in the copy have expired. The same applies to an entry from a peer whose
//! endpoint was seen to be gone here.
//!
//! Endpoints also announce in their responses that they are leaving, which the log may
//! show late or never. Whatever the source of the announcement, a live entry of the same
//! incarnation is ignored, even if the endpoint was removed in between.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::id::{self, BuildId, Incarnation};
use serde::{Deserialize, Serialize};

/// How long expired entries are retained after the log returns. Live endpoints renew
/// theirs within two seconds of its return, which is noticed up to 0.6 s late. An
/// endpoint that really left must get no requests three seconds after it.
pub const EXPIRED_ENTRY_GRACE: Duration = Duration::from_millis(2_200);

/// The number of heartbeats for which the log has to be unavailable for entries to
/// expire. They expire after three heartbeats, and the last one may have been about to be
/// sent.
const MIN_OUTAGE_HEARTBEATS: u32 = 2;

/// The number of heartbeats after a restore from a copy during which the copy may hold
/// entries of endpoints that are gone: three until those expire, and one until that is
/// known here.
const UNCONFIRMED_HEARTBEATS: u32 = 4;

/// How long an endpoint that is gone is remembered: longer than the age of any copy of
/// the log.
const ENDED_RETENTION: Duration = Duration::from_mins(1);

/// How long a leaving incarnation is remembered after it was last mentioned: longer than
/// endpoints take to leave.
const LEAVING_RETENTION: Duration = Duration::from_mins(10);

/// The number of heartbeats for which a listed endpoint may have been silent: three until its
/// entry expires, three for an outage of the log that isn't told from slow reads, and one until
/// the removal is known here.
const LISTED_HEARTBEATS: u32 = 7;

/// The incarnation of an endpoint that doesn't name one.
const NO_INCARNATION: Incarnation = 0;

/// The known endpoints, and when the log could be read.
#[derive(Debug)]
pub struct Roster {
    heartbeat: Duration,
    entries: BTreeMap<String, Entry>,
    // When the log was first read, when it was last read, and when it was read again after an
    // outage in which entries may have expired.
    first_read: Option<Moment>,
    last_read: Option<Moment>,
    recovered_at: Option<Moment>,
    // When knowledge of the log was last renewed, and when that ended an interruption in
    // which entries may have expired.
    renewed_at: Option<Moment>,
    interrupted_until: Option<Moment>,
    // When the last read was sent after which everything in the log was known.
    last_complete_read: Option<Moment>,
    // When this instance learned that the log was restored from a copy.
    restored_at: Option<Moment>,
    // Entries whose endpoints may be gone.
    unconfirmed: BTreeMap<String, Registration>,
    origin: Option<Origin>,
    // Incarnations that ended recently, and when.
    ended: BTreeMap<String, (Incarnation, Moment)>,
    // Incarnations that are leaving, and when they were last mentioned.
    leaving: BTreeMap<String, (Incarnation, Moment)>,
}

/// One incarnation of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointIncarnation {
    /// The endpoint's name.
    pub name: String,
    /// The number of the incarnation.
    pub incarnation: Incarnation,
}

/// An endpoint's entry, as written by the endpoint itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The endpoint's identity and address, and whether it may get new work.
    pub endpoint: Endpoint,
    /// How many requests it runs at once.
    pub slots: u32,
    /// The remaining warm-up time as of when this entry is sent.
    pub warming: Duration,
    /// The build of its software; empty if the entry names none, which is a build of its own.
    pub build: String,
    /// When it started, by its own clock; `None` if the entry doesn't say.
    pub started_at: Option<SystemTime>,
}

impl Registration {
    /// Returns the id of its build.
    #[must_use]
    pub fn build_id(&self) -> BuildId {
        id::from_name(&self.build)
    }

    /// Returns the incarnation that this entry belongs to.
    #[must_use]
    pub fn endpoint_incarnation(&self) -> EndpointIncarnation {
        EndpointIncarnation {
            name: self.endpoint.name.clone(),
            incarnation: self.endpoint.incarnation,
        }
    }

    // Returns whether the entries are equal apart from the warm-up time.
    fn same_except_warming(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && self.slots == other.slots && self.build == other.build
    }

    // Returns whether this entry is older than another one of the same endpoint.
    fn is_older_than(&self, other: &Self) -> bool {
        let (own, other) = (&self.endpoint, &other.endpoint);
        let undoes_leaving = own.standing == Standing::Live && other.standing == Standing::Leaving;
        own.incarnation < other.incarnation
            || (own.incarnation == other.incarnation && undoes_leaving)
    }
}

#[derive(Debug)]
struct Entry {
    // Shared with the view and the replica: a fleet has thousands of these.
    registration: Arc<Registration>,
    // The time at which the endpoint has warmed up.
    warm_at: Moment,
    expired: bool,
}

/// The source of entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The log, in this epoch of reading it.
    Log(u64),
    /// A peer in this incarnation.
    Peer(u64),
}

/// The outcome of applying an entry to the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetResult {
    /// Only the heartbeat is new.
    Unchanged,
    /// An expired entry is back unchanged.
    Renewed,
    /// The endpoint is warming up again; the rest is unchanged.
    WarmingAgain,
    /// The endpoint is new or its entry changed.
    Changed,
    /// The entry is older than the known one and was ignored.
    Older,
    /// The entry may be older than one known before; it is set aside as unconfirmed.
    Doubted,
}

/// The outcome of a removal in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemoveResult {
    /// The entry was dropped.
    Removed,
    /// The entry may only have expired; it is retained for the grace period.
    Retained,
    /// There was no such entry, or it is retained already.
    Unknown,
}

impl Roster {
    /// Returns an empty roster for endpoints with this heartbeat interval.
    #[must_use]
    pub const fn new(heartbeat: Duration) -> Self {
        Self {
            heartbeat,
            entries: BTreeMap::new(),
            first_read: None,
            last_read: None,
            recovered_at: None,
            renewed_at: None,
            interrupted_until: None,
            last_complete_read: None,
            restored_at: None,
            unconfirmed: BTreeMap::new(),
            origin: None,
            ended: BTreeMap::new(),
            leaving: BTreeMap::new(),
        }
    }

    /// Records that what is known at `now` is as of a read of the log at `read_at`, by this
    /// instance or by the peer that it asks.
    pub fn record_renewal(&mut self, read_at: Moment, now: Moment) {
        if self.last_read.is_none_or(|last| read_at > last) {
            let since_read = self.last_read.map(|last| since(read_at, last));
            let since_renewal = self.renewed_at.map(|last| since(now, last));
            // A peer's reads and its answers come with delays, so an interruption that
            // was long enough for the peer may look shorter here.
            if since_read.max(since_renewal) >= Some(self.heartbeat) {
                self.interrupted_until = Some(now);
            }
            self.renewed_at = Some(now);
        }
        self.record_read(read_at);
    }

    /// Records that the log was read.
    pub fn record_read(&mut self, now: Moment) {
        let outage = self.last_read.map(|read| since(now, read));
        // Endpoints with expired entries may have had no time to write them again before
        // a further outage, so one heartbeat is enough.
        let expired = self.entries.values().any(|entry| entry.expired);
        let heartbeats = if expired { 1 } else { MIN_OUTAGE_HEARTBEATS };
        if outage.is_some_and(|outage| outage >= self.heartbeat * heartbeats) {
            self.recovered_at = Some(now);
        }
        self.first_read.get_or_insert(now);
        self.last_read = Some(now);
    }

    /// Records that everything in the log is known as of a read sent at `sent_at`.
    pub fn record_complete_read(&mut self, sent_at: Moment) {
        self.last_complete_read = self.last_complete_read.max(Some(sent_at));
    }

    /// Sets the source of entries from now on. A new source doesn't repeat what the
    /// previous one would have said about unconfirmed entries, so those have to be
    /// received again.
    pub fn set_origin(&mut self, origin: Origin) {
        if self.origin.replace(origin) != Some(origin) {
            self.unconfirmed.clear();
        }
    }

    /// Records when this instance learned that the log was restored from a copy, which
    /// may lack the newest entries.
    pub fn record_restore(&mut self, at: Moment) {
        self.recovered_at = self.recovered_at.max(Some(at));
        self.restored_at = self.restored_at.max(Some(at));
    }

    /// Applies an entry from a list of the log.
    pub fn apply_listed(&mut self, registration: Registration, received_at: Moment) -> SetResult {
        let known = self.entries.contains_key(&registration.endpoint.name);
        self.apply_unless(!known, registration, received_at)
    }

    /// Applies an entry from a peer.
    pub fn apply_from_peer(
        &mut self,
        registration: Registration,
        received_at: Moment,
    ) -> SetResult {
        let endpoint = &registration.endpoint;
        let ended = self.ended.get(&endpoint.name);
        let was_removed =
            ended.is_some_and(|(incarnation, _)| *incarnation == endpoint.incarnation);
        self.apply_unless(was_removed, registration, received_at)
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

    // Returns whether the copy that the log was restored from may still hold entries that
    // have yet to expire.
    fn may_be_stale(&self, now: Moment) -> bool {
        let time = self.heartbeat * UNCONFIRMED_HEARTBEATS;
        self.restored_at.is_some_and(|at| now < at + time)
    }

    /// Takes the unconfirmed entries that were not removed in the meantime, to be applied
    /// now that the stale entries of the copy have expired. Returns none before.
    pub fn take_unconfirmed(&mut self) -> Vec<Registration> {
        // Expirations can't be seen while the log can't be read, and may be among what is
        // still to be read after an outage.
        let read = self.last_complete_read;
        if read.is_none_or(|read| self.may_be_stale(read)) {
            return Vec::new();
        }
        std::mem::take(&mut self.unconfirmed)
            .into_values()
            .collect()
    }

    /// Applies an entry received at `received_at`.
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
            warm_at: received_at.saturating_add(registration.warming),
            registration: Arc::new(registration),
            expired: false,
        };
        match self.entries.get_mut(&name) {
            Some(known) if entry.registration.is_older_than(&known.registration) => {
                SetResult::Older
            }
            Some(known) if known.registration.same_except_warming(&entry.registration) => {
                let warms_again = entry.registration.warming > Duration::ZERO
                    && entry.warm_at > known.warm_at.saturating_add(self.heartbeat);
                // Every entry is older than its time of receipt, so the earliest time is
                // the most accurate.
                known.warm_at = if warms_again {
                    entry.warm_at
                } else {
                    known.warm_at.min(entry.warm_at)
                };
                let expired = std::mem::take(&mut known.expired);
                if warms_again {
                    SetResult::WarmingAgain
                } else if expired {
                    SetResult::Renewed
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

    /// Records that an endpoint itself announced that it is leaving; returns its updated
    /// entry if that changed.
    pub fn mark_leaving(
        &mut self,
        id: &EndpointIncarnation,
        now: Moment,
    ) -> Option<Arc<Registration>> {
        self.record_leaving(id, now);
        let entry = self.entries.get_mut(&id.name)?;
        let endpoint = &entry.registration.endpoint;
        if endpoint.incarnation != id.incarnation || endpoint.standing == Standing::Leaving {
            return None;
        }
        Arc::make_mut(&mut entry.registration).endpoint.standing = Standing::Leaving;
        Some(Arc::clone(&entry.registration))
    }

    fn record_leaving(&mut self, id: &EndpointIncarnation, now: Moment) {
        self.leaving
            .retain(|_, (_, at)| since(now, *at) < LEAVING_RETENTION);
        let known = self.leaving.entry(id.name.clone()).or_default();
        *known = (id.incarnation.max(known.0), now);
    }

    // Returns whether this incarnation, or a later one, is known to be leaving.
    fn is_known_leaving(&mut self, id: &EndpointIncarnation, now: Moment) -> bool {
        let Some((leaving, at)) = self.leaving.get_mut(&id.name) else {
            return false;
        };
        let is_leaving = id.incarnation <= *leaving;
        if is_leaving {
            *at = now.max(*at);
        } else {
            self.leaving.remove(&id.name);
        }
        is_leaving
    }

    /// Handles the removal of an entry from the log.
    pub fn remove(&mut self, name: &str, now: Moment) -> RemoveResult {
        let recent = self
            .recovered_at
            .is_some_and(|recovered_at| since(now, recovered_at) < EXPIRED_ENTRY_GRACE);
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

    /// Handles the word of a peer that it retains an expired entry.
    pub fn expire(&mut self, name: &str, now: Moment) -> RemoveResult {
        let Some(entry) = self.entries.get_mut(name).filter(|entry| !entry.expired) else {
            return RemoveResult::Unknown;
        };
        let interrupted = self
            .interrupted_until
            .filter(|until| since(now, *until) < EXPIRED_ENTRY_GRACE);
        if interrupted.is_none() {
            self.remove_entry(name, now);
            return RemoveResult::Removed;
        }
        entry.expired = true;
        self.recovered_at = self.recovered_at.max(interrupted);
        RemoveResult::Retained
    }

    // Drops an entry and remembers the incarnation that ended.
    fn remove_entry(&mut self, name: &str, now: Moment) {
        if let Some(entry) = self.entries.remove(name) {
            self.ended
                .retain(|_, (_, at)| since(now, *at) < ENDED_RETENTION);
            let incarnation = entry.registration.endpoint.incarnation;
            self.ended.insert(name.to_owned(), (incarnation, now));
            // Without an incarnation, the next run of the endpoint would count as the one
            // that left.
            if incarnation == NO_INCARNATION {
                self.leaving.remove(name);
            }
        }
    }

    /// Drops an entry that a peer reports as gone, after the peer's own checks; returns
    /// whether it was known.
    pub fn remove_confirmed(&mut self, name: &str, now: Moment) -> bool {
        self.unconfirmed.remove(name);
        let known = self.entries.contains_key(name);
        self.remove_entry(name, now);
        known
    }

    /// Drops expired entries whose grace period is over and returns their names. The
    /// period is measured up to the last read of the log, since endpoints can't write
    /// while it is unavailable.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<String> {
        let read = self.last_read.unwrap_or_default();
        let grace_is_over = self
            .recovered_at
            .is_none_or(|recovered_at| read >= recovered_at + EXPIRED_ENTRY_GRACE);
        if !grace_is_over {
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

    /// Returns the endpoints that are still warming up at `now`, and when each has warmed
    /// up.
    pub fn warming(&self, now: Moment) -> impl Iterator<Item = (&Registration, Moment)> {
        let warming = self.entries.values().filter(move |one| one.warm_at > now);
        warming.map(|one| (&*one.registration, one.warm_at))
    }

    /// Returns when an endpoint has warmed up, which may be in the past.
    #[must_use]
    pub fn warm_at(&self, name: &str) -> Moment {
        self.entries
            .get(name)
            .map_or(Duration::ZERO, |entry| entry.warm_at)
    }

    /// Returns an endpoint's entry, if it is known.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Registration>> {
        self.entries.get(name).map(|entry| &entry.registration)
    }

    /// Returns the latest moment at which the endpoints of [`Self::running`] are known to have
    /// run, if there is one.
    ///
    /// An endpoint that ended is listed until its entry expires, and for as much longer as the
    /// log was away.
    #[must_use]
    pub fn running_at(&self) -> Option<Moment> {
        let read = self.last_complete_read?;
        let running_at = read.checked_sub(self.heartbeat * LISTED_HEARTBEATS)?;
        let followed_since = self
            .first_read
            .max(self.recovered_at)
            .max(self.restored_at)?;
        (followed_since <= running_at).then_some(running_at)
    }

    /// Returns the listed endpoints that would have another id if they had started again.
    pub fn running(&self) -> impl Iterator<Item = &Arc<Registration>> {
        let listed = self.entries.values().filter(|entry| !entry.expired);
        let listed = listed.map(|entry| &entry.registration);
        listed.filter(|one| one.endpoint.incarnation != NO_INCARNATION)
    }

    /// Returns all known endpoints, including those that are leaving.
    pub fn registrations(&self) -> impl Iterator<Item = &Arc<Registration>> {
        self.entries.values().map(|entry| &entry.registration)
    }
}

#[cfg(test)]
mod tests;
