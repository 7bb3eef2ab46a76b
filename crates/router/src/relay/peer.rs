//! Sealed messages to other instances, and their responses.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::{self, Cause, ResponseBody};
use godwitpost_decide::ending::Ending;
use godwitpost_decide::quarantine::Evidence;
use godwitpost_decide::view::Pool;
use godwitpost_types::clock::since;
use godwitpost_types::instance::Instance;
use godwitpost_wire::auth::Message;
use godwitpost_wire::dispatch::{self, Kind, Reply};
use godwitpost_wire::frame::Frame;
use godwitpost_wire::header;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode};

use super::{AttemptResult, Job};
use crate::body;
use crate::shared::Shared;

/// Maximum size of a reply other than an endpoint's response. A hop with its
/// evidence takes a few kilobytes.
const MAX_REPLY_BYTES: usize = 256 << 10;

/// How long after the caller's deadline to wait for an owner's response. The
/// owner stops at the same deadline, and its reply on whether the request was
/// run still has to arrive.
const RESPONSE_GRACE: Duration = Duration::from_millis(300);

/// How an exchange with another instance failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Nothing was sent to it.
    NotSent,
    /// It may have processed the message.
    Unknown(Ending),
}

/// Sends a request to the instance that owns the endpoint in its hop.
///
/// # Errors
///
/// Returns the failure if the instance did not respond.
pub(crate) async fn dispatch(
    shared: &Arc<Shared>,
    instance: &Instance,
    job: &Job,
) -> Result<AttemptResult, Failure> {
    let bytes = Frame {
        head: job.packed(),
        body: job.body.clone(),
    }
    .encode();
    let wait = since(job.head.request.deadline, shared.now()) + RESPONSE_GRACE;
    let request = sealed(shared, instance, Method::POST, dispatch::PATH, &bytes);
    let response = shared
        .connector
        .send(instance.peer_address, request, wait)
        .await
        .map_err(|error| failure(&error))?;
    record_bundle_version(shared, instance, &response);
    record_load(shared, instance, job, &response);
    parse_response(job, response).await
}

/// The HTTP path for evidence against requests.
pub(crate) const EVIDENCE_PATH: &str = "/peer/v1/evidence";

/// How long a failed request's caller waits for the evidence to be sent.
const EVIDENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends the evidence against a request to an instance.
pub(crate) async fn send_evidence(shared: &Shared, instance: &Instance, evidence: &[Evidence]) {
    let bytes = Bytes::from(rmp_serde::to_vec(evidence).unwrap_or_default());
    let request = sealed(shared, instance, Method::POST, EVIDENCE_PATH, &bytes);
    let sent = shared
        .control_connector
        .send(instance.peer_address, request, EVIDENCE_TIMEOUT);
    if let Err(error) = sent.await {
        log::debug!(instance:% = instance.name, error:% = error; "can't send evidence");
    }
}

/// Returns a sealed message.
pub(crate) fn sealed(
    shared: &Shared,
    instance: &Instance,
    method: Method,
    path: &str,
    bytes: &Bytes,
) -> Request<connect::Body> {
    let message = Message {
        method: method.as_str(),
        path,
        sender: &shared.settings.name,
        receiver: &instance.name,
        body: bytes,
    };
    let mut request = Request::new(body::full(bytes.clone()));
    let headers = request.headers_mut();
    let key = &shared.settings.fleet_key;
    key.seal(&message, shared.now(), headers);
    headers.insert(header::BUNDLE, HeaderValue::from(shared.version()));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().expect("paths between instances are ASCII");
    request
}

/// Records the bundle version that an instance reports.
pub(crate) fn record_bundle_version<B>(
    shared: &Shared,
    instance: &Instance,
    response: &Response<B>,
) {
    let version = response
        .headers()
        .get(header::BUNDLE)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    if let Some(version) = version {
        crate::control::report_peer_version(shared, instance.id, version);
    }
}

// Each response has the owner's load in a header; it is newer than gossip.
fn record_load<B>(shared: &Shared, instance: &Instance, job: &Job, response: &Response<B>) {
    let load = response.headers().get(header::LOAD);
    let pool = Pool::for_request(&job.head.request);
    let summary = load
        .and_then(|value| value.to_str().ok())
        .and_then(|text| dispatch::parse_load(text, instance.id, pool));
    if let Some(summary) = summary {
        shared
            .owner
            .with(|owner| owner.record_summaries(&[summary]));
    }
}

pub(crate) fn failure(error: &connect::Error) -> Failure {
    match error {
        connect::Error::NotSent { .. } => Failure::NotSent,
        connect::Error::Unknown(Cause::ResponseTimeout) => Failure::Unknown(Ending::Timeout),
        connect::Error::Unknown(_) => Failure::Unknown(Ending::Broken),
    }
}

async fn parse_response(
    job: &Job,
    response: Response<ResponseBody>,
) -> Result<AttemptResult, Failure> {
    let broken = Failure::Unknown(Ending::Broken);
    let headers = response.headers();
    let text = |name: HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    // Only the response to this very attempt is accepted: a late response to
    // another request must never reach this caller.
    let attempt = text(header::ATTEMPT).and_then(|text| u64::from_str_radix(text, 16).ok());
    let kind = text(header::KIND).and_then(Kind::parse);
    match kind {
        _ if response.status() == StatusCode::UNAUTHORIZED => Err(Failure::NotSent),
        _ if attempt != Some(job.head.attempt) => Err(broken),
        Some(Kind::Relayed) => {
            let (mut parts, received) = response.into_parts();
            header::strip(&mut parts.headers);
            header::strip_connection(&mut parts.headers);
            let body = received.boxed();
            Ok(AttemptResult::Response(Response::from_parts(parts, body)))
        }
        Some(Kind::Reply) => read_reply(response)
            .await
            .map(AttemptResult::Reply)
            .ok_or(broken),
        None => Err(broken),
    }
}

async fn read_reply(response: Response<ResponseBody>) -> Option<Reply> {
    let read = body::collect(response.into_body(), MAX_REPLY_BYTES);
    let bytes = tokio::time::timeout(REPLY_BODY_TIMEOUT, read)
        .await
        .ok()?
        .ok()?;
    rmp_serde::from_slice(&bytes).ok()
}

/// How long the body of a reply may take after its head.
const REPLY_BODY_TIMEOUT: Duration = Duration::from_secs(2);
