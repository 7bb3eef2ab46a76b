//! The beginning of an endpoint's answer, before the caller sees any of it.
//!
//! An engine sends its head at once and its first token when the prompt is
//! computed. The head is held back until then, for two reasons: the caller's
//! deadline is about the first token, and an engine that crashes in between
//! can still be replaced by another without the caller noticing. An answer in
//! one piece of JSON is read whole, since nothing but its syntax shows that it
//! was cut off; it is as short as the tokens it has.

use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::{Body, Received};
use godwitpost_decide::ending::Ending;
use godwitpost_types::policy::Kind;
use http::header::{CONTENT_ENCODING, CONTENT_TYPE};
use http::response::Parts;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt as _;
use serde::de::IgnoredAny;

use super::cancel::Cancel;
use super::endpoint;
use super::local_owner::Permit;
use super::resume::Source;
use crate::body;
use crate::body::peeked::Peeked;
use crate::body::relay::{BodyEnd, EndDetection, Relay};
use crate::body::splice::Splice;

/// Bytes of an answer in one piece; 100,000 tokens are about half of it.
const JSON_BYTES: usize = 1 << 20;

/// An answer of which the first part is there.
#[derive(Debug)]
pub(crate) struct StartedResponse {
    parts: Parts,
    body: Body,
    ends: EndDetection,
}

enum Shape {
    Events,
    Json,
    Other,
}

impl StartedResponse {
    /// Reads the beginning of an answer within `wait`.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended if there is no beginning.
    pub(crate) async fn read(
        kind: Kind,
        response: Response<Received>,
        wait: Duration,
    ) -> Result<Self, Ending> {
        let (mut parts, received) = response.into_parts();
        endpoint::clean(&mut parts.headers);
        let (body, ends) = match shape(kind, &parts.headers) {
            Shape::Events => (first(received, wait).await?, EndDetection::Marked),
            Shape::Json => (json(received, wait).await?, EndDetection::Framed),
            Shape::Other if received.is_framed() => (received.boxed(), EndDetection::Framed),
            Shape::Other => (received.boxed(), EndDetection::Unknown),
        };
        Ok(Self { parts, body, ends })
    }

    /// Lets a broken event stream go on with what its engine still holds.
    pub(crate) fn resumed_from(mut self, source: Source) -> Self {
        if self.ends == EndDetection::Marked && self.parts.status == StatusCode::OK {
            let again = move |resume: &mut _| source.again(resume);
            self.body = Splice::new(self.body, again).boxed_unsync();
        }
        self
    }

    /// Returns the answer, which tells the owner how it ends.
    pub(crate) fn relay(self, permit: Permit, mut cancel: Cancel) -> Response<Body> {
        let told = move |end| {
            if end != BodyEnd::Dropped {
                cancel.disarm();
            }
            permit.finish(match end {
                BodyEnd::Complete => Ending::Done,
                BodyEnd::Broken => Ending::Broken,
                BodyEnd::Dropped => Ending::Abandoned,
            });
        };
        let body = Relay::new(self.body, self.ends, told).boxed_unsync();
        Response::from_parts(self.parts, body)
    }
}

fn shape(kind: Kind, headers: &HeaderMap) -> Shape {
    let named = headers.get(CONTENT_TYPE).map_or(&b""[..], |v| v.as_bytes());
    if kind != Kind::Engine || headers.contains_key(CONTENT_ENCODING) {
        Shape::Other
    } else if named.starts_with(b"text/event-stream") {
        Shape::Events
    } else if named.starts_with(b"application/json") {
        Shape::Json
    } else {
        Shape::Other
    }
}

async fn first(mut received: Received, wait: Duration) -> Result<Body, Ending> {
    match tokio::time::timeout(wait, received.frame()).await {
        Err(_elapsed) => Err(Ending::Timeout),
        Ok(Some(Ok(frame))) => Ok(Peeked::new(frame, received).boxed_unsync()),
        Ok(Some(Err(_)) | None) => Err(Ending::Broken),
    }
}

async fn json(received: Received, wait: Duration) -> Result<Body, Ending> {
    let read = body::collect(received, JSON_BYTES);
    let bytes: Bytes = match tokio::time::timeout(wait, read).await {
        Err(_elapsed) => return Err(Ending::Timeout),
        Ok(Err(_)) => return Err(Ending::Broken),
        Ok(Ok(bytes)) => bytes,
    };
    if serde_json::from_slice::<IgnoredAny>(&bytes).is_err() {
        return Err(Ending::Broken);
    }
    Ok(body::full(bytes))
}
