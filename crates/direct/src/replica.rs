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
//!
//! A long list of changes is sent in parts. What has to be acted on in time, such as the
//! policy and evacuated zones, comes with the first of them.

mod endpoints;
mod group;
mod message;
mod parts;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{EndpointId, Era, Version};

use self::endpoints::Endpoints;
pub use self::endpoints::bucket_of;
use self::group::group;
use self::message::EndpointChanges;
pub use self::message::{Answer, Error, Update, UpdateRequest};
use self::parts::{Part, Parts};
use crate::crashes::{Evidence, ForwardedEvidence};
use crate::evacuation::Evacuation;
use crate::holders::{self, PrefixHolder};
use crate::policy::Content;
use crate::roster::Registration;
use crate::source::Position;
use crate::stats::Overload;

/// How many endpoint changes one answer holds at most, at some 40 bytes each: a sixtieth of
/// a second on a link of 10 Mbit/s.
pub const MAX_CHANGES_PER_ANSWER: usize = 512;

/// The size of one endpoint in a list, in bytes, with some to spare.
pub const ENDPOINT_BYTES: usize = 45;

/// How much evidence is retained for peers. An endpoint that ends leaves up to a hundred
/// pieces, and each peer polls every second or two.
const MAX_EVIDENCE: usize = 1_000;

/// How many holders of prompt prefixes are retained for peers: those of some seconds in a
/// fleet of hundreds, of a minute in a fleet of ten.
const MAX_HOLDERS: usize = 2_000;

/// How long an endpoint's overload is told to peers. Later, the next loads are due.
const MAX_OVERLOAD_AGE: Duration = Duration::from_secs(2);

/// An instance's replica of the log.
#[derive(Debug)]
pub struct Replica {
    incarnation: u64,
    revision: u64,
    era: Era,
    restored_at: Option<Moment>,
    policy: Option<Content>,
    // The encoded policy, once it was sent.
    encoded_policy: Option<Bytes>,
    evacuation: Evacuation,
    policy_confirmed_at: Option<Moment>,
    endpoints_confirmed_at: Option<Moment>,
    endpoints: Endpoints,
    parts: Parts,
    encoded_parts: u64,
    // By revision.
    evidence: BTreeMap<u64, Evidence>,
    // By revision; with the time at which the holder was found.
    holders: BTreeMap<u64, (PrefixHolder, Moment)>,
    overloads: BTreeMap<EndpointId, FoundOverload>,
    // The revision of the last overload.
    last_overload: u64,
}

// The load of an endpoint that was found near the load bound; `None` if it was silent.
#[derive(Clone, Copy, Debug)]
struct FoundOverload {
    revision: u64,
    requests: Option<u32>,
    at: Moment,
}

/// How soon a request has to be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// There is nothing to send: the log was never read.
    NotReady,
    /// Nothing changed.
    None,
    /// An endpoint was found near the load bound; more may follow at once.
    Overload,
    /// Something changed, and more changes may follow at once.
    Incremental,
    /// The peer lacks the policy, the list of endpoints, or more changes than fit into
    /// one answer.
    Full,
}

/// Whether an answer may hold endpoint changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowance {
    /// As many as fit into one answer.
    Part,
    /// None for now: the link is busy with other lists.
    Nothing,
    /// None for now, and no policy either: the peer has none yet, and can't use it without
    /// the list.
    NoPolicy,
}

// The part of the replica that answers a request.
#[derive(Clone, Debug)]
struct Scope {
    // Evidence and holders with a later revision than this are sent.
    after: u64,
    // Endpoints with a later revision than this are sent.
    endpoints_after: u64,
    // Whether the full list of endpoints begins with the answer.
    full: bool,
    // The buckets that the answer lists completely.
    buckets: Vec<u16>,
    // While the peer receives the full list, the revision at which it began; otherwise 0.
    list_start: u64,
}

impl Replica {
    /// Returns an empty replica for an incarnation of this instance, which must not be 0.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            revision: 0,
            era: 0,
            restored_at: None,
            policy: None,
            encoded_policy: None,
            evacuation: Evacuation::NONE,
            policy_confirmed_at: None,
            endpoints_confirmed_at: None,
            endpoints: Endpoints::new(),
            parts: Parts::new(),
            encoded_parts: 0,
            evidence: BTreeMap::new(),
            holders: BTreeMap::new(),
            overloads: BTreeMap::new(),
            last_overload: 0,
        }
    }

    /// Returns the incarnation of this instance.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the revision of the latest change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns how many parts of endpoint changes were encoded so far.
    #[must_use]
    pub const fn encoded_parts(&self) -> u64 {
        self.encoded_parts
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

    /// Records that an endpoint near the load bound reported this load, or was found to be
    /// silent.
    pub fn add_overload(&mut self, endpoint: EndpointId, requests: Option<u32>, at: Moment) {
        self.revision += 1;
        self.last_overload = self.revision;
        let overload = FoundOverload {
            revision: self.revision,
            requests,
            at,
        };
        self.overloads.insert(endpoint, overload);
        let is_recent = |one: &mut FoundOverload| since(at, one.at) < MAX_OVERLOAD_AGE;
        self.overloads.retain(|_, one| is_recent(one));
    }

    /// Sets the policy in force.
    pub fn set_policy(&mut self, content: Content) {
        self.policy = Some(content);
        self.encoded_policy = None;
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
    pub fn set_endpoint(&mut self, registration: impl Into<Arc<Registration>>, warm_at: Moment) {
        self.revision += 1;
        let before = self
            .endpoints
            .set(registration.into(), warm_at, self.revision);
        self.parts.record_change(before);
    }

    /// Marks an endpoint's entry as expired.
    pub fn mark_expired(&mut self, name: &str) {
        self.revision += 1;
        if let Some(before) = self.endpoints.mark_expired(name, self.revision) {
            self.parts.record_change(Some(before));
        }
    }

    /// Records that an endpoint is gone.
    pub fn remove_endpoint(&mut self, name: &str) {
        self.revision += 1;
        if let Some(before) = self.endpoints.remove(name, self.revision) {
            self.parts.record_change(Some(before));
        }
    }

    /// Returns the names of the current endpoints.
    #[must_use]
    pub fn endpoint_names(&self) -> Vec<String> {
        self.endpoints.current_names().map(str::to_owned).collect()
    }

    /// Returns digests of the current endpoints by bucket, expired ones included. Two
    /// replicas with equal digests have the same endpoints.
    #[must_use]
    pub fn endpoint_digests(&self) -> &[u64] {
        self.endpoints.digests()
    }

    /// Returns how soon a request has to be answered. Every change wakes all waiting
    /// requests, so this takes no time in proportion to the number of endpoints.
    #[must_use]
    pub fn urgency(&self, request: &UpdateRequest) -> Urgency {
        if self.policy_confirmed_at.is_none() || self.endpoints_confirmed_at.is_none() {
            return Urgency::NotReady;
        }
        let scope = self.scope(request);
        let newer = |content: &Content| content.version > request.version;
        if scope.full
            || !scope.buckets.is_empty()
            || scope.list_start > 0
            || self.policy.as_ref().is_some_and(newer)
        {
            return Urgency::Full;
        }
        let has_new_evidence = self.evidence.last_key_value();
        let has_new_evidence =
            has_new_evidence.is_some_and(|(revision, _)| *revision > scope.after);
        let evacuated = self.evacuation.as_of > request.evacuation;
        if self
            .endpoints
            .has_more_after(scope.endpoints_after, MAX_CHANGES_PER_ANSWER)
        {
            return Urgency::Full;
        }
        if evacuated || has_new_evidence || self.endpoints.last_change() > scope.endpoints_after {
            return Urgency::Incremental;
        }
        if self.last_overload > scope.after {
            return Urgency::Overload;
        }
        Urgency::None
    }

    /// Returns whether the answer to a request is a part of the full list of endpoints.
    #[must_use]
    pub fn is_listing(&self, request: &UpdateRequest) -> bool {
        let scope = self.scope(request);
        scope.full || scope.list_start > 0
    }

    /// Returns how many bytes the answer to a request takes, the policy with it, if it is a
    /// part of the full list.
    ///
    /// # Errors
    ///
    /// Returns an error if the policy can't be encoded.
    pub fn list_part_bytes(&mut self, request: &UpdateRequest) -> Result<Option<u32>, Error> {
        let scope = self.scope(request);
        if !scope.full && scope.list_start == 0 {
            return Ok(None);
        }
        let changes = self
            .endpoints
            .changes_after(scope.endpoints_after, MAX_CHANGES_PER_ANSWER);
        let endpoints = changes.entries.len() * ENDPOINT_BYTES;
        let policy = self.policy_after(request.version)?.len();
        Ok(Some(u32::try_from(endpoints + policy).unwrap_or(u32::MAX)))
    }

    /// Builds the update for a request that was received `waited` ago, as its recipient
    /// decodes it.
    ///
    /// # Panics
    ///
    /// Panics if the update can't be encoded and decoded again.
    #[must_use]
    pub fn build_update(
        &mut self,
        request: &UpdateRequest,
        waited: Duration,
        now: Moment,
    ) -> Update {
        self.build_answer(request, Allowance::Part, waited, now)
            .and_then(Answer::into_update)
            .expect("an update is encoded and decoded by the same types")
    }

    /// Builds the answer to a request that was received `waited` ago.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of it can't be encoded.
    pub fn build_answer(
        &mut self,
        request: &UpdateRequest,
        allowance: Allowance,
        waited: Duration,
        now: Moment,
    ) -> Result<Answer, Error> {
        let scope = self.scope(request);
        let part = if scope.buckets.is_empty() {
            self.part_after(scope.endpoints_after, allowance, now)?
        } else {
            self.encode_part(&self.endpoints.in_buckets(&scope.buckets), None, now)?
        };
        let revision = if part.more {
            part.revision
        } else {
            self.revision
        };
        // The evidence and holders that the revisions sent so far don't include.
        let interval = scope.after.saturating_add(1)..=revision.max(scope.after);
        let age = |read: Option<Moment>| read.map(|read| since(now, read));
        let evacuation = Some(&self.evacuation).filter(|known| known.as_of > request.evacuation);
        let update = Update {
            incarnation: self.incarnation,
            revision,
            list_start: if part.more { scope.list_start } else { 0 },
            more: part.more,
            era: self.era,
            restored: age(self.restored_at),
            waited,
            version: self.policy.as_ref().map_or(0, |content| content.version),
            policy_age: age(self.policy_confirmed_at),
            endpoints_age: age(self.endpoints_confirmed_at),
            evacuation: evacuation.cloned(),
            full: scope.full,
            buckets: scope.buckets,
            evidence: if interval.is_empty() {
                Vec::new()
            } else {
                let evidence = self.evidence.range(interval.clone());
                evidence
                    .map(|(_, one)| ForwardedEvidence::from_evidence(one, now))
                    .collect()
            },
            holders: if interval.is_empty() {
                Vec::new()
            } else {
                let newest_first = self.holders.range(interval).rev();
                newest_first
                    .take(holders::MAX_HOLDERS_PER_MESSAGE)
                    .map(|(_, (holder, found_at))| holder.aged(since(now, *found_at)))
                    .collect()
            },
            overloads: self.overloads_after(scope.after, now),
            ..Update::default()
        };
        let policy = match allowance {
            Allowance::NoPolicy => Bytes::new(),
            Allowance::Part | Allowance::Nothing => self.policy_after(request.version)?,
        };
        Ok(Answer {
            update,
            policy,
            changes: part.bytes,
        })
    }

    // Returns the overloads with a later revision than `after`.
    fn overloads_after(&self, after: u64, now: Moment) -> Vec<Overload> {
        let later = self.overloads.iter();
        let later = later.filter(|(_, one)| one.revision > after);
        let overloads = later.map(|(endpoint, one)| Overload {
            endpoint: *endpoint,
            requests: one.requests,
            age: since(now, one.at),
        });
        overloads.filter(|one| one.age < MAX_OVERLOAD_AGE).collect()
    }

    // Returns the encoded policy if it is newer than `version`.
    fn policy_after(&mut self, version: Version) -> Result<Bytes, Error> {
        let newer = |content: &&Content| content.version > version;
        let Some(policy) = self.policy.as_ref().filter(newer) else {
            return Ok(Bytes::new());
        };
        let encoded = match &self.encoded_policy {
            Some(encoded) => encoded.clone(),
            None => message::encode(policy)?,
        };
        self.encoded_policy = Some(encoded.clone());
        Ok(encoded)
    }

    // Returns the encoded changes of endpoints after a revision.
    fn part_after(
        &mut self,
        revision: u64,
        allowance: Allowance,
        now: Moment,
    ) -> Result<Part, Error> {
        if revision >= self.endpoints.last_change() || allowance != Allowance::Part {
            return Ok(Part {
                revision,
                more: revision < self.endpoints.last_change(),
                warming: false,
                encoded_at: now,
                bytes: Bytes::new(),
            });
        }
        if let Some(part) = self.parts.get(revision, now) {
            return Ok(part.clone());
        }
        let changes = self
            .endpoints
            .changes_after(revision, MAX_CHANGES_PER_ANSWER);
        let part = self.encode_part(&changes.entries, changes.cut_at, now)?;
        self.encoded_parts += 1;
        self.parts.insert(revision, part.clone());
        Ok(part)
    }

    // Encodes entries, which are all or, if changes after `cut_at` are left out, not all.
    fn encode_part(
        &self,
        entries: &[(&str, &endpoints::Entry)],
        cut_at: Option<u64>,
        now: Moment,
    ) -> Result<Part, Error> {
        let names = |is: fn(&endpoints::Entry) -> bool| {
            let named = entries.iter().filter(|(_, entry)| is(entry));
            named.map(|(name, _)| (*name).to_owned()).collect()
        };
        let set: Vec<Registration> = entries
            .iter()
            .filter_map(|(_, entry)| entry.registration_at(now))
            .collect();
        let warming = set.iter().any(|one| !one.warming.is_zero());
        let bytes = message::encode(&EndpointChanges {
            set: group(set),
            expired: names(endpoints::Entry::has_expired),
            removed: names(endpoints::Entry::is_removed),
        })?;
        Ok(Part {
            revision: cut_at.unwrap_or(self.revision),
            more: cut_at.is_some(),
            warming,
            encoded_at: now,
            bytes,
        })
    }

    // Returns which part of the replica answers a request.
    fn scope(&self, request: &UpdateRequest) -> Scope {
        // Removals before the start of a list that the peer receives don't concern it.
        let complete_until = request.revision.max(request.list_start);
        let unknown_revision = request.incarnation != self.incarnation
            || complete_until < self.endpoints.pruned_revision();
        let after = if unknown_revision {
            0
        } else {
            request.revision
        };
        // Hundreds of instances that turn to this one already have nearly all of its
        // endpoints, and need no list of them.
        let differing = if unknown_revision {
            self.endpoints
                .differing_buckets(&request.digests)
                .filter(|buckets| {
                    self.endpoints.in_buckets(buckets).len() <= MAX_CHANGES_PER_ANSWER
                })
        } else {
            None
        };
        let full = unknown_revision && differing.is_none();
        Scope {
            after,
            endpoints_after: if differing.is_some() {
                self.revision
            } else {
                after
            },
            full,
            list_start: match (full, unknown_revision) {
                (true, _) => self.revision,
                (false, true) => 0,
                (false, false) => request.list_start,
            },
            buckets: differing.unwrap_or_default(),
        }
    }
}

#[cfg(test)]
mod tests;
