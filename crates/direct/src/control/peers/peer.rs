//! One peer that is asked: questions, answers, and why it is not followed.

use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::Connector;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{Era, Version};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout;

use super::age::{PATIENCE, oldest};
use super::passing::take;
use super::{MESSAGE_BYTES, PATH, whole};
use crate::board::{Update, UpdateRequest};
use crate::evacuation::Evacuation;
use crate::policy::Content;
use crate::roster::Registration;
use crate::shared::Shared;
use crate::source::Position;
use crate::suspects::Evidence;

/// How often one instance is asked until it tells something that is not older
/// than what is known here. Both read the log at moments of their own.
const TRIES: u32 = 4;

/// What a peer told, in this instance's time.
pub(in crate::control) struct News {
    /// The peer's life.
    pub(in crate::control) life: u64,
    /// The log's era, as far as the peer knows.
    pub(in crate::control) era: Era,
    /// When it was heard that the log came back from a copy, if it was.
    pub(in crate::control) restored: Option<Moment>,
    /// The version that the peer has confirmed.
    pub(in crate::control) version: Version,
    pub(in crate::control) policy: Option<Content>,
    pub(in crate::control) evacuation: Option<Evacuation>,
    /// When the read was sent that confirmed the configuration.
    pub(in crate::control) policy_read: Moment,
    /// When the read was sent that confirmed the list of endpoints.
    pub(in crate::control) endpoints_read: Moment,
    /// When the peer made its answer, at the earliest.
    pub(in crate::control) made: Moment,
    pub(in crate::control) whole: bool,
    pub(in crate::control) set: Vec<Registration>,
    pub(in crate::control) lapsed: Vec<String>,
    pub(in crate::control) gone: Vec<String>,
    pub(in crate::control) evidence: Vec<Evidence>,
}

/// Why a peer is not followed.
#[derive(Debug, displaydoc::Display)]
pub(super) enum Refusal {
    /// it can't be asked ({0})
    Unreachable(String),
    /// it answered nothing in time
    Silent,
    /// it has status {0}
    Status(StatusCode),
    /// its answer makes no sense ({0})
    Garbled(String),
    /// it has not read the log for a while
    Stale,
    /// it knows less than is known here
    Older,
}

/// An instance that is asked.
pub(super) struct Peer<'a> {
    connector: &'a Connector,
    address: SocketAddr,
    shared: &'a Shared,
    told: Known,
}

/// What a peer has told so far, so that it tells only what came since.
#[derive(Debug, Default)]
pub(super) struct Known {
    pub(super) life: u64,
    pub(super) stamp: u64,
    version: Version,
    evacuation: Position,
}

impl Known {
    pub(super) fn take(&mut self, told: &Update) {
        (self.life, self.stamp) = (told.incarnation, told.revision);
        if let Some(evacuation) = &told.evacuation {
            self.evacuation = evacuation.as_of;
        }
        if let Some(policy) = &told.policy {
            self.version = policy.version;
        }
    }

    // The version to ask with, where this one is in force. What was just told may not
    // be yet. Asked for by what is, the next answer held a long configuration once
    // more, from an instance that a hundred others ask at the same time.
    pub(super) fn version(&self, in_force: Version) -> Version {
        in_force.max(self.version)
    }
}

/// An answer, and whom else to ask.
pub(super) struct Answered {
    pub(super) news: News,
    pub(super) standbys: Vec<SocketAddr>,
}

impl<'a> Peer<'a> {
    /// Returns one that has told nothing yet.
    pub(super) fn new(connector: &'a Connector, address: SocketAddr, shared: &'a Shared) -> Self {
        Self {
            connector,
            address,
            shared,
            told: Known::default(),
        }
    }

    /// Asks until the peer tells something that is not older than what is
    /// known here; one that knows nothing yet itself may wait this long for it.
    pub(super) async fn begin(&mut self, wait: Duration) -> Result<Answered, Refusal> {
        for _ in 0..TRIES {
            let told = self.question(wait).await?;
            let known = self
                .shared
                .update_replica(false, |replica| replica.endpoints_confirmed_at());
            if Some(told.news.endpoints_read) >= known {
                return Ok(told);
            }
            // It has to tell all again: this was not taken.
            self.told = Known::default();
            tokio::time::sleep(PATIENCE).await;
        }
        Err(Refusal::Older)
    }

    /// Asks what came since; waits this long for it.
    pub(super) async fn question(&mut self, wait: Duration) -> Result<Answered, Refusal> {
        let view = self.shared.view();
        let in_force = view.policy.as_ref().map_or(0, |policy| policy.version());
        let digest = if self.told.life == 0 {
            self.shared
                .update_replica(false, |replica| replica.endpoint_digest())
        } else {
            0
        };
        let evacuation = self
            .shared
            .update_replica(false, |replica| replica.evacuation_position());
        let question = UpdateRequest {
            incarnation: self.told.life,
            revision: self.told.stamp,
            digest,
            peer_address: self.shared.settings.listen.peers,
            version: self.told.version(in_force),
            evacuation: evacuation.max(self.told.evacuation),
            wait,
            loads: self.shared.endpoint_stats().take_new_loads(boot_time()),
            holders: self.shared.directory().take_unsent(boot_time()),
        };
        let asked = boot_time();
        let mut told = timeout(wait + PATIENCE, self.send(&question))
            .await
            .map_err(|_elapsed| Refusal::Silent)??;
        self.told.take(&told);
        let made = asked + told.waited;
        take(self.shared, &told.loads, made);
        if let Some(instances) = told.instances {
            self.shared.set_instance_count(instances, made);
        }
        for holding in &told.holders {
            self.shared.directory().apply_remote(holding, made);
        }
        Ok(Answered {
            standbys: std::mem::take(&mut told.standbys),
            news: news(told, asked, oldest(self.shared.settings.max_update_delay()))?,
        })
    }

    async fn send(&self, question: &UpdateRequest) -> Result<Update, Refusal> {
        let body =
            rmp_serde::to_vec(question).map_err(|error| Refusal::Garbled(error.to_string()))?;
        let request = Request::post(PATH)
            .body(whole(body))
            .map_err(|error| Refusal::Garbled(error.to_string()))?;
        let wait = question.wait + PATIENCE;
        let response = self
            .connector
            .send(self.address, request, wait)
            .await
            .map_err(|error| Refusal::Unreachable(error.to_string()))?;
        if response.status() != StatusCode::OK {
            return Err(Refusal::Status(response.status()));
        }
        let bytes = Limited::new(response.into_body(), MESSAGE_BYTES)
            .collect()
            .await
            .map_err(|error| Refusal::Unreachable(error.to_string()))?
            .to_bytes();
        rmp_serde::from_slice(&bytes).map_err(|error| Refusal::Garbled(error.to_string()))
    }
}

/// Returns what an answer says, in this instance's time.
///
/// # Errors
///
/// Returns [`Refusal::Stale`] if it is older than `oldest`.
pub(super) fn news(told: Update, asked: Moment, oldest: Duration) -> Result<News, Refusal> {
    // The peer made its answer no sooner than it had waited after it was
    // asked. Counted from there, its ages never make anything look younger.
    let made = asked + told.waited;
    let (Some(policy_age), Some(endpoints_age)) = (told.policy_age, told.endpoints_age) else {
        return Err(Refusal::Stale);
    };
    if policy_age.max(endpoints_age) > oldest {
        return Err(Refusal::Stale);
    }
    Ok(News {
        life: told.incarnation,
        era: told.era,
        restored: told.restored.map(|age| since(made, age)),
        made,
        version: told.version,
        policy: told.policy,
        evacuation: told.evacuation,
        policy_read: since(made, policy_age),
        endpoints_read: since(made, endpoints_age),
        whole: told.full,
        set: told.set,
        lapsed: told.expired,
        gone: told.removed,
        evidence: told
            .evidence
            .iter()
            .map(|sighting| sighting.to_evidence(made))
            .collect(),
    })
}
