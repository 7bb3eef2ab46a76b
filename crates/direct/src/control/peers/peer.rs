//! Polls a single peer: requests, answers and errors.

use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::Connector;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{Era, Version};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout;

use super::age::{ANSWER_TIMEOUT, max_age};
use super::passing::record_loads;
use super::{MAX_MESSAGE_BYTES, STATE_PATH, full_body};
use crate::crashes::Evidence;
use crate::evacuation::Evacuation;
use crate::policy::Content;
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
    /// When the read that confirmed the list of endpoints was sent.
    pub(in crate::control) endpoints_confirmed_at: Moment,
    /// The earliest time at which the peer can have built its answer.
    pub(in crate::control) built_at: Moment,
    pub(in crate::control) full: bool,
    pub(in crate::control) set: Vec<Registration>,
    pub(in crate::control) expired: Vec<String>,
    pub(in crate::control) removed: Vec<String>,
    pub(in crate::control) evidence: Vec<Evidence>,
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
    /// the peer's list of endpoints is older than the one known here
    Behind,
}

/// An instance that is polled.
pub(super) struct Peer<'a> {
    connector: &'a Connector,
    address: SocketAddr,
    shared: &'a Shared,
    known: KnownState,
}

/// The state that a peer has already sent, so that it sends only later changes.
#[derive(Debug, Default)]
pub(super) struct KnownState {
    pub(super) incarnation: u64,
    pub(super) revision: u64,
    version: Version,
    evacuation: Position,
}

impl KnownState {
    pub(super) fn record(&mut self, update: &Update) {
        (self.incarnation, self.revision) = (update.incarnation, update.revision);
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
}

impl<'a> Peer<'a> {
    /// Returns a peer that has sent nothing yet.
    pub(super) fn new(connector: &'a Connector, address: SocketAddr, shared: &'a Shared) -> Self {
        Self {
            connector,
            address,
            shared,
            known: KnownState::default(),
        }
    }

    /// Polls until the peer's state is not older than the state known here. A
    /// peer that has no state yet itself may wait up to `wait` for it.
    pub(super) async fn first_poll(&mut self, wait: Duration) -> Result<PeerAnswer, PeerError> {
        for _ in 0..MAX_FIRST_POLLS {
            let answer = self.poll(wait).await?;
            let known = self
                .shared
                .update_replica(false, |replica| replica.endpoints_confirmed_at());
            if Some(answer.update.endpoints_confirmed_at) >= known {
                return Ok(answer);
            }
            // The answer was not accepted, so the peer has to send everything
            // again.
            self.known = KnownState::default();
            tokio::time::sleep(ANSWER_TIMEOUT).await;
        }
        Err(PeerError::Behind)
    }

    /// Requests the changes since the last answer; the peer waits up to `wait`
    /// for any.
    pub(super) async fn poll(&mut self, wait: Duration) -> Result<PeerAnswer, PeerError> {
        let view = self.shared.view();
        let in_force = view.policy.as_ref().map_or(0, |policy| policy.version());
        let digest = if self.known.incarnation == 0 {
            self.shared
                .update_replica(false, |replica| replica.endpoint_digest())
        } else {
            0
        };
        let evacuation = self
            .shared
            .update_replica(false, |replica| replica.evacuation_position());
        let request = UpdateRequest {
            incarnation: self.known.incarnation,
            revision: self.known.revision,
            digest,
            peer_address: self.shared.settings.listen.peers,
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
        let built_at = sent_at + update.waited;
        record_loads(self.shared, &update.loads, built_at);
        if let Some(instances) = update.instances {
            self.shared.set_instance_count(instances, built_at);
        }
        for holder in &update.holders {
            self.shared.directory().apply_remote(holder, built_at);
        }
        Ok(PeerAnswer {
            standbys: std::mem::take(&mut update.standbys),
            update: peer_update(
                update,
                sent_at,
                max_age(self.shared.settings.max_update_delay()),
            )?,
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
        rmp_serde::from_slice(&bytes).map_err(|error| PeerError::Malformed(error.to_string()))
    }
}

/// Converts an update to this instance's clock.
///
/// # Errors
///
/// Returns [`PeerError::Stale`] if the update is older than `age_limit`.
pub(super) fn peer_update(
    update: Update,
    sent_at: Moment,
    age_limit: Duration,
) -> Result<PeerUpdate, PeerError> {
    // The peer built its answer no earlier than `waited` after the request was
    // sent. With ages counted from then, no state ever looks younger than it
    // is.
    let built_at = sent_at + update.waited;
    let (Some(policy_age), Some(endpoints_age)) = (update.policy_age, update.endpoints_age) else {
        return Err(PeerError::Stale);
    };
    if policy_age.max(endpoints_age) > age_limit {
        return Err(PeerError::Stale);
    }
    Ok(PeerUpdate {
        incarnation: update.incarnation,
        era: update.era,
        restored_at: update.restored.map(|age| since(built_at, age)),
        built_at,
        version: update.version,
        policy: update.policy,
        evacuation: update.evacuation,
        policy_confirmed_at: since(built_at, policy_age),
        endpoints_confirmed_at: since(built_at, endpoints_age),
        full: update.full,
        set: update.set,
        expired: update.expired,
        removed: update.removed,
        evidence: update
            .evidence
            .iter()
            .map(|evidence| evidence.to_evidence(built_at))
            .collect(),
    })
}
