//! Messages about endpoints near or above the load bound.
//!
//! An instance sends them to all seeds, each of which answers the instances that poll it.

use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::Body;
use godwitpost_types::clock::{Moment, since};
use http::{Response, StatusCode};
use tokio::task::JoinSet;

use super::passing::post;
use super::status_response;
use crate::metrics::LoadSource;
use crate::shared::Shared;
use crate::stats::Overload;

pub(super) const OVERLOADS_PATH: &str = "/peer/v2/overloads";

/// How long an overload waits for more before all are sent to the seeds.
const BATCH_DELAY: Duration = Duration::from_millis(30);

/// Applies a message of another instance.
pub(super) fn handle_overloads(shared: &Shared, body: &[u8], now: Moment) -> Response<Body> {
    let Ok(loads) = rmp_serde::from_slice::<Vec<Overload>>(body) else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    record_overloads(shared, &loads, now, LoadSource::Poll);
    status_response(StatusCode::OK)
}

/// Records overloads that another instance sent at `sent_at`, and tells the instances that
/// poll this one.
pub(super) fn record_overloads(
    shared: &Shared,
    loads: &[Overload],
    sent_at: Moment,
    source: LoadSource,
) {
    if loads.is_empty() {
        return;
    }
    let mut stats = shared.endpoint_stats();
    let is_newer = |overload: &&Overload| {
        let at = since(sent_at, overload.age);
        match overload.requests {
            Some(requests) => stats.record_overload(overload.endpoint, requests, at),
            None => stats.record_silence(overload.endpoint, at),
        }
    };
    let newer: Vec<Overload> = loads.iter().filter(is_newer).copied().collect();
    drop(stats);
    let metrics = shared.metrics.loads();
    metrics.count_overloads(source, newer.len());
    if newer.is_empty() {
        return;
    }
    let oldest = newer.iter().map(|load| load.age).max().unwrap_or_default();
    let silent = newer.iter().filter(|one| one.requests.is_none()).count();
    log::info!(endpoints = newer.len(), silent = silent, told_by:% = source.as_str(), age_ms:% = oldest.as_millis(); "endpoints learned to be near the load bound");
    publish(shared, &newer, sent_at);
}

/// Sends the seeds, for as long as the process runs, the overloads that this instance
/// finds.
pub(in crate::control) async fn send_overloads(shared: Arc<Shared>) {
    loop {
        shared.overload_added().notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        let now = boot_time();
        let loads = shared.overloads().take_unsent(now);
        if loads.is_empty() {
            continue;
        }
        log::info!(endpoints = loads.len(); "telling others of endpoints near the load bound");
        publish(&shared, &loads, now);
        send_to_seeds(&shared, &Arc::new(loads)).await;
    }
}

// Sends the seeds a message at the same time, as some of them may be gone.
async fn send_to_seeds(shared: &Arc<Shared>, loads: &Arc<Vec<Overload>>) {
    let mut sending = JoinSet::new();
    for seed in shared.settings.other_seeds() {
        let (shared, loads) = (Arc::clone(shared), Arc::clone(loads));
        sending.spawn(async move {
            if let Err(error) = post(&shared, seed, OVERLOADS_PATH, &*loads).await {
                log::info!(peer:% = seed, cause:% = error; "overloads not sent to the seed");
            }
        });
    }
    while sending.join_next().await.is_some() {}
}

// Answers the instances that poll this one.
fn publish(shared: &Shared, loads: &[Overload], sent_at: Moment) {
    shared.update_replica(true, |replica| {
        for load in loads {
            let reported_at = since(sent_at, load.age);
            replica.add_overload(load.endpoint, load.requests, reported_at);
        }
    });
}
