//! Bodies of the platform's answers, read whole under a limit.

use bytes::Bytes;
use http_body_util::{BodyExt as _, Limited};

use crate::connect::{self, BoxError};

/// Reads a body whole; one longer than `limit` bytes is an error.
pub(crate) async fn collect(body: connect::ResponseBody, limit: usize) -> Result<Bytes, BoxError> {
    Ok(Limited::new(body, limit).collect().await?.to_bytes())
}

/// Wraps bytes as a request's body.
pub(crate) fn full(bytes: Bytes) -> connect::Body {
    http_body_util::Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
