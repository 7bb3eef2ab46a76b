//! The operators' port: metrics and the state of this instance.

use std::net::SocketAddr;

use bytes::Bytes;
use godwitpost_client::connect::Body;
use godwitpost_types::endpoint::Standing;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;

use crate::body;
use crate::shared::Shared;

#[derive(Serialize)]
struct BundleAnswer<'a> {
    name: &'a str,
    version: u64,
    root: String,
}

#[derive(Serialize)]
struct EndpointAnswer<'a> {
    name: &'a str,
    incarnation: u64,
    standing: Standing,
    address: SocketAddr,
    owner: Option<&'a str>,
    owned_here: bool,
    work: u64,
}

#[derive(Serialize)]
struct QuarantineAnswer {
    digest: String,
    endpoint: u64,
    kind: String,
    at_ms: u64,
}

/// Handles an operator's request.
pub(crate) fn handle(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    if request.method() != Method::GET {
        return plain(
            StatusCode::METHOD_NOT_ALLOWED,
            "only GET is answered here\n",
        );
    }
    match request.uri().path() {
        "/metrics" => plain(StatusCode::OK, shared.metrics.text()),
        "/bundle" => bundle(shared),
        "/endpoints" => endpoints(shared),
        "/quarantine" => quarantine(shared),
        _ => plain(
            StatusCode::NOT_FOUND,
            "there are /metrics, /bundle, /endpoints and /quarantine\n",
        ),
    }
}

fn bundle(shared: &Shared) -> Response<Body> {
    let snapshot = shared.snapshot();
    let bundle = snapshot.bundle.as_ref();
    json(&BundleAnswer {
        name: &shared.settings.name,
        version: bundle.map_or(0, |bundle| bundle.policy.version),
        root: bundle.map_or_else(String::new, |bundle| bundle.root.to_string()),
    })
}

fn endpoints(shared: &Shared) -> Response<Body> {
    let snapshot = shared.snapshot();
    let view = &snapshot.view;
    let answers: Vec<EndpointAnswer<'_>> = view
        .endpoints()
        .map(|endpoint| {
            let owner = view.owner(endpoint.id);
            EndpointAnswer {
                name: &endpoint.name,
                incarnation: endpoint.incarnation,
                standing: endpoint.standing,
                address: endpoint.address,
                owner: view.instance(owner).map(|instance| instance.name.as_str()),
                owned_here: owner == shared.local(),
                work: shared.owner.with(|owner| owner.load(endpoint.id)),
            }
        })
        .collect();
    json(&answers)
}

fn quarantine(shared: &Shared) -> Response<Body> {
    let records = shared.owner.with(|owner| owner.quarantine().records());
    let answers: Vec<QuarantineAnswer> = records
        .iter()
        .map(|evidence| QuarantineAnswer {
            digest: format!("{:032x}", u128::from_be_bytes(evidence.digest)),
            endpoint: evidence.endpoint,
            kind: format!("{:?}", evidence.kind).to_lowercase(),
            at_ms: u64::try_from(evidence.at.as_millis()).unwrap_or(u64::MAX),
        })
        .collect();
    json(&answers)
}

fn json<T: Serialize>(value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(body::full(Bytes::from(bytes)));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(body::full(text.into()));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
