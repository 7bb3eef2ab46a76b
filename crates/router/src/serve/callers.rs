//! The callers' port: validates requests and responds to them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::Body;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{RequestId, WorkspaceId};
use godwitpost_types::outcome::Outcome;
use godwitpost_wire::header;
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Version};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use rand::RngExt as _;

use crate::body;
use crate::body::relay::{EndDetection, Relay};
use crate::problem::Problem;
use crate::relay::{endpoint, entry};
use crate::resolve;
use crate::shared::{Bundle, InFlight, Shared};
use godwitpost_process::metrics::{Labels, Metrics};

/// Timeout of reading a request's body.
const BODY_TIMEOUT: Duration = Duration::from_mins(1);

/// Handles one request.
pub(crate) async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let version = request.version();
    let mut response = match request.uri().path() {
        "/healthz" => probe_response(StatusCode::OK, "alive\n"),
        "/readyz" => readiness(&shared),
        _ => handle_request(&shared, request).await,
    };
    // The balancer's list lags, so it would send more requests on connections
    // that stay open.
    if shared.is_leaving() && version < Version::HTTP_2 {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn readiness(shared: &Shared) -> Response<Body> {
    let (status, text) = if shared.is_leaving() {
        (StatusCode::SERVICE_UNAVAILABLE, "leaving\n")
    } else if shared.ready() {
        (StatusCode::OK, "ready\n")
    } else if shared.is_fleet_listed() {
        (StatusCode::SERVICE_UNAVAILABLE, "no bundle yet\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "no instance list yet\n")
    };
    probe_response(status, text)
}

fn probe_response(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(body::full(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

async fn handle_request(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let began = shared.now();
    let id: RequestId = shared.entry_state().rng.random();
    let in_flight = shared.track_request();
    let mut labels = shared.metrics.unknown_workspace();
    let (parts, mut incoming) = request.into_parts();
    let result =
        try_handle_request(shared, parts, &mut incoming, id, &in_flight, &mut labels).await;
    let mut response = match result {
        Ok((response, permit)) => {
            track_response(shared, response, in_flight, permit, labels, began)
        }
        Err(problem) => {
            let took = since(shared.now(), began);
            let status = problem.status.as_u16();
            shared
                .metrics
                .record_response_head(&labels, problem.outcome, status, took);
            body::discard(incoming).await;
            problem.response()
        }
    };
    let id = HeaderValue::from_str(&endpoint::request_text(id)).expect("hexadecimal digits");
    response.headers_mut().insert(header::REQUEST, id);
    response
}

async fn try_handle_request(
    shared: &Arc<Shared>,
    mut parts: Parts,
    incoming: &mut Incoming,
    id: RequestId,
    in_flight: &InFlight,
    labels: &mut Labels,
) -> Result<(Response<Body>, Permit), Problem> {
    if in_flight.count_before() >= shared.settings.limits.streams {
        return Err(instance_full());
    }
    let snapshot = shared.snapshot();
    let bundle = snapshot.bundle.as_ref().ok_or_else(no_bundle)?;
    check_head(shared, &mut parts)?;
    let head = resolve::read_head(&bundle.policy, &parts, shared.now())?;
    *labels = request_labels(shared, bundle, &head);
    let instances = snapshot.view.instances().count();
    let permit = Permit::admit(shared, bundle, head.workspace, instances)?;
    let body = read_body(shared, &parts, incoming).await?;
    let resolved = resolve::read_body(&bundle.policy, &head, &parts, body, id)?;
    let version = bundle.policy.version;
    let mut response = entry::run(shared, &snapshot, bundle, resolved).await?;
    let status = response.status();
    let headers = response.headers_mut();
    headers.insert(header::VERSION, HeaderValue::from(version));
    let outcome = outcome_of(status);
    headers.insert(header::OUTCOME, HeaderValue::from_static(outcome.as_str()));
    header::add_via(headers, &shared.settings.name);
    Ok((response, permit))
}

// After a server error, the endpoint may have run the request in part or not at
// all.
fn outcome_of(status: StatusCode) -> Outcome {
    if status.is_server_error() {
        Outcome::Unknown
    } else {
        Outcome::Ran
    }
}

/// Counts a request as in flight until the last byte of its response.
fn track_response(
    shared: &Arc<Shared>,
    response: Response<Body>,
    in_flight: InFlight,
    permit: Permit,
    labels: Labels,
    began: Moment,
) -> Response<Body> {
    let status = response.status();
    let took = since(shared.now(), began);
    let outcome = outcome_of(status);
    shared
        .metrics
        .record_response_head(&labels, outcome, status.as_u16(), took);
    let shared = Arc::clone(shared);
    let ended = move |_end| {
        Metrics::record_response_end(&labels, since(shared.now(), began));
        drop((in_flight, permit));
    };
    response.map(|body| Relay::new(body, EndDetection::Framed, ended).boxed_unsync())
}

fn request_labels(shared: &Shared, bundle: &Bundle, head: &resolve::Head<'_>) -> Labels {
    let workspace = bundle.policy.workspaces.get(&head.workspace);
    let class = bundle.policy.classes.get(&head.class);
    shared.metrics.labels(
        workspace.map_or("", |workspace| &workspace.name),
        class.map_or("", |class| &class.name),
    )
}

fn check_head(shared: &Shared, parts: &mut Parts) -> Result<(), Problem> {
    let bytes = parts.uri.to_string().len() + head_bytes(&parts.headers);
    if bytes > shared.settings.limits.head_bytes {
        return Err(Problem::not_run(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "large-head",
            format!(
                "the head has {bytes} bytes, above {}; send fewer or shorter headers",
                shared.settings.limits.head_bytes
            ),
        ));
    }
    let stripped = header::strip(&mut parts.headers);
    if stripped > 0 {
        shared.metrics.stripped(stripped);
    }
    Ok(())
}

fn head_bytes(headers: &HeaderMap) -> usize {
    // A colon, a space and a line end per header.
    const FRAMING: usize = 4;
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + FRAMING)
        .sum()
}

async fn read_body(
    shared: &Shared,
    parts: &Parts,
    incoming: &mut Incoming,
) -> Result<Bytes, Problem> {
    let limit = shared.settings.limits.body_bytes;
    let length = parts.headers.get(CONTENT_LENGTH);
    let length: Option<usize> = length.and_then(|value| value.to_str().ok()?.parse().ok());
    // A declared length above the limit is refused without reading the body.
    if length.is_some_and(|length| length > limit) {
        return Err(body_problem(&body::Error::TooLarge(limit)));
    }
    match tokio::time::timeout(BODY_TIMEOUT, body::collect(incoming, limit)).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(error)) => Err(body_problem(&error)),
        Err(_elapsed) => Err(Problem::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "slow-body",
            "the body took longer than 60 seconds; send it faster",
        )),
    }
}

fn body_problem(error: &body::Error) -> Problem {
    let (status, reason) = match error {
        body::Error::TooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, "large-body"),
        body::Error::Broken(_) => (StatusCode::BAD_REQUEST, "bad-framing"),
    };
    Problem::not_run(status, reason, error.to_string())
}

fn instance_full() -> Problem {
    Problem::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "full",
        "this instance has as many requests as it takes; send it again later",
    )
    .with_retry_after(Duration::from_secs(1))
}

fn no_bundle() -> Problem {
    Problem::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "no-bundle",
        "this instance has no bundle yet; send it again in a few seconds",
    )
    .with_retry_after(Duration::from_secs(2))
}

/// A workspace's admission of one request; released on drop.
#[derive(Debug)]
struct Permit {
    shared: Arc<Shared>,
    workspace: WorkspaceId,
}

impl Permit {
    fn admit(
        shared: &Arc<Shared>,
        bundle: &Bundle,
        id: WorkspaceId,
        instances: usize,
    ) -> Result<Self, Problem> {
        let Some(workspace) = bundle.policy.workspaces.get(&id) else {
            return Err(no_bundle());
        };
        let now = shared.now();
        let mut gate = shared.entry_state();
        gate.limits.admit(now, id, workspace, instances)?;
        Ok(Self {
            shared: Arc::clone(shared),
            workspace: id,
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.shared.entry_state().limits.release(self.workspace);
    }
}
