//! Detects connections that receive nothing.
//!
//! A caller's machine or network may fail without closing the connection. Such a
//! half-open connection looks idle, and hyper's time-out for heads only starts with
//! the first byte of a head. Half-open connections would accumulate until there are
//! no file descriptors left and nobody can connect. Therefore the first byte of a
//! connection has a time limit, and the kernel probes connections that become silent
//! later.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::watch;

#[cfg(test)]
mod tests;

/// How long a connection may be silent before the kernel probes the peer.
const KEEP_ALIVE_IDLE: Duration = Duration::from_mins(1);

/// The time between probes. One that stays unanswered for this long ends the connection, as
/// [`UNACKNOWLEDGED_TIMEOUT`] has passed by then and the kernel counts no probes beside it.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// How long sent data may stay unacknowledged by the peer. A stream that nobody reads
/// occupies a slot of its endpoint, so it must end eventually; a phone that changes
/// its network reconnects within seconds.
pub(super) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_mins(1);

/// Makes the kernel close the connection if the peer is gone or accepts no sent data
/// for longer than `unacknowledged`.
pub(super) fn enable_keep_alive(stream: &TcpStream, unacknowledged: Duration) {
    let probes = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_IDLE)
        .with_interval(KEEP_ALIVE_INTERVAL);
    let socket = SockRef::from(stream);
    let set = socket
        .set_tcp_keepalive(&probes)
        .and_then(|()| socket.set_tcp_user_timeout(Some(unacknowledged)));
    if let Err(error) = set {
        log::debug!(error:% = error; "keep-alive not set");
    }
}

/// Waits for the first byte of a connection and returns whether it arrived.
///
/// A connection that has sent nothing when `closing` becomes true has no request, so
/// it may be closed.
pub(super) async fn first_byte(
    stream: &TcpStream,
    wait: Duration,
    mut closing: watch::Receiver<bool>,
) -> bool {
    let mut byte = [0];
    tokio::select! {
        // A request that arrives at the same time as `closing` is still handled.
        biased;
        peeked = stream.peek(&mut byte) => peeked.is_ok_and(|bytes| bytes > 0),
        _ = closing.wait_for(|closing| *closing) => false,
        () = tokio::time::sleep(wait) => false,
    }
}
