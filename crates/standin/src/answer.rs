//! Reading of request bodies, and building of responses.

use bytes::Bytes;
use futures_util::TryStreamExt as _;
use http::header::CONTENT_TYPE;
use http::{Method, Request, Response, StatusCode, Version};
use http_body_util::{BodyExt as _, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::faults::Handle;
use crate::serve::{Body, ConnectionAborted};

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A response, or the instruction to abort the connection without one.
pub(crate) type Answer = Result<Response<Body>, ConnectionAborted>;

/// Reads a complete body.
pub(crate) async fn read(body: Incoming) -> Result<Bytes, ConnectionAborted> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    // After any error in a request's body the connection is unusable.
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|cause| {
            ::log::debug!(cause:% = cause; "cannot read the request body; aborting the connection");
            ConnectionAborted
        })
}

/// Builds a response from bytes.
pub(crate) fn bytes(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Body> {
    let body = Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Turns a response into one that has neither a length nor chunks and ends with its
/// connection.
pub(crate) fn close_delimited(response: Response<Body>) -> Response<Body> {
    let mut response = response.map(|body| {
        // A body of known length would get that length.
        StreamBody::new(body.into_data_stream().map_ok(Frame::data)).boxed_unsync()
    });
    *response.version_mut() = Version::HTTP_10;
    response
}

/// Builds a JSON response.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("stand-ins answer plain data");
    bytes(status, "application/json", Bytes::from(body))
}

/// Builds a response without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    let mut response = json(status, &());
    *response.body_mut() = Full::new(Bytes::new())
        .map_err(|never| match never {})
        .boxed_unsync();
    response.headers_mut().remove(CONTENT_TYPE);
    response
}

/// Builds an error response whose message says what to do.
pub(crate) fn error(status: StatusCode, message: &str) -> Response<Body> {
    json(status, &json!({ "error": message }))
}

/// Builds the response for an unknown path.
pub(crate) fn not_found() -> Response<Body> {
    error(StatusCode::NOT_FOUND, "no such path; see docs/PLATFORM.md")
}

/// Handles `/faults`: GET returns the faults, PUT replaces all of them.
pub(crate) async fn faults<F>(handle: &Handle<F>, request: Request<Incoming>) -> Answer
where
    F: Clone + Serialize + DeserializeOwned,
{
    if request.method() == Method::GET {
        return Ok(json(StatusCode::OK, &handle.get()));
    }
    if request.method() != Method::PUT {
        return Ok(error(
            StatusCode::METHOD_NOT_ALLOWED,
            "use GET or PUT on /faults",
        ));
    }
    let body = read(request.into_body()).await?;
    match serde_json::from_slice::<F>(&body) {
        Ok(faults) => {
            handle.set(faults);
            Ok(json(StatusCode::OK, &handle.get()))
        }
        Err(reason) => Ok(error(StatusCode::BAD_REQUEST, &reason.to_string())),
    }
}

/// Returns a query parameter as a number.
pub(crate) fn number(query: Option<&str>, name: &str) -> Option<u64> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}
