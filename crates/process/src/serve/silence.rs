//! Connections on which nothing comes.
//!
//! A caller's machine may die, or its network go, without a word to us. Such a
//! half-open connection looks like an idle one, and hyper's time-out for heads
//! only runs once a head has begun. Left alone they pile up until no file is
//! free and nobody can connect. So a connection has a limited time until its
//! first byte, and the kernel probes those that fall silent later.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::watch;

#[cfg(test)]
mod tests;

/// How long a connection may be silent before the kernel probes its peer.
const PROBED_AFTER: Duration = Duration::from_mins(1);

/// The time between probes; the kernel gives up after nine by default.
const PROBED_EVERY: Duration = Duration::from_secs(10);

/// How long a peer may leave what was sent to it unread. A stream that nobody
/// reads holds a slot of its endpoint, so it can't wait for ever; a phone that
/// changes its network comes back within seconds.
pub(super) const UNREAD: Duration = Duration::from_mins(1);

/// Has the kernel end the connection if its peer is gone or, for longer than
/// `unread`, takes nothing of what was sent to it.
pub(super) fn keep_alive(stream: &TcpStream, unread: Duration) {
    let probes = TcpKeepalive::new()
        .with_time(PROBED_AFTER)
        .with_interval(PROBED_EVERY);
    let socket = SockRef::from(stream);
    let set = socket
        .set_tcp_keepalive(&probes)
        .and_then(|()| socket.set_tcp_user_timeout(Some(unread)));
    if let Err(error) = set {
        log::debug!(error:% = error; "keep-alive not set");
    }
}

/// Waits for a connection's first byte; returns whether it came.
///
/// A connection that has said nothing when `closing` turns true has asked for
/// nothing, so it may be closed.
pub(super) async fn first_byte(
    stream: &TcpStream,
    wait: Duration,
    mut closing: watch::Receiver<bool>,
) -> bool {
    let mut byte = [0];
    tokio::select! {
        // A request that came with the word to close is still answered.
        biased;
        peeked = stream.peek(&mut byte) => peeked.is_ok_and(|bytes| bytes > 0),
        _ = closing.wait_for(|closing| *closing) => false,
        () = tokio::time::sleep(wait) => false,
    }
}
