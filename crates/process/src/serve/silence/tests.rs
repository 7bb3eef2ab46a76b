use std::time::Duration;

use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::{enable_keep_alive, first_byte};

const LONG: Duration = Duration::from_hours(1);

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let caller = TcpStream::connect(address).await.expect("a connection");
    let (accepted, _) = listener.accept().await.expect("a connection");
    (caller, accepted)
}

/// Clients lose their network. Their connections stay open on the router without a byte
/// until it has no file descriptors left and refuses all connections.
#[tokio::test]
async fn a_connection_without_a_byte_is_closed() {
    let (_caller, accepted) = pair().await;
    let (_open, closing) = watch::channel(false);
    assert!(!first_byte(&accepted, Duration::from_millis(20), closing).await);
}

#[tokio::test]
async fn a_shutdown_does_not_wait_for_silent_connections() {
    let (_caller, accepted) = pair().await;
    let (close, closing) = watch::channel(false);
    close.send_replace(true);
    assert!(!first_byte(&accepted, LONG, closing).await);
}

/// A request that has arrived when the shutdown begins gets a response.
#[tokio::test]
async fn a_first_byte_is_accepted_even_at_a_shutdown() {
    let (mut caller, accepted) = pair().await;
    caller.write_all(b"G").await.expect("a byte sent");
    accepted.readable().await.expect("a byte received");
    let (close, closing) = watch::channel(false);
    close.send_replace(true);
    assert!(first_byte(&accepted, LONG, closing).await);
}

#[tokio::test]
async fn a_peer_that_disconnects_at_once_sent_nothing() {
    let (caller, accepted) = pair().await;
    drop(caller);
    let (_open, closing) = watch::channel(false);
    assert!(!first_byte(&accepted, LONG, closing).await);
}

/// A caller requests a long response and never reads it. Its stream occupies a slot of
/// the engine, and enough such callers occupy all of them.
#[tokio::test]
async fn a_stream_that_nobody_reads_ends() {
    let (_caller, mut accepted) = pair().await;
    enable_keep_alive(&accepted, Duration::from_millis(300));
    let chunk = vec![0; 1 << 16];
    let error = loop {
        if let Err(error) = accepted.write_all(&chunk).await {
            break error;
        }
    };
    assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
}
