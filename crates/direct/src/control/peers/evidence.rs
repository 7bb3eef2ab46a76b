//! Shares evidence on what crashes endpoints with the other instances.
//!
//! It is sent to the seeds at once, each of which sends it to the instances that poll it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::Body;
use godwitpost_types::clock::{Moment, since};
use http::{Response, StatusCode};
use log::Level;
use rand::RngExt;

use super::passing::post;
use super::{PeerError, status_response};
use crate::crashes::{Change, Evidence, ForwardedEvidence, Observed, Suspicion, loggable_digest};
use crate::metrics::EvidenceSource;
use crate::roster::Registration;
use crate::shared::Shared;

pub(super) const EVIDENCE_PATH: &str = "/peer/v3/evidence";

/// How long evidence waits for more before it is forwarded. An endpoint that
/// terminates breaks all its requests within a few milliseconds.
const EVIDENCE_BATCH_DELAY: Duration = Duration::from_millis(30);

/// The pause after which evidence is sent again to a seed that didn't take it.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// How often evidence is sent to a seed. One that is killed is back within some seconds.
const MAX_TRIES: u32 = 10;

/// The time over which all instances spread what they tell of answers, for each of them.
/// Many know that a part which many requests share is answered, and whoever hears it
/// from another one in time keeps quiet.
const TELLING_SPREAD: Duration = Duration::from_millis(1);

/// The number of instances as long as it isn't known.
const DEFAULT_INSTANCES: u32 = 256;

/// Records evidence of this instance and tells the others.
pub(crate) fn record_own_evidence(shared: &Arc<Shared>, evidence: Evidence) {
    shared.crash_tracker().record_local(evidence);
    report_changes(shared);
    forward_evidence(shared);
    tell_answers(shared);
}

/// Tells the others of answers that were recorded, if that is news.
pub(crate) fn tell_answers(shared: &Arc<Shared>) {
    if !shared.crash_tracker().begin_telling() {
        return;
    }
    let instances = shared
        .instance_count(boot_time())
        .unwrap_or(DEFAULT_INSTANCES);
    let spread = (TELLING_SPREAD * instances).mul_f64(rand::rng().random());
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        tokio::time::sleep(EVIDENCE_BATCH_DELAY + spread).await;
        let answers = shared.crash_tracker().take_untold_answers();
        report_changes(&shared);
        send_to_seeds(&shared, answers);
    });
}

/// Records evidence of another instance, and publishes it to the instances that poll this
/// one if it is new.
pub(in crate::control) fn record_evidence(
    shared: &Arc<Shared>,
    evidence: &Evidence,
    source: EvidenceSource,
) {
    let mut crash_tracker = shared.crash_tracker();
    let is_new = crash_tracker.record(evidence);
    let chain_length = crash_tracker.chain_length(&evidence.digest);
    drop(crash_tracker);
    if !is_new {
        return;
    }
    shared.metrics.crashes().count_evidence(source);
    // An endpoint that ends leaves a line for each of its requests; those that were at one
    // end alone would displace all others.
    let level = if chain_length > 1 || evidence.observed == Observed::PartsAnswered {
        Level::Info
    } else {
        Level::Debug
    };
    log::log!(
        level,
        observed:? = evidence.observed, parts:? = evidence.parts, chain = chain_length,
        digest:% = loggable_digest(&evidence.digest),
        source:% = source.as_str(), age_ms:% = since(boot_time(), evidence.observed_at).as_millis();
        "evidence received on a request that may crash endpoints"
    );
    report_changes(shared);
    shared.update_replica(true, |replica| replica.add_evidence(evidence.clone()));
    tell_answers(shared);
}

/// Withdraws the evidence that endpoints ended which still ran at `running_at`.
///
/// Nobody is told: each instance finds it by the same entries of the log.
pub(in crate::control) fn withdraw_evidence<'a>(
    shared: &Shared,
    running: impl Iterator<Item = &'a Arc<Registration>>,
    running_at: Moment,
) {
    let ended = shared.crash_tracker().ended_by(running_at);
    if ended.is_empty() {
        return;
    }
    for one in running.filter(|one| ended.contains(&one.endpoint.id)) {
        shared.crash_tracker().withdraw(one.endpoint.id, running_at);
        shared.metrics.crashes().count_withdrawal();
        log::info!(
            endpoint:% = one.endpoint.name,
            running_ms_ago:% = since(boot_time(), running_at).as_millis();
            "endpoint did not crash: it still runs; not counted against requests any more"
        );
    }
    report_changes(shared);
}

// Applies evidence from another instance.
pub(super) fn handle_evidence(shared: &Arc<Shared>, body: &[u8], now: Moment) -> Response<Body> {
    let Ok(messages) = rmp_serde::from_slice::<Vec<ForwardedEvidence>>(body) else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    record_messages(shared, &messages, now);
    status_response(StatusCode::OK)
}

/// Records evidence that another instance sent.
pub(super) fn record_messages(
    shared: &Arc<Shared>,
    messages: &[ForwardedEvidence],
    received_at: Moment,
) {
    for message in messages {
        let evidence = message.to_evidence(received_at);
        record_evidence(shared, &evidence, EvidenceSource::Message);
    }
}

/// Returns the evidence on what is held, for instances that may have missed it.
pub(super) fn evidence_on_held(shared: &Shared, now: Moment) -> Vec<ForwardedEvidence> {
    let evidence = shared.crash_tracker().evidence_on_held();
    let evidence = evidence.iter();
    evidence
        .map(|one| ForwardedEvidence::from_evidence(one, now))
        .collect()
}

// Forwards the evidence that this instance has collected to the seeds, each of which sends
// it to the instances that poll it.
fn forward_evidence(shared: &Arc<Shared>) {
    if shared.crash_tracker().begin_forwarding() {
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            tokio::time::sleep(EVIDENCE_BATCH_DELAY).await;
            let evidence = shared.crash_tracker().take_unforwarded();
            send_to_seeds(&shared, evidence);
        });
    }
}

fn send_to_seeds(shared: &Arc<Shared>, evidence: Vec<Evidence>) {
    if evidence.is_empty() {
        return;
    }
    for one in &evidence {
        shared.update_replica(true, |replica| replica.add_evidence(one.clone()));
    }
    let evidence = Arc::new(evidence);
    for seed in shared.settings.other_seeds() {
        let (shared, evidence) = (Arc::clone(shared), Arc::clone(&evidence));
        tokio::spawn(async move { send_until_taken(&shared, seed, &evidence).await });
    }
}

// Sends evidence to a seed, again for a while if the seed doesn't take it. Seeds are killed
// and cut off like others, and nobody else has seen these crashes.
async fn send_until_taken(shared: &Shared, seed: SocketAddr, evidence: &[Evidence]) {
    for tries in 1..=MAX_TRIES {
        let Err(error) = send_evidence(shared, seed, evidence).await else {
            return;
        };
        log::info!(peer:% = seed, cause:% = error, tries = tries; "evidence not forwarded");
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn send_evidence(
    shared: &Shared,
    peer: SocketAddr,
    evidence: &[Evidence],
) -> Result<(), PeerError> {
    let now = boot_time();
    let messages: Vec<ForwardedEvidence> = evidence
        .iter()
        .map(|one| ForwardedEvidence::from_evidence(one, now))
        .collect();
    post(shared, peer, EVIDENCE_PATH, &messages).await.map(drop)
}

// Logs which parts are suspected of crashing endpoints from now on, and wakes the requests
// that wait at endpoints if some are to be held.
fn report_changes(shared: &Shared) {
    let mut crash_tracker = shared.crash_tracker();
    let changes = crash_tracker.take_changes();
    if changes.is_empty() {
        return;
    }
    let (suspects, held) = crash_tracker.part_counts();
    drop(crash_tracker);
    shared.metrics.crashes().record_parts(suspects, held);
    for change in &changes {
        log_change(shared, change);
    }
    if changes.iter().any(|one| one.suspicion == Suspicion::Held) {
        shared.part_held().notify_waiters();
    }
}

fn log_change(shared: &Shared, change: &Change) {
    let (service, part) = change.part;
    let view = shared.view();
    let service = view.service_name(service);
    let links = change.links;
    match change.suspicion {
        Suspicion::None => log::info!(
            service:% = service, part = part, chain = links;
            "part of prompts no longer suspected of crashing endpoints"
        ),
        Suspicion::Suspect => log::warn!(
            service:% = service, part = part, chain = links;
            "part of prompts suspected of crashing endpoints; requests with it are not repeated"
        ),
        Suspicion::Held => log::warn!(
            service:% = service, part = part, chain = links;
            "part of prompts crashes endpoints; requests with it are held"
        ),
    }
}
