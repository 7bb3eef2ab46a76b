//! HTTP bodies: complete bodies, bounded reads, and relayed streams.

pub mod peeked;
pub mod relay;
pub mod splice;

use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::{Body, BoxError};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};

/// The reason why a body was not read.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the body is above the limit of {0} bytes; send less, or have the limit raised
    TooLarge(usize),
    /// the body broke off or is badly framed ({0}); send it again
    Broken(BoxError),
}

impl std::error::Error for Error {}

/// Returns a body with these bytes.
#[must_use]
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Maximum number of bytes read when discarding a body.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// How long discarding a body may take.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads and discards the rest of an unwanted body.
///
/// If a connection is closed after the response while bytes of the request are
/// still unread, the kernel sends a reset that makes the caller's side discard
/// the response. The caller then sees a broken connection instead of the
/// reason. Limits on size and time prevent reading an endless body forever.
pub async fn discard<B>(mut body: B)
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let read = async {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // The response is the same whether or not the body was read in time.
    drop(tokio::time::timeout(DISCARD_TIMEOUT, read).await);
}

/// Reads a body of at most `limit` bytes.
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
