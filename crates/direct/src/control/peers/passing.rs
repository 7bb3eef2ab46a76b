//! What instances tell others of their own accord, without being asked.
//!
//! Evidence on requests that crash endpoints goes to those that are asked, at
//! once. Holders of prompts come to each of them from those that ask it, and once a
//! second they tell each other of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::Body;
use godwitpost_types::clock::{Moment, since};
use http::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::age::PATIENCE;
use super::{Refusal, STARTS, status, whole};
use crate::book::Load;
use crate::holders::PrefixHolder;
use crate::shared::Shared;
use crate::suspects::{Evidence, ForwardedEvidence};

pub(super) const EVIDENCE_PATH: &str = "/peer/v2/evidence";
pub(super) const HEARD_PATH: &str = "/peer/v3/heard";

/// How long evidence waits for more before it is passed on: an endpoint that
/// ends breaks all its requests within a few milliseconds.
const GATHER: Duration = Duration::from_millis(30);

/// How often instances that are asked tell each other which holders they heard of:
/// as often as they are asked themselves.
const EXCHANGE: Duration = Duration::from_secs(1);

// Takes in what another instance that is asked heard.
pub(super) fn heard(shared: &Shared, body: &[u8], now: Moment) -> Response<Body> {
    let Ok(heard) = rmp_serde::from_slice::<Heard>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    if let Some(own) = heard.own {
        shared.pollers().record_peer_count(own, heard.count, now);
    }
    for holding in heard.held {
        if shared.directory().apply_remote(&holding, now) {
            shared.update_replica(false, |replica| replica.add_holder(holding, now));
        }
    }
    status(StatusCode::OK)
}

/// What one instance that is asked heard from its askers.
#[derive(Debug, Serialize, Deserialize)]
struct Heard {
    /// Where it is asked.
    own: Option<SocketAddr>,
    /// How many ask it, and itself.
    count: u32,
    /// Holders of prompts.
    held: Vec<PrefixHolder>,
}

/// Tells the other instances that are asked how many ask this one and which holders of
/// prompts it heard of, for as long as the process runs. Each instance asks one of them, so without
/// this it would hear only of those that ask the same one.
///
/// Loads don't go this way: over two instances they are two seconds old, count as
/// known all the same, and were not shown to be worth anything.
pub(in crate::control) async fn exchange(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(EXCHANGE).await;
        let now = boot_time();
        let heard = Heard {
            own: shared.settings.listen.peers,
            count: shared.pollers().own_count(now),
            held: shared.directory().take_unsent(now),
        };
        for holding in &heard.held {
            shared.update_replica(false, |replica| replica.add_holder(*holding, now));
        }
        if shared.uptime() >= STARTS {
            let count = shared.pollers().count(now);
            shared.set_instance_count(count, now);
        }
        for peer in shared.settings.other_seeds() {
            if let Err(refusal) = post(&shared, peer, HEARD_PATH, &heard).await {
                log::debug!(peer:% = peer, cause:% = refusal; "what was heard is not passed on");
            }
        }
    }
}

// Takes in what another instance saw, for all that ask this one.
pub(super) fn learn(shared: &Shared, body: &[u8], now: Moment) -> Response<Body> {
    let Ok(sightings) = rmp_serde::from_slice::<Vec<ForwardedEvidence>>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    for sighting in sightings {
        let evidence = sighting.to_evidence(now);
        if shared.crash_tracker().record(evidence) {
            shared.update_replica(true, |replica| replica.add_evidence(evidence));
        }
    }
    status(StatusCode::OK)
}

/// Passes on what this instance saw of requests that may crash endpoints: to
/// those that are asked, of which each tells it to whoever asks.
pub(crate) fn forward_evidence(shared: &Arc<Shared>) {
    if shared.crash_tracker().begin_forwarding() {
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            tokio::time::sleep(GATHER).await;
            let seen = shared.crash_tracker().take_unforwarded();
            for evidence in &seen {
                shared.update_replica(true, |replica| replica.add_evidence(*evidence));
            }
            for peer in shared.settings.other_seeds() {
                if let Err(refusal) = hand(&shared, peer, &seen).await {
                    log::info!(peer:% = peer, cause:% = refusal; "evidence not passed on");
                }
            }
        });
    }
}

async fn hand(shared: &Shared, peer: SocketAddr, seen: &[Evidence]) -> Result<(), Refusal> {
    let now = boot_time();
    let sightings: Vec<ForwardedEvidence> = seen
        .iter()
        .map(|one| ForwardedEvidence::from_evidence(one, now))
        .collect();
    post(shared, peer, EVIDENCE_PATH, &sightings).await
}

async fn post<T: Serialize>(
    shared: &Shared,
    peer: SocketAddr,
    path: &str,
    message: &T,
) -> Result<(), Refusal> {
    let body = rmp_serde::to_vec(message).map_err(|error| Refusal::Garbled(error.to_string()))?;
    let request = Request::post(path)
        .body(whole(body))
        .map_err(|error| Refusal::Garbled(error.to_string()))?;
    let response = shared
        .connector
        .send(peer, request, PATIENCE)
        .await
        .map_err(|error| Refusal::Unreachable(error.to_string()))?;
    match response.status() {
        StatusCode::OK => Ok(()),
        status => Err(Refusal::Status(status)),
    }
}

// Takes in loads that another instance passed on at `then`.
pub(super) fn take(shared: &Shared, loads: &[Load], then: Moment) {
    let mut book = shared.endpoint_stats();
    for load in loads {
        book.record_peer_load(load.endpoint, load.requests, since(then, load.age));
    }
}
