//! An instance's replica of the log, from which it answers its peers.
//!
//! Reading the log costs the platform a call, and a fleet of hundreds would make hundreds
//! of calls a second for the same content. So a few instances read the log, and the
//! others poll one of those. Every update carries the age of its content: the time since
//! the *request* for the underlying read was sent. An age only grows on the way, so a
//! recipient can compute its own lease from it, and an instance that lost the log is
//! recognized by the ages it reports.
//!
//! Every change gets a revision number. A peer that names the last revision it received
//! gets only what changed after it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::Standing;
use godwitpost_types::id::{Era, Version};
use godwitpost_types::{hash, id};
use serde::{Deserialize, Serialize};

use crate::crashes::{Evidence, ForwardedEvidence};
use crate::evacuation::Evacuation;
use crate::holders::{self, PrefixHolder};
use crate::policy::Content;
use crate::roster::Registration;
use crate::source::Position;
use crate::stats::Load;

/// How many removed endpoints are remembered. A peer whose revision is older than the
/// oldest of them gets the full state.
const MAX_REMOVED_ENDPOINTS: usize = 1_000;

/// How much evidence is retained for peers. An endpoint that ends leaves up to a hundred
/// pieces, and each peer polls every second or two.
const MAX_EVIDENCE: usize = 1_000;

/// How many holders of prompt prefixes are retained for peers: those of some seconds in a
/// fleet of hundreds, of a minute in a fleet of ten.
const MAX_HOLDERS: usize = 2_000;

/// A peer's request for an update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateRequest {
    /// The incarnation of the instance that assigned `revision`; 0 for none.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The last revision that the peer received.
    #[serde(rename = "stamp")]
    pub revision: u64,
    /// The digest of the endpoints that the peer knows, if it has no revision; otherwise
    /// 0.
    pub digest: u64,
    /// The address at which the peer itself can be polled.
    #[serde(rename = "own")]
    pub peer_address: Option<SocketAddr>,
    /// The policy version in force at the peer.
    pub version: Version,
    /// The position in the operator's topic up to which the peer knows the evacuated
    /// zones.
    pub evacuation: Position,
    /// How long to wait for a change before answering.
    pub wait: Duration,
    /// Loads that endpoints reported to the peer since its last request.
    pub loads: Vec<Load>,
    /// Endpoints that the peer found to hold prompt prefixes.
    #[serde(rename = "held")]
    pub holders: Vec<PrefixHolder>,
}

/// The answer to an [`UpdateRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The incarnation of the answering instance.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The revision to send with the next request.
    #[serde(rename = "stamp")]
    pub revision: u64,
    /// The log's era as far as the answering instance knows it; 0 if none was named.
    pub era: Era,
    /// How long ago the answering instance learned that the log was restored from a copy,
    /// if it was.
    pub restored: Option<Duration>,
    /// How long the answer was delayed while waiting for a change.
    pub waited: Duration,
    /// The policy version that was read last; 0 if there is none.
    pub version: Version,
    /// The age of the policy; `None` if it was never read. A read that found no policy,
    /// because the operator has not written one yet, counts.
    pub policy_age: Option<Duration>,
    /// The age of the list of endpoints; `None` if it was never read.
    pub endpoints_age: Option<Duration>,
    /// The policy, if it is newer than the peer's.
    pub policy: Option<Content>,
    /// The evacuated zones, if they are newer than the peer's.
    pub evacuation: Option<Evacuation>,
    /// Whether `set` is the full list, so that endpoints it doesn't name are gone.
    #[serde(rename = "whole")]
    pub full: bool,
    /// Endpoints that were added or changed.
    pub set: Vec<Registration>,
    /// Endpoints whose entries expired while the answering instance couldn't read the
    /// log. They may have left: a recipient that knows them keeps them until a later
    /// update, and one that doesn't must not add them.
    #[serde(rename = "lapsed")]
    pub expired: Vec<String>,
    /// Endpoints that are gone.
    #[serde(rename = "gone")]
    pub removed: Vec<String>,
    /// Evidence on requests that crash endpoints.
    #[serde(rename = "sightings")]
    pub evidence: Vec<ForwardedEvidence>,
    /// Recently reported loads of endpoints.
    pub loads: Vec<Load>,
    /// Endpoints that were found to hold prompt prefixes.
    #[serde(rename = "held")]
    pub holders: Vec<PrefixHolder>,
    /// Instances to poll when no seed can be reached.
    pub standbys: Vec<SocketAddr>,
    /// The number of instances, if the answering instance has counted them.
    pub instances: Option<u32>,
}

/// An instance's replica of the log.
#[derive(Debug)]
pub struct Replica {
    incarnation: u64,
    revision: u64,
    era: Era,
    restored_at: Option<Moment>,
    policy: Option<Content>,
    evacuation: Evacuation,
    policy_confirmed_at: Option<Moment>,
    endpoints_confirmed_at: Option<Moment>,
    entries: BTreeMap<String, Entry>,
    // The latest revision of any endpoint entry.
    last_endpoint_change: u64,
    // Requests with a revision before this one get the full state, since later removals may
    // have been dropped.
    pruned_revision: u64,
    // By revision.
    evidence: BTreeMap<u64, Evidence>,
    // By revision; with the time at which the holder was found.
    holders: BTreeMap<u64, (PrefixHolder, Moment)>,
}

/// How soon a request has to be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// There is nothing to send: the log was never read.
    NotReady,
    /// Nothing changed.
    None,
    /// Something changed, and more changes may follow at once.
    Incremental,
    /// The peer lacks the policy or the list of endpoints.
    Full,
}

// The part of the replica that answers a request.
#[derive(Clone, Copy, Debug)]
struct Scope {
    // Evidence and holders with a later revision than this are sent.
    after: u64,
    // Endpoints with a later revision than this are sent.
    endpoints_after: u64,
    full: bool,
}

#[derive(Debug)]
struct Entry {
    revision: u64,
    digest: u64,
    // `None` once the endpoint is gone.
    registration: Option<Registration>,
    // The time at which the endpoint has warmed up.
    warm_at: Moment,
    expired: bool,
}

impl Entry {
    fn registration_at(&self, now: Moment) -> Option<Registration> {
        let registration = self.registration.clone()?;
        let warming = since(self.warm_at, now);
        Some(Registration {
            warming,
            ..registration
        })
    }
}

impl Replica {
    /// Returns an empty replica for an incarnation of this instance, which must not be 0.
    #[must_use]
    pub const fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            revision: 0,
            era: 0,
            restored_at: None,
            policy: None,
            evacuation: Evacuation::NONE,
            policy_confirmed_at: None,
            endpoints_confirmed_at: None,
            entries: BTreeMap::new(),
            last_endpoint_change: 0,
            pruned_revision: 0,
            evidence: BTreeMap::new(),
            holders: BTreeMap::new(),
        }
    }

    /// Adds evidence on a request that may crash endpoints.
    pub fn add_evidence(&mut self, evidence: Evidence) {
        self.revision += 1;
        self.evidence.insert(self.revision, evidence);
        if self.evidence.len() > MAX_EVIDENCE {
            self.evidence.pop_first();
        }
    }

    /// Records that an endpoint was found to hold a prompt prefix at `found_at`. This
    /// alone causes no early answer.
    pub fn add_holder(&mut self, holder: PrefixHolder, found_at: Moment) {
        self.revision += 1;
        self.holders.insert(self.revision, (holder, found_at));
        if self.holders.len() > MAX_HOLDERS {
            self.holders.pop_first();
        }
    }

    /// Sets the policy in force.
    pub fn set_policy(&mut self, content: Content) {
        self.policy = Some(content);
    }

    /// Sets the log's era.
    pub const fn set_era(&mut self, era: Era) {
        self.era = era;
    }

    /// Records when this instance learned that the log was restored from a copy.
    pub fn record_restore(&mut self, at: Moment) {
        self.restored_at = self.restored_at.max(Some(at));
    }

    /// Sets the evacuated zones.
    pub fn set_evacuation(&mut self, evacuation: Evacuation) {
        self.evacuation = evacuation;
    }

    /// Returns the position in the operator's topic up to which the evacuated zones are
    /// known.
    #[must_use]
    pub const fn evacuation_position(&self) -> Position {
        self.evacuation.as_of
    }

    /// Records that a read sent at `at` confirmed the policy.
    pub fn confirm_policy(&mut self, at: Moment) {
        self.policy_confirmed_at = self.policy_confirmed_at.max(Some(at));
    }

    /// Records that a read sent at `at` confirmed the list of endpoints.
    pub fn confirm_endpoints(&mut self, at: Moment) {
        self.endpoints_confirmed_at = self.endpoints_confirmed_at.max(Some(at));
    }

    /// Returns when the read was sent that last confirmed the list of endpoints.
    #[must_use]
    pub const fn endpoints_confirmed_at(&self) -> Option<Moment> {
        self.endpoints_confirmed_at
    }

    /// Returns the earlier of the times at which both topics were last confirmed.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.policy_confirmed_at.min(self.endpoints_confirmed_at)
    }

    /// Adds or replaces an endpoint that has warmed up at `warm_at`.
    pub fn set_endpoint(&mut self, registration: Registration, warm_at: Moment) {
        self.revision += 1;
        self.last_endpoint_change = self.revision;
        let name = registration.endpoint.name.clone();
        let entry = Entry {
            revision: self.revision,
            digest: endpoint_digest(&registration),
            registration: Some(registration),
            warm_at,
            expired: false,
        };
        self.entries.insert(name, entry);
    }

    /// Marks an endpoint's entry as expired.
    pub fn mark_expired(&mut self, name: &str) {
        if let Some(entry) = self.entries.get_mut(name) {
            self.revision += 1;
            self.last_endpoint_change = self.revision;
            entry.revision = self.revision;
            entry.expired = true;
        }
    }

    /// Records that an endpoint is gone.
    pub fn remove_endpoint(&mut self, name: &str) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        self.revision += 1;
        self.last_endpoint_change = self.revision;
        entry.revision = self.revision;
        entry.registration = None;
        self.prune_removed();
    }

    /// Returns the names of the current endpoints.
    #[must_use]
    pub fn endpoint_names(&self) -> Vec<String> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.registration.is_some())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns a digest of the current endpoints, expired ones included; 0 if there are
    /// none. Two replicas with equal digests have the same endpoints.
    #[must_use]
    pub fn endpoint_digest(&self) -> u64 {
        let present = self.entries.values();
        present
            .filter(|entry| entry.registration.is_some())
            .map(|entry| hash::score(entry.digest, u64::from(entry.expired)))
            .fold(0, |all, one| all ^ one)
    }

    /// Returns how soon a request has to be answered. Every change wakes all waiting
    /// requests, so this takes no time in proportion to the number of endpoints unless
    /// the request names an unknown revision.
    #[must_use]
    pub fn urgency(&self, request: &UpdateRequest) -> Urgency {
        if self.policy_confirmed_at.is_none() || self.endpoints_confirmed_at.is_none() {
            return Urgency::NotReady;
        }
        let scope = self.scope(request);
        let newer = |content: &Content| content.version > request.version;
        if scope.full || self.policy.as_ref().is_some_and(newer) {
            return Urgency::Full;
        }
        let has_new_evidence = self.evidence.last_key_value();
        let has_new_evidence =
            has_new_evidence.is_some_and(|(revision, _)| *revision > scope.after);
        let evacuated = self.evacuation.as_of > request.evacuation;
        if evacuated || has_new_evidence || self.last_endpoint_change > scope.endpoints_after {
            return Urgency::Incremental;
        }
        Urgency::None
    }

    /// Builds the answer to a request that was received `waited` ago.
    #[must_use]
    pub fn build_update(&self, request: &UpdateRequest, waited: Duration, now: Moment) -> Update {
        let Scope {
            after,
            endpoints_after,
            full,
        } = self.scope(request);
        let changed = self.changed_after(endpoints_after);
        let changed = || changed.iter().copied();
        let age = |read: Option<Moment>| read.map(|read| since(now, read));
        let newer = |content: &&Content| content.version > request.version;
        let evacuation = Some(&self.evacuation).filter(|known| known.as_of > request.evacuation);
        Update {
            incarnation: self.incarnation,
            revision: self.revision,
            era: self.era,
            restored: age(self.restored_at),
            waited,
            version: self.policy.as_ref().map_or(0, |content| content.version),
            policy_age: age(self.policy_confirmed_at),
            endpoints_age: age(self.endpoints_confirmed_at),
            policy: self.policy.as_ref().filter(newer).cloned(),
            evacuation: evacuation.cloned(),
            full,
            set: changed()
                .filter(|(_, entry)| !entry.expired)
                .filter_map(|(_, entry)| entry.registration_at(now))
                .collect(),
            expired: changed()
                .filter(|(_, entry)| entry.expired && entry.registration.is_some())
                .map(|(name, _)| name.clone())
                .collect(),
            removed: changed()
                .filter(|(_, entry)| !full && entry.registration.is_none())
                .map(|(name, _)| name.clone())
                .collect(),
            evidence: self
                .evidence
                .range(after.saturating_add(1)..)
                .map(|(_, evidence)| ForwardedEvidence::from_evidence(evidence, now))
                .collect(),
            loads: Vec::new(),
            holders: self
                .holders
                .range(after.saturating_add(1)..)
                .rev()
                .take(holders::MAX_HOLDERS_PER_MESSAGE)
                .map(|(_, (holder, found_at))| holder.aged(since(now, *found_at)))
                .collect(),
            standbys: Vec::new(),
            instances: None,
        }
    }

    // Returns which part of the replica answers a request.
    fn scope(&self, request: &UpdateRequest) -> Scope {
        let unknown_revision =
            request.incarnation != self.incarnation || request.revision < self.pruned_revision;
        let after = if unknown_revision {
            0
        } else {
            request.revision
        };
        // Hundreds of instances that read the log themselves at startup already have
        // these endpoints when they first poll, and need no list of them.
        let same_endpoints =
            unknown_revision && request.digest != 0 && request.digest == self.endpoint_digest();
        Scope {
            after,
            endpoints_after: if same_endpoints { self.revision } else { after },
            full: unknown_revision && !same_endpoints,
        }
    }

    // Returns the entries that changed after a revision.
    fn changed_after(&self, revision: u64) -> Vec<(&String, &Entry)> {
        if self.last_endpoint_change <= revision {
            return Vec::new();
        }
        let newer = |(_, entry): &(&String, &Entry)| entry.revision > revision;
        self.entries.iter().filter(newer).collect()
    }

    fn prune_removed(&mut self) {
        let removed = |entry: &Entry| entry.registration.is_none();
        while self.entries.values().filter(|entry| removed(entry)).count() > MAX_REMOVED_ENDPOINTS {
            let oldest = self
                .entries
                .iter()
                .filter(|(_, entry)| removed(entry))
                .min_by_key(|(_, entry)| entry.revision)
                .map(|(name, entry)| (name.clone(), entry.revision));
            let Some((name, revision)) = oldest else {
                return;
            };
            self.entries.remove(&name);
            self.pruned_revision = revision;
        }
    }
}

fn endpoint_digest(registration: &Registration) -> u64 {
    let Registration {
        endpoint, slots, ..
    } = registration;
    let identity = [
        endpoint.incarnation,
        endpoint.service,
        endpoint.zone,
        endpoint.region,
        id::from_name(&endpoint.address.to_string()),
        u64::from(endpoint.standing == Standing::Live),
        u64::from(*slots),
    ];
    let parts = identity.into_iter().chain(endpoint.models.iter().copied());
    parts.fold(endpoint.id, hash::score)
}

#[cfg(test)]
mod tests;
