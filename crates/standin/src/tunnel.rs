//! Forwards bytes between two connections, and the way in which each of them ends.

use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

/// The bytes that are forwarded at a time.
const BUFFER_BYTES: usize = 16 << 10;

/// Which way bytes are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the caller.
    Request,
    /// To the caller.
    Response,
}

/// A connection ended without an orderly close.
struct Broken;

/// Forwards bytes between two connections until both have ended or one breaks.
///
/// `gate` is awaited before bytes or an orderly end are passed on, and returns whether they
/// may be. An orderly end is passed on as such. Everything else resets both connections,
/// also if the returned future is dropped: an orderly close would make what was sent so far
/// look whole.
pub async fn run<F>(mut caller: TcpStream, mut endpoint: TcpStream, gate: impl Fn(Direction) -> F)
where
    F: Future<Output = bool>,
{
    // With a linger time of zero, dropping a socket resets its connection.
    if set_linger(&caller, Some(Duration::ZERO)).is_err()
        || set_linger(&endpoint, Some(Duration::ZERO)).is_err()
    {
        return;
    }
    // Halves that own their socket would close it in order when they are dropped.
    let (caller_read, caller_write) = caller.split();
    let (endpoint_read, endpoint_write) = endpoint.split();
    let ended = tokio::try_join!(
        copy(caller_read, endpoint_write, || gate(Direction::Request)),
        copy(endpoint_read, caller_write, || gate(Direction::Response)),
    );
    if ended.is_ok() {
        // Both ends are on their way; a reset could overtake what is still to be sent.
        drop(set_linger(&caller, None));
        drop(set_linger(&endpoint, None));
    }
}

async fn copy<F>(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    gate: impl Fn() -> F,
) -> Result<(), Broken>
where
    F: Future<Output = bool>,
{
    let mut bytes = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut bytes).await.map_err(|_error| Broken)?;
        if !gate().await {
            return Err(Broken);
        }
        if count == 0 {
            return to.shutdown().await.map_err(|_error| Broken);
        }
        let written = to.write_all(&bytes[..count]).await;
        written.map_err(|_error| Broken)?;
    }
}

fn set_linger(stream: &TcpStream, time: Option<Duration>) -> std::io::Result<()> {
    SockRef::from(stream).set_linger(time)
}
