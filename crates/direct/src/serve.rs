//! The limits of an instance's ports, and the answers to probes and collectors.

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
/// hyper measures both with one timer. Callers reuse a connection after up to
/// four fifths of the idle time that the configuration allows them, which is
/// mostly a quarter of a minute. A connection that is closed just as a caller
/// sends an order leaves its outcome unknown, so this time is longer.
const IDLE_AND_HEAD_TIMEOUT: Duration = Duration::from_secs(75);

/// The largest head that hyper reads. The configuration's limit, mostly 16 KiB,
/// is checked once the head is complete. Buffers grow only as needed.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Returns the limits of the ports that only the system's own components use.
pub(crate) const fn internal_limits() -> Limits {
    Limits {
        head_bytes: MAX_HEAD_BYTES,
        head_time: IDLE_AND_HEAD_TIMEOUT,
        head_timeout: None,
    }
}

/// Returns the limits of the callers' port under the configuration in force.
pub(crate) fn caller_limits(shared: &Arc<Shared>) -> Limits {
    let shared = Arc::clone(shared);
    let head_timeout = move || {
        let view = shared.view();
        let policy = view.policy.as_ref();
        policy
            .map_or_else(policy::Limits::default, |policy| policy.limits())
            .head_time
    };
    Limits {
        head_timeout: Some(Arc::new(head_timeout)),
        ..internal_limits()
    }
}

/// Answers whether the balancer should send callers here.
pub(crate) fn readiness(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() != shared.settings.ready_path {
        return text_response(StatusCode::NOT_FOUND, String::new());
    }
    if shared.is_ready() {
        text_response(StatusCode::OK, "ready\n".to_owned())
    } else {
        text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
    }
}

/// Answers with the metrics in text form.
pub(crate) fn metrics(shared: &Arc<Shared>, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() == "/metrics" {
        shared.update_service_gauges();
        text_response(StatusCode::OK, shared.metrics.requests().text())
    } else {
        text_response(StatusCode::NOT_FOUND, "see /metrics\n".to_owned())
    }
}

fn text_response(status: StatusCode, text: String) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(Into::into);
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}
