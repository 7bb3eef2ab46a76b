//! Peers whose machines go silent, as TCP sees them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use godwitpost_client::connect::{Body, Connector, ResponseBody, Settings};
use http::Request;
use http_body_util::{BodyExt as _, Empty};
use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const LONG: Duration = Duration::from_secs(20);

/// Four seconds: a probe after one of silence, and three more a second apart.
const DEAD_AFTER: Duration = Duration::from_secs(4);

const ACK_TIMEOUT: Duration = Duration::from_millis(650);

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n";

/// A filter that drops all that a socket receives, so that nothing is acknowledged.
const DROP_ALL: SockFilter = SockFilter::new(6, 0, 0, 0);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn request() -> Request<Body> {
    let body = Empty::<Bytes>::new().map_err(|never| match never {});
    Request::get("/a")
        .body(body.boxed_unsync())
        .expect("a constant request")
}

// Accepts a connection, reads the request and sends the head of a response.
async fn answer_with_head(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().await.expect("a caller");
    let mut head = [0; 256];
    let read = stream.read(&mut head).await.expect("a request");
    assert!(read > 0);
    stream.write_all(HEAD).await.expect("an open connection");
    stream
}

fn drop_all(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    socket.attach_filter(&[DROP_ALL]).expect("a socket");
}

// Is silent for longer than two probes and loses the first of them.
async fn lose_first_probe(stream: &TcpStream) {
    drop_all(stream);
    sleep(Duration::from_millis(1_500)).await;
    SockRef::from(stream).detach_filter().expect("a filter");
    sleep(Duration::from_millis(1_500)).await;
}

async fn body_of(connector: &Connector, address: SocketAddr) -> ResponseBody {
    let response = connector.send(address, request(), LONG).await;
    response.expect("a head").into_body()
}

/// Guards against a stream that stays open for longer than its settings say after its machine
/// lost power.
#[tokio::test]
async fn silent_machine_ends_a_stream_in_time() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let stream = answer_with_head(&listener).await;
        drop_all(&stream);
        sleep(LONG).await;
    });
    let connector = Connector::new(Settings {
        dead_after: DEAD_AFTER,
        ..Settings::default()
    });
    let body = body_of(&connector, address).await;
    let silent_since = Instant::now();
    body.collect().await.expect_err("a machine that is gone");
    let took = silent_since.elapsed();
    assert!(took + Duration::from_millis(500) >= DEAD_AFTER, "{took:?}");
    assert!(took < DEAD_AFTER * 2, "{took:?}");
    server.abort();
}

/// Guards against a stream that is silent for seconds and ends because a single packet of a
/// keep-alive probe was lost: the limit for unacknowledged data decides about probes as well.
#[tokio::test]
async fn lost_probe_ends_no_silent_stream() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let mut stream = answer_with_head(&listener).await;
        lose_first_probe(&stream).await;
        stream.write_all(b"ok").await.expect("an open connection");
        sleep(LONG).await;
    });
    let connector = Connector::new(Settings {
        dead_after: DEAD_AFTER,
        ack_timeout: Some(ACK_TIMEOUT),
        ..Settings::default()
    });
    let body = body_of(&connector, address).await;
    let whole = body.collect().await.expect("a stream that goes on");
    assert_eq!(whole.to_bytes(), "ok");
    server.abort();
}

/// Guards against the same where nothing came of the response yet.
#[tokio::test]
async fn lost_probe_ends_no_wait_for_a_head() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        let mut head = [0; 256];
        let read = stream.read(&mut head).await.expect("a request");
        assert!(read > 0);
        lose_first_probe(&stream).await;
        stream.write_all(HEAD).await.expect("an open connection");
        stream.write_all(b"ok").await.expect("an open connection");
        sleep(LONG).await;
    });
    let connector = Connector::new(Settings {
        dead_after: DEAD_AFTER,
        ack_timeout: Some(ACK_TIMEOUT),
        ..Settings::default()
    });
    let body = body_of(&connector, address).await;
    let whole = body.collect().await.expect("a whole response");
    assert_eq!(whole.to_bytes(), "ok");
    server.abort();
}

/// Guards against a request to a machine that is gone which counts as sent for longer than
/// its settings say.
#[tokio::test]
async fn unacknowledged_request_ends_in_time() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let mut stream = answer_with_head(&listener).await;
        drop_all(&stream);
        stream.write_all(b"ok").await.expect("an open connection");
        sleep(LONG).await;
    });
    let connector = Connector::new(Settings {
        ack_timeout: Some(ACK_TIMEOUT),
        ..Settings::default()
    });
    let first = body_of(&connector, address).await;
    first.collect().await.expect("a whole response");
    let sent = Instant::now();
    let second = connector.send(address, request(), LONG).await;
    second.expect_err("a machine that is gone");
    let took = sent.elapsed();
    assert!(took >= ACK_TIMEOUT, "{took:?}");
    assert!(took < ACK_TIMEOUT * 3, "{took:?}");
    server.abort();
}
