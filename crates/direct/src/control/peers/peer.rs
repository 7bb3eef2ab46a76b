//! Polls a single peer: requests, answers and errors.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::Connector;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{Era, Version};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout;

use super::overloads::record_overloads;
use super::passing::{record_forwarders, record_loads};
use super::{MAX_MESSAGE_BYTES, STATE_PATH, full_body};
use crate::builds::{Continuity, Mention};
use crate::crashes::Evidence;
use crate::evacuation::Evacuation;
use crate::members;
use crate::metrics::LoadSource;
use crate::policy::Content;
use crate::polling::age::{ANSWER_TIMEOUT, max_age};
use crate::polling::{Failure, is_secondhand};
use crate::relay::adopt_sole_builds;
use crate::replica::{Update, UpdateRequest};
use crate::roster::Registration;
use crate::shared::Shared;
use crate::source::Position;

/// How many times an instance is polled, at most, until its state is not older
/// than the state known here. Both read the log at times of their own.
const MAX_FIRST_POLLS: u32 = 4;

/// An update from a peer, with ages converted to this instance's clock.
pub(in crate::control) struct PeerUpdate {
    /// The peer's incarnation.
    pub(in crate::control) incarnation: u64,
    /// The log's era, as far as the peer knows.
    pub(in crate::control) era: Era,
    /// When the peer learned that the log was restored from a copy, if it was.
    pub(in crate::control) restored_at: Option<Moment>,
    /// The version that the peer has confirmed.
    pub(in crate::control) version: Version,
    pub(in crate::control) policy: Option<Content>,
    pub(in crate::control) evacuation: Option<Evacuation>,
    /// When the read that confirmed the configuration was sent.
    pub(in crate::control) policy_confirmed_at: Moment,
    /// When the read that confirmed the list of endpoints was sent; `None` while only a part
    /// of the list was received.
    pub(in crate::control) endpoints_confirmed_at: Option<Moment>,
    /// The earliest time at which the peer can have built its answer.
    pub(in crate::control) built_at: Moment,
    pub(in crate::control) full: bool,
    /// Buckets that `set` and `expired` list completely.
    pub(in crate::control) buckets: Vec<u16>,
    pub(in crate::control) set: Vec<Registration>,
    pub(in crate::control) expired: Vec<String>,
    pub(in crate::control) removed: Vec<String>,
    pub(in crate::control) evidence: Vec<Evidence>,
    /// The builds of services that have had more than one lately, as the peer knows.
    pub(in crate::control) builds: Vec<Mention>,
    /// Whether the peer tells all changes since its last answer, or its list.
    pub(in crate::control) continuity: Continuity,
}

/// Why a peer is not followed.
#[derive(Debug, displaydoc::Display)]
pub(super) enum PeerError {
    /// the peer can't be reached ({0})
    Unreachable(String),
    /// the peer did not answer in time
    Timeout,
    /// the peer answered with status {0}
    Status(StatusCode),
    /// a message to or from the peer is malformed ({0}); check that both run the same version
    Malformed(String),
    /// the peer has not read the log recently
    Stale,
    /// the peer has no list of endpoints yet ({0} parts received)
    NotReady(u64, Vec<SocketAddr>),
    /// the peer doesn't read the log itself
    Secondhand(Vec<SocketAddr>),
    /// the peer is busy sending its list of endpoints to others
    Busy(Vec<SocketAddr>),
    /// the peer sends its list of endpoints too slowly
    Slow,
    /// the peer's list of endpoints is older than the one known here
    Behind,
}

impl PeerError {
    /// Returns the standbys that the peer named with its answer.
    pub(super) fn standbys(&self) -> Option<&[SocketAddr]> {
        match self {
            Self::NotReady(_, standbys) | Self::Secondhand(standbys) | Self::Busy(standbys) => {
                Some(standbys)
            }
            _ => None,
        }
    }

    /// Returns the error's name in metrics.
    pub(super) const fn label(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::Timeout => "timeout",
            Self::Status(_) => "status",
            Self::Malformed(_) => "malformed",
            Self::Stale => "stale",
            Self::NotReady(..) => "not-ready",
            Self::Secondhand(_) => "secondhand",
            Self::Busy(_) => "busy",
            Self::Slow => "slow",
            Self::Behind => "behind",
        }
    }

    /// Returns what the error means for the choice of the next peer.
    pub(super) const fn failure(&self) -> Failure {
        match self {
            Self::NotReady(progress, _) => Failure::NotReady(*progress),
            Self::Secondhand(_) => Failure::Secondhand,
            Self::Busy(_) => Failure::Busy,
            _ => Failure::Other,
        }
    }
}

/// An instance that is polled.
pub(super) struct Peer<'a> {
    connector: &'a Connector,
    address: SocketAddr,
    shared: &'a Shared,
    known: KnownState,
    // The part of the full list received so far, while the rest is still to come.
    list: Option<PartialList>,
}

/// The endpoints of a list that is received in parts. An endpoint that changes meanwhile is
/// named again, and the last mention counts.
#[derive(Debug, Default)]
pub(super) struct PartialList {
    parts: usize,
    set: BTreeMap<String, Registration>,
    expired: BTreeSet<String>,
}

impl PartialList {
    fn add(&mut self, update: &mut PeerUpdate) {
        self.parts += 1;
        for name in std::mem::take(&mut update.removed) {
            self.set.remove(&name);
            self.expired.remove(&name);
        }
        for name in std::mem::take(&mut update.expired) {
            self.set.remove(&name);
            self.expired.insert(name);
        }
        for registration in std::mem::take(&mut update.set) {
            self.expired.remove(&registration.endpoint.name);
            let name = registration.endpoint.name.clone();
            self.set.insert(name, registration);
        }
    }
}

/// Collects the parts of a full list. While `more` are to come, moves the endpoints of
/// `update` into `list`; moves all of them back into the update that ends the list. An update
/// after which more changes are to come confirms no endpoints.
pub(super) fn collect_list(list: &mut Option<PartialList>, update: &mut PeerUpdate, more: bool) {
    if update.full {
        *list = Some(PartialList::default());
    }
    if more {
        update.endpoints_confirmed_at = None;
    }
    let Some(partial) = list else { return };
    partial.add(update);
    if more {
        update.full = false;
    } else {
        let complete = list.take().unwrap_or_default();
        update.full = true;
        update.continuity = Continuity::List;
        update.set = complete.set.into_values().collect();
        update.expired = complete.expired.into_iter().collect();
    }
}

/// The state that a peer has already sent, so that it sends only later changes.
#[derive(Debug, Default)]
pub(super) struct KnownState {
    pub(super) incarnation: u64,
    pub(super) revision: u64,
    pub(super) list_start: u64,
    version: Version,
    evacuation: Position,
}

impl KnownState {
    pub(super) fn record(&mut self, update: &Update) {
        (self.incarnation, self.revision) = (update.incarnation, update.revision);
        self.list_start = update.list_start;
        if let Some(evacuation) = &update.evacuation {
            self.evacuation = evacuation.as_of;
        }
        if let Some(policy) = &update.policy {
            self.version = policy.version;
        }
    }

    // Returns the version to poll with, given the one in force. The version
    // last received may not be in force yet. If polls named the one in force,
    // the peer would send a long configuration again, to each of a hundred
    // instances that poll it at the same time.
    pub(super) fn version(&self, in_force: Version) -> Version {
        in_force.max(self.version)
    }
}

/// A peer's update, and the standbys it names.
pub(super) struct PeerAnswer {
    pub(super) update: PeerUpdate,
    pub(super) standbys: Vec<SocketAddr>,
    /// Whether the answer contains nothing new because the peer is busy.
    pub(super) is_busy: bool,
    /// Whether the peer has its state from another one, and is to be left.
    pub(super) is_secondhand: bool,
    /// Whether it has the peer's sample of loads, or would have if there were any.
    pub(super) has_loads: bool,
    // When the peer's list was confirmed, of which this may be a part.
    peer_confirmed_at: Option<Moment>,
}

impl<'a> Peer<'a> {
    /// Returns a peer that has sent nothing yet.
    pub(super) fn new(connector: &'a Connector, address: SocketAddr, shared: &'a Shared) -> Self {
        Self {
            connector,
            address,
            shared,
            known: KnownState::default(),
            list: None,
        }
    }

    /// Returns how many answers with parts of the peer's list were received, while some are
    /// still to come.
    pub(super) fn received_parts(&self) -> usize {
        self.list.as_ref().map_or(0, |list| list.parts)
    }

    /// Returns whether only a part of the peer's list of endpoints was received so far.
    pub(super) const fn is_listing(&self) -> bool {
        self.list.is_some()
    }

    /// Polls until the peer's state is not older than the state known here. A
    /// peer that has no state yet itself may wait up to `wait` for it.
    pub(super) async fn first_poll(&mut self, wait: Duration) -> Result<PeerAnswer, PeerError> {
        for _ in 0..MAX_FIRST_POLLS {
            let answer = self.poll(wait).await?;
            let known = self
                .shared
                .update_replica(false, |replica| replica.endpoints_confirmed_at());
            if answer.peer_confirmed_at >= known {
                return Ok(answer);
            }
            // The answer was not accepted, so the peer has to send everything
            // again.
            self.known = KnownState::default();
            self.list = None;
            tokio::time::sleep(ANSWER_TIMEOUT).await;
        }
        Err(PeerError::Behind)
    }

    /// Requests the changes since the last answer; the peer waits up to `wait`
    /// for any.
    pub(super) async fn poll(&mut self, wait: Duration) -> Result<PeerAnswer, PeerError> {
        let view = self.shared.view();
        let in_force = view.policy.as_ref().map_or(0, |policy| policy.version());
        // An instance that knows no endpoints has nothing to compare.
        let digests = if self.known.incarnation == 0 {
            self.shared.update_replica(false, |replica| {
                replica
                    .endpoints_confirmed_at()
                    .map(|_| replica.endpoint_digests().to_vec())
            })
        } else {
            None
        };
        let evacuation = self
            .shared
            .update_replica(false, |replica| replica.evacuation_position());
        let request = UpdateRequest {
            incarnation: self.known.incarnation,
            revision: self.known.revision,
            list_start: self.known.list_start,
            digests: digests.unwrap_or_default(),
            peer_address: self.shared.settings.listen.peers,
            forwards: self.shared.settings.listen.forwards,
            members: members::digest(self.shared.members().followed()),
            link_rate: self.shared.settings.link_rate,
            reads_log: self.shared.reads_log(),
            version: self.known.version(in_force),
            evacuation: evacuation.max(self.known.evacuation),
            wait,
            loads: self.shared.endpoint_stats().take_new_loads(boot_time()),
            holders: self.shared.directory().take_unsent(boot_time()),
        };
        let sent_at = boot_time();
        let mut update = timeout(wait + ANSWER_TIMEOUT, self.send(&request))
            .await
            .map_err(|_elapsed| PeerError::Timeout)??;
        self.known.record(&update);
        let built_at = sent_at.saturating_add(update.waited);
        let metrics = self.shared.metrics.loads();
        metrics.record_poll(since(boot_time(), sent_at));
        record_loads(self.shared, &update.loads, built_at, LoadSource::Answer);
        record_overloads(self.shared, &update.overloads, built_at, LoadSource::Answer);
        record_forwarders(self.shared, &update.forwarders, built_at);
        adopt_sole_builds(self.shared, &update.sole_builds, built_at);
        if let Some(members) = update.members.take() {
            self.shared.members().follow(members);
        }
        if let Some(instances) = update.instances {
            self.shared.set_instance_count(instances, built_at);
        }
        for holder in &update.holders {
            self.shared.directory().apply_remote(holder, built_at);
        }
        let standbys = update.standbys.clone();
        let more = update.more;
        let reads_log = update.reads_log;
        // Without loads of its own, a peer sends none in time either.
        let has_loads = !update.loads.is_empty() || update.waited >= wait;
        let age_limit = max_age(self.shared.settings.max_update_delay());
        let mut update = peer_update(update, sent_at, age_limit)?;
        let peer_confirmed_at = update.endpoints_confirmed_at;
        let is_busy = more && update.set.is_empty() && update.removed.is_empty();
        collect_list(&mut self.list, &mut update, more);
        let age = since(boot_time(), update.policy_confirmed_at);
        let bound = self.shared.settings.max_update_delay();
        Ok(PeerAnswer {
            is_secondhand: !reads_log && is_secondhand(age, bound, self.shared.settings.is_seed()),
            update,
            standbys,
            is_busy,
            has_loads,
            peer_confirmed_at,
        })
    }

    async fn send(&self, request: &UpdateRequest) -> Result<Update, PeerError> {
        let body =
            rmp_serde::to_vec(request).map_err(|error| PeerError::Malformed(error.to_string()))?;
        let http_request = Request::post(STATE_PATH)
            .body(full_body(body))
            .map_err(|error| PeerError::Malformed(error.to_string()))?;
        let wait = request.wait + ANSWER_TIMEOUT;
        let response = self
            .connector
            .send(self.address, http_request, wait)
            .await
            .map_err(|error| PeerError::Unreachable(error.to_string()))?;
        if response.status() != StatusCode::OK {
            return Err(PeerError::Status(response.status()));
        }
        let bytes = Limited::new(response.into_body(), MAX_MESSAGE_BYTES)
            .collect()
            .await
            .map_err(|error| PeerError::Unreachable(error.to_string()))?
            .to_bytes();
        Update::decode(bytes).map_err(|error| PeerError::Malformed(error.to_string()))
    }
}

/// Converts an update to this instance's clock.
///
/// # Errors
///
/// Returns [`PeerError::Stale`] if the update is older than `age_limit`, and
/// [`PeerError::NotReady`] if the peer has no list yet.
pub(super) fn peer_update(
    update: Update,
    sent_at: Moment,
    age_limit: Duration,
) -> Result<PeerUpdate, PeerError> {
    // The peer built its answer no earlier than `waited` after the request was
    // sent. With ages counted from then, no state ever looks younger than it
    // is.
    let built_at = sent_at.saturating_add(update.waited);
    let (Some(policy_age), Some(endpoints_age)) = (update.policy_age, update.endpoints_age) else {
        return Err(PeerError::NotReady(update.progress, update.standbys));
    };
    if policy_age.max(endpoints_age) > age_limit {
        return Err(PeerError::Stale);
    }
    let continuity = if update.full || !update.buckets.is_empty() {
        Continuity::List
    } else {
        Continuity::Changes
    };
    Ok(PeerUpdate {
        incarnation: update.incarnation,
        era: update.era,
        restored_at: update.restored.map(|age| since(built_at, age)),
        built_at,
        version: update.version,
        policy: update.policy,
        evacuation: update.evacuation,
        policy_confirmed_at: since(built_at, policy_age),
        endpoints_confirmed_at: Some(since(built_at, endpoints_age)),
        full: update.full,
        buckets: update.buckets,
        set: update.set,
        expired: update.expired,
        removed: update.removed,
        evidence: update
            .evidence
            .iter()
            .map(|evidence| evidence.to_evidence(built_at))
            .collect(),
        continuity,
        builds: update.builds,
    })
}
