//! Response bodies of the platform's services, collected up to a size limit.

use bytes::Bytes;
use http_body_util::{BodyExt as _, Limited};

use crate::connect::{self, BoxError};

/// Collects a body. A body longer than `limit` bytes is an error.
pub(crate) async fn collect(body: connect::ResponseBody, limit: usize) -> Result<Bytes, BoxError> {
    Ok(Limited::new(body, limit).collect().await?.to_bytes())
}

/// Converts bytes to a request body.
pub(crate) fn full(bytes: Bytes) -> connect::Body {
    http_body_util::Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
