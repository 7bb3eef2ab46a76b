//! The endpoints of a replica, by name and by the revision of their last change.

use std::collections::BTreeMap;
use std::sync::Arc;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::Standing;
use godwitpost_types::{hash, id};

use crate::roster::Registration;

/// How many removed endpoints are remembered at least. With more endpoints, as many are
/// remembered as there are endpoints: the list of all is then no longer than the changes.
pub(super) const MIN_REMOVED_ENDPOINTS: usize = 1_000;

/// The number of buckets that endpoints are divided into by name. Two replicas of ten
/// thousand endpoints that differ in one of them exchange the twenty of its bucket, found
/// by digests that take a three-hundredth of the list.
const BUCKETS: u16 = 512;

/// Returns the bucket of the endpoint with this name.
#[must_use]
pub fn bucket_of(name: &str) -> u16 {
    u16::try_from(id::from_name(name) % u64::from(BUCKETS)).unwrap_or(0)
}

/// One endpoint.
#[derive(Debug)]
pub(super) struct Entry {
    revision: u64,
    bucket: u16,
    digest: u64,
    // `None` once the endpoint is gone.
    registration: Option<Arc<Registration>>,
    // The time at which the endpoint has warmed up.
    warm_at: Moment,
    expired: bool,
}

impl Entry {
    /// Returns the registration as of `now`, unless it expired or the endpoint is gone.
    pub(super) fn registration_at(&self, now: Moment) -> Option<Registration> {
        let registration = self.registration.as_ref().filter(|_| !self.expired)?;
        let warming = since(self.warm_at, now);
        Some(Registration {
            warming,
            ..Registration::clone(registration)
        })
    }

    /// Returns whether the entry expired, but the endpoint may not be gone.
    pub(super) const fn has_expired(&self) -> bool {
        self.expired && self.registration.is_some()
    }

    /// Returns whether the endpoint is gone.
    pub(super) const fn is_removed(&self) -> bool {
        self.registration.is_none()
    }

    // Returns the entry's part of the digest of all endpoints.
    fn share_of_digest(&self) -> u64 {
        if self.is_removed() {
            0
        } else {
            hash::score(self.digest, u64::from(self.expired))
        }
    }
}

/// All endpoints of a replica.
#[derive(Debug)]
pub(super) struct Endpoints {
    entries: BTreeMap<Arc<str>, Entry>,
    // The names of the entries by revision. What changed after a revision is found without
    // a look at anything else.
    names: BTreeMap<u64, Arc<str>>,
    // The revisions of entries of endpoints that are gone.
    removed: BTreeMap<u64, Arc<str>>,
    // The digest of the current endpoints in each bucket.
    digests: Vec<u64>,
    pruned_revision: u64,
}

/// The changes after a revision, up to another one.
#[derive(Debug)]
pub(super) struct Changes<'a> {
    /// The changed entries and their names, in the order of their changes.
    pub(super) entries: Vec<(&'a str, &'a Entry)>,
    /// The revision of the last one, if later changes are left out.
    pub(super) cut_at: Option<u64>,
}

impl Endpoints {
    /// Returns no endpoints.
    pub(super) fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            names: BTreeMap::new(),
            removed: BTreeMap::new(),
            digests: vec![0; usize::from(BUCKETS)],
            pruned_revision: 0,
        }
    }

    /// Adds or replaces an endpoint. Returns the revision of the entry that it replaces.
    pub(super) fn set(
        &mut self,
        registration: Arc<Registration>,
        warm_at: Moment,
        revision: u64,
    ) -> Option<u64> {
        let name: Arc<str> = Arc::from(registration.endpoint.name.as_str());
        let entry = Entry {
            revision,
            bucket: bucket_of(&name),
            digest: digest(&registration),
            registration: Some(registration),
            warm_at,
            expired: false,
        };
        mix(&mut self.digests, &entry);
        self.names.insert(revision, Arc::clone(&name));
        let before = self.entries.insert(name, entry)?;
        mix(&mut self.digests, &before);
        self.forget(before.revision);
        Some(before.revision)
    }

    /// Marks an endpoint's entry as expired. Returns its revision before, if it is known.
    pub(super) fn mark_expired(&mut self, name: &str, revision: u64) -> Option<u64> {
        self.change(name, revision, |entry| entry.expired = true)
    }

    /// Records that an endpoint is gone. Returns its revision before, if it is known.
    pub(super) fn remove(&mut self, name: &str, revision: u64) -> Option<u64> {
        let before = self.change(name, revision, |entry| entry.registration = None)?;
        if let Some(name) = self.names.get(&revision) {
            self.removed.insert(revision, Arc::clone(name));
        }
        self.prune_removed();
        Some(before)
    }

    // Changes a known entry at a revision. Returns its revision before.
    fn change(&mut self, name: &str, revision: u64, change: fn(&mut Entry)) -> Option<u64> {
        let entry = self.entries.get_mut(name)?;
        let before = std::mem::replace(&mut entry.revision, revision);
        mix(&mut self.digests, entry);
        change(entry);
        mix(&mut self.digests, entry);
        if let Some(name) = self.names.remove(&before) {
            self.names.insert(revision, name);
        }
        self.removed.remove(&before);
        Some(before)
    }

    fn forget(&mut self, revision: u64) {
        self.names.remove(&revision);
        self.removed.remove(&revision);
    }

    fn prune_removed(&mut self) {
        let present = self.entries.len() - self.removed.len();
        while self.removed.len() > present.max(MIN_REMOVED_ENDPOINTS)
            && let Some((revision, name)) = self.removed.pop_first()
        {
            self.names.remove(&revision);
            self.entries.remove(&name);
            self.pruned_revision = revision;
        }
    }

    /// Returns the names of the current endpoints.
    pub(super) fn current_names(&self) -> impl Iterator<Item = &str> {
        let current = self.entries.iter().filter(|(_, entry)| !entry.is_removed());
        current.map(|(name, _)| &**name)
    }

    /// Returns a digest of the current endpoints in each bucket, expired ones included.
    pub(super) fn digests(&self) -> &[u64] {
        &self.digests
    }

    /// Returns the buckets whose digest is not the one given; `None` if the digests are
    /// those of another division.
    pub(super) fn differing_buckets(&self, digests: &[u64]) -> Option<Vec<u16>> {
        if digests.len() != self.digests.len() {
            return None;
        }
        let pairs = (0..).zip(self.digests.iter().zip(digests));
        let differing = pairs.filter(|(_, (own, other))| own != other);
        Some(differing.map(|(bucket, _)| bucket).collect())
    }

    /// Returns the current endpoints in some buckets, which are in ascending order.
    pub(super) fn in_buckets(&self, buckets: &[u16]) -> Vec<(&str, &Entry)> {
        let named = self.entries.iter().map(|(name, entry)| (&**name, entry));
        named
            .filter(|(_, entry)| !entry.is_removed())
            .filter(|(_, entry)| buckets.binary_search(&entry.bucket).is_ok())
            .collect()
    }

    /// Returns the revision of the latest change.
    pub(super) fn last_change(&self) -> u64 {
        self.names.last_key_value().map_or(0, |(last, _)| *last)
    }

    /// Returns the revision of the latest removal that is no longer remembered.
    pub(super) const fn pruned_revision(&self) -> u64 {
        self.pruned_revision
    }

    /// Returns whether there are more changes than `limit` after a revision.
    pub(super) fn has_more_after(&self, revision: u64, limit: usize) -> bool {
        let mut later = self.names.range(revision.saturating_add(1)..);
        later.nth(limit).is_some()
    }

    /// Returns up to `limit` changes after a revision.
    pub(super) fn changes_after(&self, revision: u64, limit: usize) -> Changes<'_> {
        let mut later = self.names.range(revision.saturating_add(1)..);
        let mut last = revision;
        let mut entries = Vec::new();
        for (at, name) in later.by_ref().take(limit) {
            last = *at;
            if let Some(entry) = self.entries.get(name) {
                entries.push((&**name, entry));
            }
        }
        let cut_at = later.next().map(|_| last);
        Changes { entries, cut_at }
    }
}

// Adds an entry to the digest of its bucket, or removes it again.
fn mix(digests: &mut [u64], entry: &Entry) {
    if let Some(digest) = digests.get_mut(usize::from(entry.bucket)) {
        *digest ^= entry.share_of_digest();
    }
}

// Returns a digest of what an endpoint's entry says, apart from the warm-up time.
fn digest(registration: &Registration) -> u64 {
    let Registration {
        endpoint,
        slots,
        build,
        ..
    } = registration;
    let identity = [
        endpoint.incarnation,
        endpoint.service,
        endpoint.zone,
        endpoint.region,
        id::from_name(&endpoint.address.to_string()),
        u64::from(endpoint.standing == Standing::Live),
        u64::from(*slots),
        id::from_name(build),
    ];
    let parts = identity.into_iter().chain(endpoint.models.iter().copied());
    parts.fold(endpoint.id, hash::score)
}
