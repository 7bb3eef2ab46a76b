//! Request parsing and responses shared by engines and plain services.

use http::{HeaderMap, HeaderValue, Response, StatusCode};

use crate::answer;
use crate::serve::Body;

/// Returns the `traceparent` header.
pub(crate) fn traceparent(headers: &HeaderMap) -> Option<String> {
    let value = headers.get("traceparent")?;
    value.to_str().ok().map(str::to_owned)
}

/// Returns the response of a leaving endpoint to new requests.
pub(crate) fn leaving_response() -> Response<Body> {
    let mut response = answer::error(
        StatusCode::SERVICE_UNAVAILABLE,
        "this endpoint is leaving; use another",
    );
    response
        .headers_mut()
        .insert("godwitpost-endpoint", HeaderValue::from_static("leaving"));
    response
}

/// Returns the response of an engine that has not loaded the requested model.
pub(crate) fn model_not_loaded_response() -> Response<Body> {
    let mut response = answer::error(
        StatusCode::NOT_FOUND,
        "the model isn't loaded here; use another engine",
    );
    response
        .headers_mut()
        .insert("godwitpost-endpoint", HeaderValue::from_static("unloaded"));
    response
}

/// Returns whether a body contains the crash marker; an empty marker never matches.
pub(crate) fn contains_marker(body: &[u8], marker: Option<&str>) -> bool {
    marker.is_some_and(|marker| {
        !marker.is_empty()
            && body
                .windows(marker.len())
                .any(|window| window == marker.as_bytes())
    })
}
