//! What engines and plain services answer alike.

use http::{HeaderMap, HeaderValue, Response, StatusCode};

use crate::answer;
use crate::serve::Body;

/// Returns the trace that a request belongs to.
pub(crate) fn trace(headers: &HeaderMap) -> Option<String> {
    let value = headers.get("traceparent")?;
    value.to_str().ok().map(str::to_owned)
}

/// The answer of a leaving endpoint to new work.
pub(crate) fn leaving() -> Response<Body> {
    let mut response = answer::error(
        StatusCode::SERVICE_UNAVAILABLE,
        "this endpoint is leaving; use another",
    );
    response
        .headers_mut()
        .insert("godwitpost-endpoint", HeaderValue::from_static("leaving"));
    response
}

/// The answer of an engine that has not loaded the model asked for.
pub(crate) fn unloaded() -> Response<Body> {
    let mut response = answer::error(
        StatusCode::NOT_FOUND,
        "the model isn't loaded here; use another engine",
    );
    response
        .headers_mut()
        .insert("godwitpost-endpoint", HeaderValue::from_static("unloaded"));
    response
}

/// Whether a body holds the text that crashes its endpoint.
pub(crate) fn marked(body: &[u8], marker: Option<&str>) -> bool {
    marker.is_some_and(|marker| {
        !marker.is_empty()
            && body
                .windows(marker.len())
                .any(|window| window == marker.as_bytes())
    })
}
