use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::{BoxError, Limits, Port, run};

/// The idle time of the connections below.
const IDLE: Duration = Duration::from_secs(1);

/// A body without a byte.
struct Nothing;

impl Body for Nothing {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: std::pin::Pin<&mut Self>,
        _cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        std::task::Poll::Ready(None)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(0)
    }
}

fn serve() -> (SocketAddr, watch::Sender<bool>) {
    let port = Port::bind(([127, 0, 0, 1], 0).into()).expect("a free port");
    let address = port.address;
    let (close, closing) = watch::channel(false);
    let limits = Limits {
        head_bytes: 16 << 10,
        head_time: IDLE,
    };
    let answer = |_| async { Response::new(Nothing) };
    tokio::spawn(async move {
        run(port, limits, closing, answer).await;
        Ok::<(), Infallible>(())
    });
    (address, close)
}

// Sends a request and returns whether it was answered.
async fn asks(stream: &mut TcpStream) -> bool {
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    if stream.write_all(request).await.is_err() {
        return false;
    }
    let mut bytes = [0; 512];
    let count = stream.read(&mut bytes).await.unwrap_or(0);
    bytes[..count].starts_with(b"HTTP/1.1 200")
}

/// A client keeps its connection for four fifths of the idle time that it was
/// told and sends the next request on it. Closed a moment before, the request
/// would be lost on the way, and nobody could say whether it had run.
#[tokio::test]
async fn a_connection_is_open_for_its_whole_idle_time() {
    let (address, _open) = serve();
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    for _ in 0..3 {
        assert!(asks(&mut stream).await);
        tokio::time::sleep(IDLE * 4 / 5).await;
    }
    assert!(asks(&mut stream).await);
    tokio::time::sleep(IDLE * 3 / 2).await;
    assert!(!asks(&mut stream).await);
}

/// A client opens a connection and asks with pauses while a shutdown begins.
/// What it has sent is answered; between two requests the connection closes.
#[tokio::test]
async fn a_shutdown_closes_between_two_requests() {
    let (address, close) = serve();
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    assert!(asks(&mut stream).await);
    close.send_replace(true);
    tokio::time::sleep(IDLE / 10).await;
    assert!(!asks(&mut stream).await);
    TcpStream::connect(address)
        .await
        .expect_err("nobody listens");
}
