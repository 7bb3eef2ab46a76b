//! What a failed request says of its fate, against servers that break off.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::{Cause, Connector, Error, ResponseBody, Settings};
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const LONG: Duration = Duration::from_secs(20);
const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn request(path: &str) -> Request<godwitpost_client::connect::Body> {
    let body = Full::new(Bytes::from_static(b"work"))
        .map_err(|never| match never {})
        .boxed_unsync();
    Request::post(path).body(body).expect("a constant request")
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Reads one request, head and four bytes of body; `None` at the end.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut seen = Vec::new();
    while !seen.ends_with(b"\r\n\r\nwork") {
        match stream.read_u8().await {
            Ok(byte) => seen.push(byte),
            Err(_) => return None,
        }
    }
    let text = String::from_utf8(seen).expect("a head in ASCII");
    text.split(' ').nth(1).map(str::to_owned)
}

async fn text(response: Response<ResponseBody>) -> Bytes {
    let body = response.into_body().collect().await;
    body.expect("a whole body").to_bytes()
}

#[tokio::test]
async fn a_connection_serves_one_request_after_another() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        for _ in 0..3 {
            read_request(&mut stream).await.expect("a request");
            stream.write_all(OK).await.expect("an open connection");
        }
        stream
    });
    let connector = Connector::new(Settings::default());
    for _ in 0..3 {
        let response = connector.send(address, request("/"), LONG).await;
        assert_eq!(text(response.expect("a response")).await, "ok");
        while connector.idle_count(address) == 0 {
            tokio::task::yield_now().await;
        }
    }
    server.await.expect("a server without a panic");
}

// A server closes a pooled connection while it is idle, as servers do after
// their keep-alive time. The next order meets the closed connection. If the
// client took the failure for a lost request, the caller would be told
// unknown for an order that nobody saw; if it repeated it blindly, an order
// could run twice.
#[tokio::test]
async fn an_idle_connection_closed_by_the_server_is_replaced() {
    let (listener, address) = listen().await;
    let (closed, wait_closed) = tokio::sync::oneshot::channel();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        read_request(&mut stream).await.expect("a request");
        stream.write_all(OK).await.expect("an open connection");
        drop(stream);
        closed.send(()).expect("a waiting test");
        let (mut stream, _) = listener.accept().await.expect("a new connection");
        let path = read_request(&mut stream).await;
        stream.write_all(OK).await.expect("an open connection");
        path
    });
    let connector = Connector::new(Settings::default());
    let first = connector.send(address, request("/first"), LONG).await;
    text(first.expect("a response")).await;
    wait_closed.await.expect("a running server");
    let second = connector.send(address, request("/second"), LONG).await;
    assert_eq!(text(second.expect("a response")).await, "ok");
    let path = server.await.expect("a server without a panic");
    assert_eq!(path.as_deref(), Some("/second"));
}

// The server's close and the next request cross on the wire. Whatever the
// order, the client's word must fit what the server saw: "not sent" and seen
// would be a lie, and seen twice would be two prints of one order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crossing_closes_never_make_a_false_not_sent() {
    const ROUNDS: u32 = 300;
    let (listener, address) = listen().await;
    let seen = Arc::new(Mutex::new(BTreeMap::<String, u32>::new()));
    let log = Arc::clone(&seen);
    let server = tokio::spawn(async move {
        for turn in 0_u32.. {
            let (mut stream, _) = listener.accept().await.expect("a caller");
            let log = Arc::clone(&log);
            tokio::spawn(async move {
                // Some connections end after one request, some after three,
                // some after reading a request without an answer.
                for _ in 0..=turn % 3 {
                    let Some(path) = read_request(&mut stream).await else {
                        return;
                    };
                    *log.lock().expect("a log").entry(path).or_default() += 1;
                    let _gone = stream.write_all(OK).await;
                }
                if turn.is_multiple_of(5)
                    && let Some(path) = read_request(&mut stream).await
                {
                    *log.lock().expect("a log").entry(path).or_default() += 1;
                }
            });
        }
    });
    let connector = Connector::new(Settings::default());
    let mut results = Vec::new();
    for round in 0..ROUNDS {
        let path = format!("/{round}");
        let result = match connector.send(address, request(&path), LONG).await {
            Ok(response) => text(response).await.len() == 2,
            Err(Error::Unknown(_)) => true,
            Err(Error::NotSent { .. }) => false,
        };
        results.push((path, result));
    }
    let seen = seen.lock().expect("a log");
    for (path, may_have_run) in results {
        let times = seen.get(&path).copied().unwrap_or(0);
        assert!(times <= 1, "{path} was seen {times} times");
        assert!(may_have_run || times == 0, "{path} was seen, yet not sent");
    }
    server.abort();
}

// An address that refuses connections. It is nobody else's while the socket is there.
fn refusing() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any = "127.0.0.1:0".parse().expect("an address");
    socket.bind(any).expect("a free port");
    let address = socket.local_addr().expect("a bound address");
    (socket, address)
}

#[tokio::test]
async fn a_refused_connection_gives_the_request_back() {
    let (_socket, address) = refusing();
    let connector = Connector::new(Settings::default());
    let Err(Error::NotSent {
        cause: Cause::Connect(_),
        request: Some(request),
    }) = connector.send(address, request("/"), LONG).await
    else {
        panic!("a closed port must say not sent");
    };
    let body = request.into_body().collect().await.expect("a body");
    assert_eq!(body.to_bytes(), "work");
}

// A server reads an order and dies before its answer. Only the server knew
// whether it ran, so anything but unknown would be a guess.
#[tokio::test]
async fn a_connection_broken_after_the_request_is_unknown() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        read_request(&mut stream).await
    });
    let connector = Connector::new(Settings::default());
    let result = connector.send(address, request("/orders"), LONG).await;
    assert!(matches!(result, Err(Error::Unknown(Cause::Connection(_)))));
    server.await.expect("a server without a panic");
}

// An answer comes after the time-out of its request. If the connection had
// gone back to the pool, the next caller would get the first caller's answer.
#[tokio::test]
async fn a_late_answer_reaches_nobody() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (mut slow, _) = listener.accept().await.expect("a caller");
        read_request(&mut slow).await.expect("a request");
        let (mut quick, _) = listener.accept().await.expect("a new connection");
        let _gone = slow
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate")
            .await;
        read_request(&mut quick).await.expect("a request");
        quick.write_all(OK).await.expect("an open connection");
        slow.read_u8().await.is_err()
    });
    let connector = Connector::new(Settings::default());
    let short = Duration::from_millis(20);
    let first = connector.send(address, request("/first"), short).await;
    assert!(matches!(first, Err(Error::Unknown(Cause::ResponseTimeout))));
    let second = connector.send(address, request("/second"), LONG).await;
    assert_eq!(text(second.expect("a response")).await, "ok");
    assert!(server.await.expect("a server without a panic"));
}

// A caller hangs up in the middle of a long answer. Unless the connection is
// closed the engine goes on generating for nobody.
#[tokio::test]
async fn a_dropped_body_closes_the_connection() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        read_request(&mut stream).await.expect("a request");
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart")
            .await
            .expect("an open connection");
        stream.read_u8().await.is_err()
    });
    let connector = Connector::new(Settings::default());
    let response = connector.send(address, request("/"), LONG).await;
    let mut body = response.expect("a response").into_body();
    body.frame().await.expect("a frame").expect("a part");
    drop(body);
    assert!(server.await.expect("a server without a panic"));
    assert_eq!(connector.idle_count(address), 0);
}

// The control budget is kept by this counter. Bodies alone would show a
// quarter of what a small exchange costs.
#[tokio::test]
async fn the_wire_counter_holds_heads_and_packet_headers() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        read_request(&mut stream).await.expect("a request");
        stream.write_all(OK).await.expect("an open connection");
        stream
    });
    let connector = Connector::new(Settings::default());
    let response = connector.send(address, request("/"), LONG).await;
    assert_eq!(text(response.expect("a response")).await, "ok");
    server.await.expect("a server without a panic");

    let head = format!("POST / HTTP/1.1\r\ncontent-length: 4\r\nhost: {address}\r\n\r\n");
    let payload = head.len() + "work".len() + OK.len();
    // Seven packets to open and close, one each way with acknowledgements.
    let least = payload as u64 + 7 * 52 + 2 * 104;
    let counted = connector.wire_bytes();
    // The body may go in a packet of its own.
    assert!(
        (least..=least + 104).contains(&counted),
        "{counted}, {least}"
    );
}

// An endpoint that is leaving closes its idle connections while orders still
// come. An order written to one of them in that moment has an unknown fate,
// though nobody saw it, and its caller is told to go and ask. An order on a
// connection of its own is answered, or certainly wasn't sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_on_a_new_connection_never_meets_an_idle_close() {
    const ROUNDS: u32 = 300;
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a caller");
            tokio::spawn(async move {
                read_request(&mut stream).await.expect("a request");
                let _gone = stream.write_all(OK).await;
            });
        }
    });
    let connector = Connector::new(Settings::default());
    for _ in 0..ROUNDS {
        let sent = connector.send_on_new(address, request("/orders"), LONG);
        let response = sent.await.expect("an answer on a new connection");
        assert_eq!(text(response).await, "ok");
    }
    server.abort();
}

// A burst over many endpoints leaves a connection to each. Without a bound
// over all of them, an instance before 3,300 runners could keep a hundred
// thousand open and run out of memory or file descriptors.
#[tokio::test]
async fn idle_connections_are_bounded_over_all_addresses() {
    let connector = Connector::new(Settings {
        max_idle: 2,
        ..Settings::default()
    });
    let mut servers = Vec::new();
    for _ in 0..4 {
        let (listener, address) = listen().await;
        let (done, wait_done) = tokio::sync::oneshot::channel::<()>();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a caller");
            read_request(&mut stream).await.expect("a request");
            stream.write_all(OK).await.expect("an open connection");
            // Either the client closes it, or the test ends.
            let closed = stream.read_u8().await;
            drop((closed, done));
        });
        let response = connector.send(address, request("/"), LONG).await;
        text(response.expect("a response")).await;
        servers.push((address, wait_done));
    }
    // The third and fourth are closed instead of kept.
    for (_, wait_done) in servers.split_off(2) {
        wait_done.await.expect_err("a closed connection");
    }
    let idle: usize = servers
        .iter()
        .map(|(address, _)| connector.idle_count(*address))
        .sum();
    assert_eq!(idle, 2);
}

// A service in the manner of HTTP/1.0 ends its answer by closing. If it dies
// half-way the caller sees half a roster that looks whole. Nobody can tell the
// two apart, so the body has to say that it isn't framed.
#[tokio::test]
async fn a_body_that_ends_with_its_connection_says_so() {
    let answers: [(&[u8], bool); 3] = [
        (b"HTTP/1.1 200 OK\r\n\r\nhalf a ros", false),
        (OK, true),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, Chunked\r\n\r\n0\r\n\r\n",
            true,
        ),
    ];
    let connector = Connector::new(Settings::default());
    for (answer, framed) in answers {
        let (listener, address) = listen().await;
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a caller");
            read_request(&mut stream).await.expect("a request");
            stream.write_all(answer).await.expect("an open connection");
        });
        let response = connector.send(address, request("/"), LONG).await;
        let body = response.expect("a response").into_body();
        assert_eq!(body.is_framed(), framed);
        body.collect().await.expect("an end");
    }
}

// A body of known length is cut off. Its reader must get an error and not an
// end, or the caller would take the part for the whole.
#[tokio::test]
async fn a_framed_body_that_is_cut_off_ends_in_an_error() {
    let answers: [&[u8]; 2] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ];
    let connector = Connector::new(Settings::default());
    for answer in answers {
        let (listener, address) = listen().await;
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a caller");
            read_request(&mut stream).await.expect("a request");
            stream.write_all(answer).await.expect("an open connection");
        });
        let response = connector.send(address, request("/"), LONG).await;
        let body = response.expect("a response").into_body();
        body.collect().await.expect_err("a body that was cut off");
    }
}

/// A machine goes dark and its idle connections with it. An order written to
/// one of them has an unknown fate; forgotten, they are replaced by a new one,
/// which either opens or proves that nothing was sent.
#[tokio::test]
async fn forgotten_connections_are_not_used_again() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let mut streams = Vec::new();
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().await.expect("a caller");
            read_request(&mut stream).await.expect("a request");
            stream.write_all(OK).await.expect("an open connection");
            streams.push(stream);
        }
    });
    let connector = Connector::new(Settings {
        ack_timeout: Some(Duration::from_millis(650)),
        ..Settings::default()
    });
    let first = connector.send(address, request("/a"), LONG).await;
    text(first.expect("an answer")).await;
    assert_eq!(connector.idle_count(address), 1);
    connector.close_idle(address);
    assert_eq!(connector.idle_count(address), 0);
    let second = connector.send(address, request("/b"), LONG).await;
    text(second.expect("an answer")).await;
    server.await.expect("two connections");
}

#[tokio::test]
async fn a_refused_connection_is_a_sign_of_a_dark_machine_and_a_slow_answer_is_none() {
    let (_listener, silent) = listen().await;
    let (_socket, refusing) = refusing();
    let connector = Connector::new(Settings::default());
    let slow = connector.send(silent, request("/a"), Duration::from_millis(50));
    let Err(Error::Unknown(cause)) = slow.await else {
        panic!("nobody answers");
    };
    assert!(!cause.is_unreachable(), "{cause}");
    let refused = connector.send(refusing, request("/a"), LONG).await;
    let Err(Error::NotSent { cause, .. }) = refused else {
        panic!("nobody listens");
    };
    assert!(cause.is_unreachable(), "{cause}");
}
