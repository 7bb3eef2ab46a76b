//! Messages that instances send to seeds without being polled.
//!
//! Each seed receives holders of prompts from the instances that poll it, and seeds
//! exchange them once a second.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::Body;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{BuildId, ServiceId};
use http::{Request, Response, StatusCode};
use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::evidence::{evidence_on_held, record_messages};
use super::{PeerError, STARTUP_PERIOD, full_body, status_response};
use crate::crashes::ForwardedEvidence;
use crate::holders::PrefixHolder;
use crate::metrics::LoadSource;
use crate::polling::age::ANSWER_TIMEOUT;
use crate::relay::{adopt_sole_builds, sole_builds};
use crate::shared::Shared;
use crate::stats::Load;

pub(super) const EXCHANGE_PATH: &str = "/peer/v6/heard";

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
    adopt_sole_builds(shared, &exchange.sole_builds);
    for holder in exchange.holders {
        if shared.directory().apply_remote(&holder, now) {
            shared.update_replica(false, |replica| replica.add_holder(holder, now));
        }
    }
    status_response(StatusCode::OK)
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
    /// Services with a build that alone can have begun streams.
    sole_builds: Vec<(ServiceId, BuildId)>,
    /// Evidence on requests and parts of prompts that are held.
    evidence: Vec<ForwardedEvidence>,
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
            sole_builds: sole_builds(&shared),
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
            if let Err(error) = post(&shared, peer, EXCHANGE_PATH, &exchange).await {
                log::debug!(peer:% = peer, cause:% = error; "prompt holders not sent to the seed");
            }
        }
    }
}

/// Sends a message to another instance.
///
/// # Errors
///
/// Returns an error if it was not accepted.
pub(super) async fn post<T: Serialize>(
    shared: &Shared,
    peer: SocketAddr,
    path: &str,
    message: &T,
) -> Result<(), PeerError> {
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
    match response.status() {
        StatusCode::OK => Ok(()),
        status => Err(PeerError::Status(status)),
    }
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
