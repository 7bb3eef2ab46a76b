//! What the ports of an instance answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::Body;
use godwitpost_process::serve::Limits;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::policy;
use crate::shared::Shared;

/// How long a caller's connection may be idle or take to send its next head.
///
/// hyper counts both with one timer. Callers use a connection again after up
/// to four fifths of the idle time that the configuration allows them, mostly
/// a quarter of a minute; one that is closed under them just as they send an
/// order leaves its fate unknown, so this is longer.
const HEAD_TIME: Duration = Duration::from_secs(75);

/// Bytes of a head that hyper reads at most; the configuration's limit, mostly
/// 16 KiB, is checked when the head is whole. Buffers grow only as needed.
const HEAD_BYTES: usize = 64 << 10;

/// Returns the limits of the ports that only the system's own sides use.
pub(crate) const fn internal_limits() -> Limits {
    Limits {
        head_bytes: HEAD_BYTES,
        head_time: HEAD_TIME,
        head_within: None,
    }
}

/// Returns the limits of the callers' port, by the configuration in force.
pub(crate) fn caller_limits(shared: &Arc<Shared>) -> Limits {
    let shared = Arc::clone(shared);
    let within = move || {
        let view = shared.view();
        let policy = view.policy.as_ref();
        policy
            .map_or_else(policy::Limits::default, |policy| policy.limits())
            .head_time
    };
    Limits {
        head_within: Some(Arc::new(within)),
        ..internal_limits()
    }
}

/// Answers whether callers should be sent here.
pub(crate) fn readiness(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() != shared.settings.ready_path {
        return text(StatusCode::NOT_FOUND, String::new());
    }
    if shared.is_ready() {
        text(StatusCode::OK, "ready\n".to_owned())
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
    }
}

/// Answers with the metrics.
pub(crate) fn metrics(shared: &Arc<Shared>, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() == "/metrics" {
        shared.update_service_gauges();
        text(StatusCode::OK, shared.metrics.requests().text())
    } else {
        text(StatusCode::NOT_FOUND, "see /metrics\n".to_owned())
    }
}

fn text(status: StatusCode, text: String) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(Into::into);
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}
