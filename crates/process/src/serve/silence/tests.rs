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

/// Phones lose their network at a fete; their connections stay open on our
/// side without a byte, until the router has no file left and refuses all.
#[tokio::test]
async fn a_connection_that_says_nothing_ends() {
    let (_caller, accepted) = pair().await;
    let (_open, closing) = watch::channel(false);
    assert!(!first_byte(&accepted, Duration::from_millis(20), closing).await);
}

#[tokio::test]
async fn a_shutdown_does_not_wait_for_the_silent() {
    let (_caller, accepted) = pair().await;
    let (close, closing) = watch::channel(false);
    close.send_replace(true);
    assert!(!first_byte(&accepted, LONG, closing).await);
}

/// Near miss: a request that is there when the shutdown begins is answered.
#[tokio::test]
async fn a_first_byte_is_heard_even_at_a_shutdown() {
    let (mut caller, accepted) = pair().await;
    caller.write_all(b"G").await.expect("a byte sent");
    accepted.readable().await.expect("a byte received");
    let (close, closing) = watch::channel(false);
    close.send_replace(true);
    assert!(first_byte(&accepted, LONG, closing).await);
}

#[tokio::test]
async fn a_peer_that_hangs_up_at_once_said_nothing() {
    let (caller, accepted) = pair().await;
    drop(caller);
    let (_open, closing) = watch::channel(false);
    assert!(!first_byte(&accepted, LONG, closing).await);
}

/// A caller asks for a long draft and never reads it. Its stream keeps a slot
/// of the engine, and enough of such callers keep all of them.
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
