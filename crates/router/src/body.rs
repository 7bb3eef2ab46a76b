//! Bodies: whole ones, bounded reads, and the guard of a relayed stream.

pub mod peeked;
pub mod relay;
pub mod splice;

use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::{Body, BoxError};
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

/// Bytes of an unwanted body that are read and dropped.
const DISCARDED: usize = 16 << 20;

/// How long an unwanted body may take.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// Reads the rest of an unwanted body and drops it.
///
/// The failure: an answer is sent before the body was read, the connection is
/// closed with bytes still unread, and the kernel sends a reset that makes the
/// caller's side throw the answer away. The caller sees a broken connection in
/// place of the reason. Both bounds keep an endless body from being read on.
pub async fn discard<B>(mut body: B)
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let read = async {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > DISCARDED {
                return;
            }
        }
    };
    // Whether it was read in time makes no difference to the answer.
    drop(tokio::time::timeout(DISCARD_TIME, read).await);
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
