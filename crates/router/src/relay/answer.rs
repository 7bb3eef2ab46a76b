//! Reads the beginning of an endpoint's response before the caller gets any of
//! it.
//!
//! An engine sends its head at once and its first token when the prompt has
//! been computed. The head is held back until then for two reasons: the
//! caller's deadline applies to the first token, and if the engine crashes in
//! between, another one can take over without the caller noticing. A JSON
//! response is read completely, since only its syntax shows whether it was
//! truncated; its size is bounded by its number of tokens.

use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::{Body, Framing, ResponseBody};
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

/// Maximum size of a JSON response; 100,000 tokens take about half of it.
const MAX_JSON_BYTES: usize = 1 << 20;

/// A response whose first part has been read.
#[derive(Debug)]
pub(crate) struct StartedResponse {
    parts: Parts,
    body: Body,
    end_detection: EndDetection,
}

enum Format {
    Events,
    Json,
    Other,
}

impl StartedResponse {
    /// Reads the beginning of a response within `wait`.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended if the beginning does not arrive.
    pub(crate) async fn read(
        kind: Kind,
        response: Response<ResponseBody>,
        wait: Duration,
    ) -> Result<Self, Ending> {
        let (mut parts, received) = response.into_parts();
        endpoint::strip_headers(&mut parts.headers);
        let (body, end_detection) = match response_format(kind, &parts.headers) {
            Format::Events => (
                read_first_frame(received, wait).await?,
                EndDetection::Marked,
            ),
            Format::Json => (read_json(received, wait).await?, EndDetection::Framed),
            Format::Other if received.framing() == Framing::Delimited => {
                (received.boxed(), EndDetection::Framed)
            }
            Format::Other => (received.boxed(), EndDetection::Unknown),
        };
        Ok(Self {
            parts,
            body,
            end_detection,
        })
    }

    /// Resumes the event stream from its engine if the connection breaks.
    pub(crate) fn with_resume(mut self, source: Source) -> Self {
        if self.end_detection == EndDetection::Marked && self.parts.status == StatusCode::OK {
            let reconnect = move |progress: &mut _| source.reconnect(progress);
            self.body = Splice::new(self.body, reconnect).boxed_unsync();
        }
        self
    }

    /// Returns the response; the end of its body is reported to the owner.
    pub(crate) fn relay(self, permit: Permit, mut cancel: Cancel) -> Response<Body> {
        let on_end = move |end| {
            if end != BodyEnd::Dropped {
                cancel.disarm();
            }
            permit.finish(match end {
                BodyEnd::Complete => Ending::Done,
                BodyEnd::Broken => Ending::Broken,
                BodyEnd::Dropped => Ending::Abandoned,
            });
        };
        let body = Relay::new(self.body, self.end_detection, on_end).boxed_unsync();
        Response::from_parts(self.parts, body)
    }
}

fn response_format(kind: Kind, headers: &HeaderMap) -> Format {
    let content_type = headers.get(CONTENT_TYPE).map_or(&b""[..], |v| v.as_bytes());
    if kind != Kind::Engine || headers.contains_key(CONTENT_ENCODING) {
        Format::Other
    } else if content_type.starts_with(b"text/event-stream") {
        Format::Events
    } else if content_type.starts_with(b"application/json") {
        Format::Json
    } else {
        Format::Other
    }
}

async fn read_first_frame(mut received: ResponseBody, wait: Duration) -> Result<Body, Ending> {
    match tokio::time::timeout(wait, received.frame()).await {
        Err(_elapsed) => Err(Ending::Timeout),
        Ok(Some(Ok(frame))) => Ok(Peeked::new(frame, received).boxed_unsync()),
        Ok(Some(Err(_)) | None) => Err(Ending::Broken),
    }
}

async fn read_json(received: ResponseBody, wait: Duration) -> Result<Body, Ending> {
    let read = body::collect(received, MAX_JSON_BYTES);
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
