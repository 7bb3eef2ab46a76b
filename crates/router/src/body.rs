//! Bodies: whole ones, bounded reads, and the guard of a relayed stream.

pub mod relay;

use bytes::Bytes;
use godwitpost_platform::connect::{Body, BoxError};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};

/// Why a body was not read.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the body is above the limit of {0} bytes; send less, or have the limit raised
    TooLarge(usize),
    /// the body broke off or is badly framed ({0}); send it again
    Broken(BoxError),
}

impl std::error::Error for Error {}

/// Returns a body of these bytes.
#[must_use]
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Reads a body that may have `limit` bytes at most.
///
/// # Errors
///
/// Returns an error if it is larger or breaks off.
pub async fn collect<B>(body: B, limit: usize) -> Result<Bytes, Error>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Error::TooLarge(limit)),
        Err(error) => Err(Error::Broken(error)),
    }
}
