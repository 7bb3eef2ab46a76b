//! The peers' port: accepts only messages sealed by the fleet's instances.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::Body;
use godwitpost_decide::view::Pool;
use godwitpost_state::claim::{Item, Lookup, Verdict, batch};
use godwitpost_state::gossip::Message;
use godwitpost_types::id::{self, BodyDigest, KeyDigest};
use godwitpost_wire::dispatch::{self, Head, Kind};
use godwitpost_wire::frame::Frame;
use godwitpost_wire::header;
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::sync::oneshot;

use crate::body;
use crate::body::relay::{EndDetection, Relay};
use crate::claims;
use crate::control::{Event, bundles, gossip};
use crate::handover;
use crate::relay::{AttemptResult, Job, owner, peer};
use crate::shared::Shared;

/// Limit on the size of a message besides the caller's body: its head in the
/// frame.
const MAX_FRAME_HEAD_BYTES: usize = 256 << 10;

/// Timeout of reading a peer's message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Handles one message.
pub(crate) async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let (parts, incoming) = request.into_parts();
    let limit = shared.settings.limits.body_bytes + MAX_FRAME_HEAD_BYTES;
    let read = tokio::time::timeout(MESSAGE_TIMEOUT, body::collect(incoming, limit)).await;
    let Ok(Ok(bytes)) = read else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let mut response = match authenticate(&shared, &parts, &bytes) {
        Ok(()) => route(&shared, &parts, bytes).await,
        Err(refusal) => refusal,
    };
    let version = HeaderValue::from(shared.version());
    response.headers_mut().insert(header::BUNDLE, version);
    response
}

// A message without a valid seal is counted and refused without details.
#[expect(
    clippy::result_large_err,
    reason = "the refusal is the response itself"
)]
fn authenticate(shared: &Shared, parts: &Parts, bytes: &Bytes) -> Result<(), Response<Body>> {
    let path = parts
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    let place = (parts.method.as_str(), path, shared.settings.name.as_str());
    let key = &shared.settings.fleet_key;
    match key.check(place, bytes, shared.now(), &parts.headers) {
        Ok(sender) => {
            record_sender_version(shared, sender, parts);
            Ok(())
        }
        Err(error) => {
            shared.metrics.count_unauthenticated();
            log::warn!(path:% = parts.uri.path(), error:% = error; "peer message refused");
            Err(empty_response(StatusCode::UNAUTHORIZED))
        }
    }
}

fn record_sender_version(shared: &Shared, sender: &str, parts: &Parts) {
    let version = parts.headers.get(header::BUNDLE);
    let version = version.and_then(|value| value.to_str().ok()?.parse().ok());
    if let Some(version) = version {
        crate::control::report_peer_version(shared, id::from_name(sender), version);
    }
}

async fn route(shared: &Arc<Shared>, parts: &Parts, bytes: Bytes) -> Response<Body> {
    match (&parts.method, parts.uri.path()) {
        (&Method::POST, dispatch::PATH) => handle_dispatch(shared, &bytes).await,
        (&Method::POST, claims::PATH) => handle_claim(shared, &bytes).await,
        (&Method::POST, claims::RESPONSE_PATH) => handle_response_request(shared, &bytes),
        (&Method::POST, peer::EVIDENCE_PATH) => handle_evidence(shared, &bytes),
        (&Method::POST, gossip::PATH) => handle_gossip(shared, &bytes).await,
        (&Method::POST, handover::PATH) => handle_handover(shared, &bytes),
        (&Method::GET, bundles::PATH) => handle_bundle_request(shared, parts).await,
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

async fn handle_dispatch(shared: &Arc<Shared>, bytes: &Bytes) -> Response<Body> {
    let in_flight = shared.track_request();
    let Ok(Frame { head, body }) = Frame::<Head>::decode(bytes) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let attempt = head.attempt;
    let pool = Pool::for_request(&head.request);
    let (kind, mut response) = match owner::serve(shared, &Job::received(head, body)).await {
        AttemptResult::Response(mut response) => {
            header::add_via(response.headers_mut(), &shared.settings.name);
            (Kind::Relayed, response)
        }
        AttemptResult::Reply(reply) => {
            let bytes = rmp_serde::to_vec(&reply).unwrap_or_default();
            (Kind::Reply, Response::new(body::full(Bytes::from(bytes))))
        }
    };
    let headers = response.headers_mut();
    headers.insert(header::KIND, HeaderValue::from_static(kind.as_str()));
    if let Ok(attempt) = HeaderValue::from_str(&format!("{attempt:x}")) {
        headers.insert(header::ATTEMPT, attempt);
    }
    let now = shared.now();
    let summary = shared.owner.with(|owner| owner.summary(now, pool));
    if let Ok(load) = HeaderValue::from_str(&dispatch::format_load(&summary)) {
        headers.insert(header::LOAD, load);
    }
    // A stream that this instance relays is in flight until it ends.
    response.map(|body| {
        Relay::new(body, EndDetection::Framed, move |_end| drop(in_flight)).boxed_unsync()
    })
}

async fn handle_claim(shared: &Shared, bytes: &Bytes) -> Response<Body> {
    let Ok(items) = batch::decode(bytes) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let mut verdict = Verdict::Unavailable;
    for item in items {
        let is_claim = matches!(item, Item::Claim(_));
        let (reply, response) = oneshot::channel();
        let event = Event::Claim { item, reply };
        if shared.control.send(event).await.is_err() {
            break;
        }
        if is_claim {
            verdict = response.await.unwrap_or(Verdict::Unavailable);
        }
    }
    let bytes = rmp_serde::to_vec(&verdict).unwrap_or_default();
    Response::new(body::full(Bytes::from(bytes)))
}

fn handle_response_request(shared: &Shared, bytes: &Bytes) -> Response<Body> {
    let Ok((key, digest)) = rmp_serde::from_slice::<(KeyDigest, BodyDigest)>(bytes) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let mut claims = shared.claims.lock();
    match claims.responses.get(shared.now(), &key, &digest) {
        Lookup::Hit(cached) => Response::new(body::full(cached.encode())),
        Lookup::OtherBody | Lookup::Miss => empty_response(StatusCode::NOT_FOUND),
    }
}

async fn handle_gossip(shared: &Shared, bytes: &Bytes) -> Response<Body> {
    let Ok(message) = Message::decode(bytes) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let (reply, response) = oneshot::channel();
    let event = Event::GossipRequest(message, bytes.len(), reply);
    if shared.control.send(event).await.is_err() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    match response.await {
        Ok(Some(bytes)) => Response::new(body::full(bytes)),
        Ok(None) => empty_response(StatusCode::TOO_MANY_REQUESTS),
        Err(_gone) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn handle_evidence(shared: &Shared, bytes: &Bytes) -> Response<Body> {
    let Ok(evidence) = rmp_serde::from_slice::<Vec<_>>(bytes) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    shared.owner.with(|owner| owner.record_evidence(&evidence));
    empty_response(StatusCode::OK)
}

fn handle_handover(shared: &Shared, bytes: &Bytes) -> Response<Body> {
    let Ok(locations) = rmp_serde::from_slice::<Vec<_>>(bytes) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    shared.owner.with(|owner| owner.accept_handover(&locations));
    empty_response(StatusCode::OK)
}

async fn handle_bundle_request(shared: &Shared, parts: &Parts) -> Response<Body> {
    let since = parts
        .uri
        .query()
        .and_then(|query| query.strip_prefix("since=")?.parse().ok())
        .unwrap_or(0);
    let (reply, response) = oneshot::channel();
    let event = Event::BundleRequest(since, reply);
    if shared.control.send(event).await.is_err() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    match response.await {
        Ok(Some(bytes)) => Response::new(body::full(bytes)),
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(body::full(Bytes::new()));
    *response.status_mut() = status;
    response
}
