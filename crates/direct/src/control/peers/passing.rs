//! Messages that instances send to seeds without being polled.
//!
//! Each seed receives holders of prompts from the instances that poll it, and seeds
//! exchange them once a second.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::Body;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{BuildId, ServiceId};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use super::evidence::{evidence_on_held, record_messages};
use super::{MAX_MESSAGE_BYTES, PeerError, STARTUP_PERIOD, full_body, status_response};
use crate::crashes::ForwardedEvidence;
use crate::holders::PrefixHolder;
use crate::metrics::LoadSource;
use crate::polling::age::ANSWER_TIMEOUT;
use crate::relay::{adopt_sole_builds, sole_builds};
use crate::shared::Shared;
use crate::stats::Load;

pub(super) const EXCHANGE_PATH: &str = "/peer/v7/heard";

/// The interval at which seeds exchange prompt holders: about as often as they
/// are polled.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

// Applies a message that another seed sent.
pub(super) fn handle_exchange(shared: &Arc<Shared>, body: &[u8], now: Moment) -> Response<Body> {
    let Ok(exchange) = rmp_serde::from_slice::<Exchange>(body) else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    if let Some(address) = exchange.peer_address {
        shared
            .pollers()
            .record_peer_count(address, exchange.count, now);
    }
    record_forwarders(shared, &exchange.forwarders, now);
    record_messages(shared, &exchange.evidence, now);
    if let Some(address) = exchange.peer_address {
        shared.members().record_seed(address, exchange.members, now);
    }
    for holder in exchange.holders {
        if shared.directory().apply_remote(&holder, now) {
            shared.update_replica(false, |replica| replica.add_holder(holder, now));
        }
    }
    let answer = ExchangeAnswer {
        sole_builds: sole_builds(shared),
    };
    match rmp_serde::to_vec(&answer) {
        Ok(bytes) => Response::new(full_body(bytes)),
        Err(error) => {
            log::error!(error:% = error; "answer to another seed can't be encoded");
            status_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// What a seed has received from the instances that poll it.
#[derive(Debug, Serialize, Deserialize)]
struct Exchange {
    /// Where the seed can be polled.
    #[serde(rename = "own")]
    peer_address: Option<SocketAddr>,
    /// The number of instances that poll the seed, plus the seed itself.
    count: u32,
    /// Holders of prompts.
    #[serde(rename = "held")]
    holders: Vec<PrefixHolder>,
    /// Instances that take requests of others, the seed among them.
    forwarders: Vec<SocketAddr>,
    /// Of the instances that poll the seed and itself, those that keep the origins of streams.
    members: Vec<SocketAddr>,
    /// Evidence on requests and parts of prompts that are held.
    evidence: Vec<ForwardedEvidence>,
}

/// What a seed answers to an [`Exchange`].
///
/// It holds what may be wrong by the time at which it is read: whoever asked knows how long ago it
/// can have been said at most, which a message that nobody asked for doesn't tell.
#[derive(Debug, Serialize, Deserialize)]
struct ExchangeAnswer {
    /// Services with a build that alone can have begun streams.
    sole_builds: Vec<(ServiceId, BuildId)>,
}

/// Sends the other seeds, for as long as the process runs, the number of
/// instances that poll this one and the prompt holders received from them. Each
/// instance polls only one seed, so without this exchange it would learn only
/// from instances that poll the same one.
///
/// Loads are not exchanged this way. After two hops they are two seconds old
/// but would count as known all the same, and sending them showed no benefit.
pub(in crate::control) async fn run_exchange(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(EXCHANGE_INTERVAL).await;
        let now = boot_time();
        let exchange = Exchange {
            peer_address: shared.settings.listen.peers,
            count: shared.pollers().own_count(now),
            holders: shared.directory().take_unsent(now),
            forwarders: shared.forwarders().sample(rand::rng().random(), now),
            members: shared.members().polling(now),
            evidence: evidence_on_held(&shared, now),
        };
        for holder in &exchange.holders {
            shared.update_replica(false, |replica| replica.add_holder(*holder, now));
        }
        if shared.uptime() >= STARTUP_PERIOD {
            let count = shared.pollers().count(now);
            shared.set_instance_count(count, now);
        }
        for peer in shared.settings.other_seeds() {
            if let Err(error) = exchange_with(&shared, peer, &exchange).await {
                log::debug!(peer:% = peer, cause:% = error; "nothing exchanged with the seed");
            }
        }
    }
}

async fn exchange_with(
    shared: &Shared,
    peer: SocketAddr,
    exchange: &Exchange,
) -> Result<(), PeerError> {
    let asked_at = boot_time();
    let bytes = post(shared, peer, EXCHANGE_PATH, exchange).await?;
    let answer: ExchangeAnswer =
        rmp_serde::from_slice(&bytes).map_err(|error| PeerError::Malformed(error.to_string()))?;
    adopt_sole_builds(shared, &answer.sole_builds, asked_at);
    Ok(())
}

/// Sends a message to another instance and returns the bytes of its answer.
///
/// # Errors
///
/// Returns an error if it was not accepted or not answered in time.
pub(super) async fn post<T: Serialize>(
    shared: &Shared,
    peer: SocketAddr,
    path: &str,
    message: &T,
) -> Result<Bytes, PeerError> {
    let body =
        rmp_serde::to_vec(message).map_err(|error| PeerError::Malformed(error.to_string()))?;
    let request = Request::post(path)
        .body(full_body(body))
        .map_err(|error| PeerError::Malformed(error.to_string()))?;
    let response = shared
        .connector
        .send(peer, request, ANSWER_TIMEOUT)
        .await
        .map_err(|error| PeerError::Unreachable(error.to_string()))?;
    if response.status() != StatusCode::OK {
        return Err(PeerError::Status(response.status()));
    }
    let reading = Limited::new(response.into_body(), MAX_MESSAGE_BYTES).collect();
    let read = timeout(ANSWER_TIMEOUT, reading)
        .await
        .map_err(|_elapsed| PeerError::Timeout)?;
    let body = read.map_err(|error| PeerError::Unreachable(error.to_string()))?;
    Ok(body.to_bytes())
}

// Records instances that take requests of others.
pub(super) fn record_forwarders(shared: &Shared, addresses: &[SocketAddr], now: Moment) {
    let mut forwarders = shared.forwarders();
    for address in addresses {
        forwarders.record(*address, now);
    }
}

// Records loads that another instance sent at `sent_at`.
pub(super) fn record_loads(shared: &Shared, loads: &[Load], sent_at: Moment, source: LoadSource) {
    if let Some(oldest) = loads.iter().map(|load| load.age).max() {
        let age = oldest.saturating_add(since(boot_time(), sent_at));
        shared.metrics.loads().record_report_age(source, age);
    }
    let mut stats = shared.endpoint_stats();
    for load in loads {
        stats.record_peer_load(load.endpoint, load.requests, since(sent_at, load.age));
    }
}
