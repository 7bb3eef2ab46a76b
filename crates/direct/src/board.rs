//! What an instance knows of the log, as it tells its peers.
//!
//! Reading the log costs the platform a call, and a fleet of hundreds would
//! make hundreds of calls a second to be told the same. So a few instances
//! read it, and the others ask one of those. What is told carries its age: the
//! time since the read was *sent* that it came from. An age only grows on the
//! way, so whoever is told can count its own lease from it, and an instance
//! that lost the log shows as such by itself.
//!
//! Entries are stamped when they change, so that who knows a stamp is told
//! only what came after.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::Standing;
use godwitpost_types::id::{Era, Version};
use godwitpost_types::{hash, id};
use serde::{Deserialize, Serialize};

use crate::book::Load;
use crate::evacuation::Evacuation;
use crate::holders::{self, PrefixHolder};
use crate::policy::Content;
use crate::roster::Registration;
use crate::source::Position;
use crate::suspects::{Evidence, ForwardedEvidence};

/// Names of endpoints that are gone which are remembered. Beyond that, who
/// asks with an older stamp is told everything anew.
const MAX_REMOVED_ENDPOINTS: usize = 1_000;

/// Sightings that are kept to be told. An endpoint that ends leaves up to a
/// hundred, and whoever asks does so every second or two.
const MAX_EVIDENCE: usize = 1_000;

/// Holders of beginnings that are kept to be told: those of some seconds in a
/// fleet of hundreds, of a minute in one of ten.
const MAX_HOLDINGS: usize = 2_000;

/// What a peer asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateRequest {
    /// The life of the instance that gave the stamp; 0 for none.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The last stamp that is known.
    #[serde(rename = "stamp")]
    pub revision: u64,
    /// The digest of the endpoints that the peer knows, if it knows no stamp; or 0.
    pub digest: u64,
    /// Where the peer can itself be asked.
    #[serde(rename = "own")]
    pub peer_address: Option<SocketAddr>,
    /// The version that is in force at the peer.
    pub version: Version,
    /// Up to where in the operator's topic the peer knows the evacuated zones.
    pub evacuation: Position,
    /// How long to wait for something new.
    pub wait: Duration,
    /// Loads that endpoints told the peer since it last asked.
    pub loads: Vec<Load>,
    /// Endpoints that the peer found to hold beginnings of prompts.
    #[serde(rename = "held")]
    pub holdings: Vec<PrefixHolder>,
}

/// What a peer is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The life of the instance that tells.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The stamp to ask with next time.
    #[serde(rename = "stamp")]
    pub revision: u64,
    /// The log's era, as far as whoever tells knows; 0 if none was named.
    pub era: Era,
    /// How long ago it was heard that the log came back from a copy, if it was.
    pub restored: Option<Duration>,
    /// How long the answer was kept back, waiting for something new.
    pub waited: Duration,
    /// The version that was read last; 0 if there is none.
    pub version: Version,
    /// The age of the configuration; `None` if it was never read. Before the operator
    /// gives one, it is known that there is none.
    pub policy_age: Option<Duration>,
    /// The age of the list of endpoints; `None` if it was never read.
    pub endpoints_age: Option<Duration>,
    /// The configuration, if it is newer than the peer's.
    pub policy: Option<Content>,
    /// The evacuated zones, if that is newer than what the peer knows.
    pub evacuation: Option<Evacuation>,
    /// Whether `set` is all there is, and what it doesn't name is gone.
    #[serde(rename = "whole")]
    pub full: bool,
    /// Endpoints that changed.
    pub set: Vec<Registration>,
    /// Endpoints whose entries lapsed while the log was away from whoever
    /// tells. They may have left: who knows them keeps them until more is
    /// told, and who doesn't must not take them in.
    #[serde(rename = "lapsed")]
    pub expired: Vec<String>,
    /// Endpoints that are gone.
    #[serde(rename = "gone")]
    pub removed: Vec<String>,
    /// What was seen of requests that crash endpoints.
    #[serde(rename = "sightings")]
    pub evidence: Vec<ForwardedEvidence>,
    /// Loads of endpoints that are known from lately.
    pub loads: Vec<Load>,
    /// Endpoints that were found to hold beginnings of prompts.
    #[serde(rename = "held")]
    pub holdings: Vec<PrefixHolder>,
    /// Instances that may be asked when no seed can be.
    pub standbys: Vec<SocketAddr>,
    /// How many instances there are, if whoever tells has counted them.
    pub instances: Option<u32>,
}

/// What an instance knows of the log.
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
    // The latest stamp of any entry.
    last_endpoint_change: u64,
    // Stamps at or before this one are too old to tell only what changed.
    pruned_revision: u64,
    // By stamp.
    evidence: BTreeMap<u64, Evidence>,
    // By stamp; with when it was seen.
    holdings: BTreeMap<u64, (PrefixHolder, Moment)>,
}

/// How soon a question has to be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// There is nothing to tell: the log was never read.
    NotReady,
    /// There is no news.
    None,
    /// There is news, and more may follow at once.
    Incremental,
    /// The peer lacks the configuration or the list of endpoints.
    Full,
}

// What of a board a question is answered with.
#[derive(Clone, Copy, Debug)]
struct Scope {
    // What has a later stamp than this.
    after: u64,
    // Likewise of endpoints.
    entries_after: u64,
    full: bool,
}

#[derive(Debug)]
struct Entry {
    revision: u64,
    digest: u64,
    // `None` once it is gone.
    registration: Option<Registration>,
    // When it will have warmed up.
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
    /// Returns the empty board of an instance's life, which is not 0.
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
            holdings: BTreeMap::new(),
        }
    }

    /// Notes what was seen of a request that may crash endpoints.
    pub fn add_evidence(&mut self, evidence: Evidence) {
        self.revision += 1;
        self.evidence.insert(self.revision, evidence);
        if self.evidence.len() > MAX_EVIDENCE {
            self.evidence.pop_first();
        }
    }

    /// Notes that an endpoint was found at `then` to hold a beginning. That is
    /// no news for which an answer is given early.
    pub fn add_holding(&mut self, holding: PrefixHolder, found_at: Moment) {
        self.revision += 1;
        self.holdings.insert(self.revision, (holding, found_at));
        if self.holdings.len() > MAX_HOLDINGS {
            self.holdings.pop_first();
        }
    }

    /// Notes the configuration in force.
    pub fn set_policy(&mut self, content: Content) {
        self.policy = Some(content);
    }

    /// Notes the log's era.
    pub const fn set_era(&mut self, era: Era) {
        self.era = era;
    }

    /// Notes when it was heard that the log came back from a copy.
    pub fn record_restore(&mut self, at: Moment) {
        self.restored_at = self.restored_at.max(Some(at));
    }

    /// Notes the evacuated zones.
    pub fn set_evacuation(&mut self, evacuation: Evacuation) {
        self.evacuation = evacuation;
    }

    /// Returns up to where in the operator's topic the evacuated zones are known.
    #[must_use]
    pub const fn evacuation_position(&self) -> Position {
        self.evacuation.as_of
    }

    /// Notes when the read was sent that confirmed the configuration.
    pub fn confirm_policy(&mut self, at: Moment) {
        self.policy_confirmed_at = self.policy_confirmed_at.max(Some(at));
    }

    /// Notes when the read was sent that confirmed the list of endpoints.
    pub fn confirm_endpoints(&mut self, at: Moment) {
        self.endpoints_confirmed_at = self.endpoints_confirmed_at.max(Some(at));
    }

    /// Returns when the list of endpoints was last confirmed.
    #[must_use]
    pub const fn endpoints_confirmed_at(&self) -> Option<Moment> {
        self.endpoints_confirmed_at
    }

    /// Returns when the older of both topics was last confirmed.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.policy_confirmed_at.min(self.endpoints_confirmed_at)
    }

    /// Notes an endpoint that changed, and when it will have warmed up.
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

    /// Notes an endpoint whose entry lapsed.
    pub fn mark_expired(&mut self, name: &str) {
        if let Some(entry) = self.entries.get_mut(name) {
            self.revision += 1;
            self.last_endpoint_change = self.revision;
            entry.revision = self.revision;
            entry.expired = true;
        }
    }

    /// Notes an endpoint that is gone.
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

    /// Returns the names of the endpoints that are there.
    #[must_use]
    pub fn endpoint_names(&self) -> Vec<String> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.registration.is_some())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns a digest of the endpoints that are there. Two boards with the same
    /// one say the same of them; 0 stands for none.
    #[must_use]
    pub fn endpoint_digest(&self) -> u64 {
        let present = self.entries.values();
        present
            .filter(|entry| entry.registration.is_some())
            .map(|entry| hash::score(entry.digest, u64::from(entry.expired)))
            .fold(0, |all, one| all ^ one)
    }

    /// Returns whether a question is worth an answer before its wait is over. Takes no
    /// time in proportion to the endpoints, unless a stranger asks: whatever is news
    /// wakes all that wait.
    #[must_use]
    pub fn urgency(&self, question: &UpdateRequest) -> Urgency {
        if self.policy_confirmed_at.is_none() || self.endpoints_confirmed_at.is_none() {
            return Urgency::NotReady;
        }
        let scope = self.scope(question);
        let newer = |content: &Content| content.version > question.version;
        if scope.full || self.policy.as_ref().is_some_and(newer) {
            return Urgency::Full;
        }
        let has_new_evidence = self.evidence.last_key_value();
        let has_new_evidence =
            has_new_evidence.is_some_and(|(revision, _)| *revision > scope.after);
        let evacuated = self.evacuation.as_of > question.evacuation;
        if evacuated || has_new_evidence || self.last_endpoint_change > scope.entries_after {
            return Urgency::Incremental;
        }
        Urgency::None
    }

    /// Returns what a question asked `waited` ago is answered with.
    #[must_use]
    pub fn build_update(&self, question: &UpdateRequest, waited: Duration, now: Moment) -> Update {
        let Scope {
            after,
            entries_after,
            full,
        } = self.scope(question);
        let changed = self.changed_after(entries_after);
        let changed = || changed.iter().copied();
        let age = |read: Option<Moment>| read.map(|read| since(now, read));
        let newer = |content: &&Content| content.version > question.version;
        let evacuation = Some(&self.evacuation).filter(|own| own.as_of > question.evacuation);
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
            holdings: self
                .holdings
                .range(after.saturating_add(1)..)
                .rev()
                .take(holders::MAX_HOLDERS_PER_MESSAGE)
                .map(|(_, (holding, found_at))| holding.aged(since(now, *found_at)))
                .collect(),
            standbys: Vec::new(),
            instances: None,
        }
    }

    // What of this board a question is answered with.
    fn scope(&self, question: &UpdateRequest) -> Scope {
        let is_unknown =
            question.incarnation != self.incarnation || question.revision < self.pruned_revision;
        let after = if is_unknown { 0 } else { question.revision };
        // Hundreds that read the log for themselves at a start all know what is
        // told here when they first ask, and need no list of it.
        let same_endpoints =
            is_unknown && question.digest != 0 && question.digest == self.endpoint_digest();
        Scope {
            after,
            entries_after: if same_endpoints { self.revision } else { after },
            full: is_unknown && !same_endpoints,
        }
    }

    // The entries that changed after a stamp.
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
    let own = [
        endpoint.incarnation,
        endpoint.service,
        endpoint.zone,
        endpoint.region,
        id::of(&endpoint.address.to_string()),
        u64::from(endpoint.standing == Standing::Live),
        u64::from(*slots),
    ];
    let fields = own.into_iter().chain(endpoint.models.iter().copied());
    fields.fold(endpoint.id, hash::score)
}

#[cfg(test)]
mod tests;
