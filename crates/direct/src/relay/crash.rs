//! Detects whether an endpoint crashed while it ran a request.
//!
//! A broken connection alone is weak evidence: responses get lost, links fail and
//! connections are reset. A crashed endpoint refuses the next connection, a live one
//! accepts it, and one whose machine is down doesn't answer at all. Where the path to the
//! endpoint is cut, its connections are refused as well, but not those of other instances.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{BodyDigest, PartId};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::forward::is_reached_by_others;
use super::payload::Refusal;
use super::{InFlightRequest, Job};
use crate::control::peers::{record_own_evidence, tell_answers};
use crate::crashes::{Evidence, MAX_CRASH_TIME, Observed, loggable_digest};
use crate::metrics::{CheckResult, EvidenceSource};
use crate::notices::Notice;
use crate::roster::Registration;
use crate::shared::Shared;
use crate::stats::Observation;

/// How long to wait for a connection to be refused. A live machine refuses within a round
/// trip.
const CONNECT_REFUSAL_TIMEOUT: Duration = Duration::from_millis(250);

/// A request that was in flight when its connection to the endpoint broke.
pub(super) struct BrokenRequest {
    pub(super) request: String,
    /// The name of its workspace, or what logs show in its place.
    pub(super) workspace: String,
    pub(super) digest: BodyDigest,
    /// The parts of its prompt that other requests may share.
    pub(super) parts: Vec<PartId>,
    pub(super) sent_at: Moment,
    /// When the first data of its response's body arrived.
    pub(super) began_at: Option<Moment>,
    pub(super) registration: Arc<Registration>,
}

/// Checks whether the endpoint crashed, and records the evidence if it did.
pub(super) async fn check_for_crash(shared: Arc<Shared>, broken: BrokenRequest) {
    let at = boot_time();
    let endpoint = &broken.registration.endpoint;
    let checks = &shared.metrics.crashes();
    if !refuses_connection(endpoint.address).await {
        checks.count_check(CheckResult::Accepts);
        log::info!(
            request:% = broken.request, endpoint:% = endpoint.name;
            "connection broke; the endpoint did not refuse another one and counts as running"
        );
        return;
    }
    // A path that is cut breaks connections and refuses new ones as a crash does.
    if is_reached_by_others(&shared, &broken.registration).await {
        checks.count_check(CheckResult::ReachedByOthers);
        log::info!(
            request:% = broken.request, endpoint:% = endpoint.name;
            "connection broke with the path; the endpoint did not crash"
        );
        return;
    }
    // Marks the endpoint as down now, as the next request to it would.
    shared.mark_endpoint_down(endpoint, Observation::RefusesAfterBreak);
    // Quarantining the requests that ran there would refuse sound ones.
    if shared
        .fragility()
        .may_crash_of_load(endpoint.service, endpoint.id, at)
    {
        checks.count_check(CheckResult::Overloaded);
        log::warn!(
            request:% = broken.request, endpoint:% = endpoint.name;
            "endpoint crashed while it was full; not counted against the request"
        );
        return;
    }
    checks.count_check(CheckResult::Crashed);
    checks.count_evidence(EvidenceSource::Own);
    let is_writing = |began_at| since(at, began_at) > MAX_CRASH_TIME;
    let parts = if broken.began_at.is_some_and(is_writing) {
        Vec::new()
    } else {
        broken.parts
    };
    record_own_evidence(
        &shared,
        Evidence {
            service: endpoint.service,
            digest: broken.digest,
            parts: parts.clone(),
            observed: Observed::Crashed(endpoint.id),
            sent_at: broken.sent_at,
            observed_at: at,
        },
    );
    let chain_length = shared.crash_tracker().chain_length(&broken.digest);
    log::warn!(
        request:% = broken.request, endpoint:% = endpoint.name, chain = chain_length,
        workspace:% = broken.workspace, digest:% = loggable_digest(&broken.digest),
        parts:? = parts, sent_ms_ago:% = since(at, broken.sent_at).as_millis(),
        wrote_ms:? = broken.began_at.map(|began_at| since(at, began_at).as_millis());
        "endpoint crashed while it ran the request"
    );
}

/// Returns whether an endpoint that closed a connection in order refuses others, and whether it
/// is leaving. The system closes the connections of a process that crashes as the process
/// itself does.
pub(super) async fn judge_refusal(shared: &Shared, registration: &Registration) -> Refusal {
    if !refuses_connection(registration.endpoint.address).await {
        return Refusal::None;
    }
    if !is_live(shared, registration) {
        return Refusal::Leaving;
    }
    if is_reached_by_others(shared, registration).await {
        return Refusal::None;
    }
    Refusal::Unexpected
}

/// Returns whether an endpoint is still said to run and not to be leaving.
pub(super) fn is_live(shared: &Shared, registration: &Registration) -> bool {
    let (id, service) = (registration.endpoint.id, registration.endpoint.service);
    let view = shared.view();
    let mut listed = view.usable(service).iter().chain(view.evacuated(service));
    let is_listed = listed.any(|one| one.endpoint.id == id);
    is_listed && shared.notices().get(id, boot_time()) != Some(Notice::Leaving)
}

/// Records that a request completed, which is evidence that it doesn't crash endpoints.
/// A failure is none: an endpoint that ran out of time may not have begun to answer.
pub(super) fn record_completed(in_flight: &InFlightRequest, job: &Job) {
    record_answered_parts(in_flight, job);
    let shared = in_flight.shared();
    if shared.crash_tracker().is_empty() {
        return;
    }
    let digest = job.digest();
    let chain_length = shared.crash_tracker().chain_length(&digest);
    if chain_length == 0 {
        return;
    }
    log::info!(
        request:% = job.id(), chain = chain_length, workspace:% = job.workspace_name(),
        digest:% = loggable_digest(&digest);
        "request completed; earlier crashes are not counted against it"
    );
    record_own_evidence(
        shared,
        Evidence {
            service: in_flight.registration().endpoint.service,
            digest,
            parts: Vec::new(),
            observed: Observed::Answered,
            sent_at: in_flight.began_at(),
            observed_at: boot_time(),
        },
    );
}

/// Records that an endpoint answered a request without crashing, which is evidence that
/// the parts of its prompt don't crash endpoints.
pub(super) fn record_answered_parts(in_flight: &InFlightRequest, job: &Job) {
    let parts = job.fields.parts_shared_with_others();
    if parts.is_empty() {
        return;
    }
    let shared = in_flight.shared();
    let service = in_flight.registration().endpoint.service;
    shared.crash_tracker().record_answered_parts(
        service,
        &parts,
        in_flight.began_at(),
        boot_time(),
    );
    tell_answers(shared);
}

async fn refuses_connection(address: SocketAddr) -> bool {
    let connection = timeout(CONNECT_REFUSAL_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connection, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
