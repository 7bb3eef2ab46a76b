//! Endpoints that fail, and what of it callers see.

use crate::endpoint::{Endpoint, Step, answer, late_answer, says};
use crate::fleet::{Fleet, request, rest};

/// A booking's endpoint crashes with the booking in its hands. Whether it ran
/// nobody knows; sent again it could be confirmed twice.
#[tokio::test]
async fn an_order_of_unknown_fate_is_sent_once_and_said_to_be_unknown() {
    let first = Endpoint::start(|_, _| vec![Step::Close]).await;
    let second = Endpoint::start(|_, _| vec![Step::Close]).await;
    let fleet = Fleet::start(&[first.address, second.address]).await;
    let whole = fleet.call("POST", "/order/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 502"), "{whole}");
    assert!(!whole.contains("retry-after"), "{whole}");
    assert_eq!(first.seen().len() + second.seen().len(), 1);
}

#[tokio::test]
async fn a_safe_request_goes_to_another_endpoint() {
    let script = |n, seen: &_| match n {
        0 => vec![Step::Close],
        _ => vec![answer(seen, "200 OK", "", "ok")],
    };
    let first = Endpoint::start(script).await;
    let fleet = Fleet::start(&[first.address]).await;
    // With a single endpoint there is no other one.
    let whole = fleet.call("GET", "/stock/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 502"), "{whole}");
    let second = Endpoint::start(says("ok")).await;
    let broken = Endpoint::start(|_, _| vec![Step::Close]).await;
    let fleet = Fleet::start(&[broken.address, second.address]).await;
    for _ in 0..4 {
        let whole = fleet.call("GET", "/stock/1", "").await;
        assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
    }
}

#[tokio::test]
async fn a_failure_is_the_callers_if_every_endpoint_fails() {
    let failing = |_, seen: &_| vec![answer(seen, "500 Failed", "", "no")];
    let first = Endpoint::start(failing).await;
    let second = Endpoint::start(failing).await;
    let fleet = Fleet::start(&[first.address, second.address]).await;
    let whole = fleet.call("GET", "/stock/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 500"), "{whole}");
    assert!(
        whole.contains("x-signed: s1") && whole.ends_with("no"),
        "{whole}"
    );
    assert_eq!(first.seen().len() + second.seen().len(), 2);
}

/// An endpoint ran an order and then said 503, which promises that it had
/// not. The caller would have sent it again.
#[tokio::test]
async fn a_promise_needs_the_endpoints_word() {
    let endpoint = Endpoint::start(|_, seen| vec![answer(seen, "503 Busy", "", "busy")]).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let whole = fleet.call("POST", "/order/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 502"), "{whole}");
}

#[tokio::test]
async fn an_endpoints_refusal_is_told_with_a_time_to_come_back() {
    let endpoint =
        Endpoint::start(|_, seen| vec![answer(seen, "503 Full", "x-not-run: 1\r\n", "full")]).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let whole = fleet.call("POST", "/order/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 503"), "{whole}");
    assert!(whole.contains("retry-after: "), "{whole}");
    assert!(!whole.contains("x-signed"), "{whole}");
}

/// Somebody else has the address of an endpoint that left, and says so.
#[tokio::test]
async fn a_request_for_another_goes_on_to_one_that_is_meant() {
    let stranger = Endpoint::start(|_, _| {
        vec![Step::Send(
            "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n".to_owned(),
        )]
    })
    .await;
    let right = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[stranger.address, right.address]).await;
    for _ in 0..4 {
        let whole = fleet.call("GET", "/stock/1", "").await;
        assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
    }
    // It was asked once, and is known not to be the one.
    assert!(stranger.seen().len() <= 1);
}

/// An endpoint answered a request twice, and the second answer came when the
/// next request waited on that connection. Its caller would have got a
/// stranger's.
#[tokio::test]
async fn a_late_second_answer_is_nobodys() {
    let endpoint = Endpoint::start(|n, seen| match n {
        0 => vec![answer(seen, "200 OK", "", "mine")],
        _ => vec![Step::Send(
            "HTTP/1.1 200 OK\r\nx-attempt: a0\r\nx-signed: s1\r\ncontent-length: 5\r\n\r\nother"
                .to_owned(),
        )],
    })
    .await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    fleet.call("GET", "/stock/1", "").await;
    let whole = fleet.call("POST", "/order/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 502"), "{whole}");
    assert!(!whole.contains("other"), "{whole}");
}

/// Guards against callers who are refused since a late answer told an old load.
#[tokio::test]
async fn a_late_answer_tells_no_load() {
    let endpoint = Endpoint::start(|n, seen| match n {
        0 => vec![late_answer("200 OK", "x-load: 90,10,8\r\n")],
        _ => vec![answer(seen, "200 OK", "", "mine")],
    })
    .await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let whole = fleet.call("POST", "/order/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 502"), "{whole}");
    let whole = fleet.call("POST", "/order/2", "").await;
    assert!(whole.ends_with("mine"), "{whole}");
}

#[tokio::test]
async fn an_answer_that_is_cut_is_not_passed_on() {
    let cut = |_, seen: &_| {
        let Step::Send(text) = answer(seen, "200 OK", "", "the whole of it") else {
            unreachable!("an answer is sent");
        };
        vec![Step::Send(text[..text.len() - 4].to_owned()), Step::Close]
    };
    let first = Endpoint::start(cut).await;
    let fleet = Fleet::start(&[first.address]).await;
    let whole = fleet.call("POST", "/order/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 502"), "{whole}");
    let second = Endpoint::start(says("whole")).await;
    let fleet = Fleet::start(&[first.address, second.address]).await;
    for _ in 0..4 {
        let whole = fleet.call("GET", "/stock/1", "").await;
        assert!(whole.ends_with("whole"), "{whole}");
    }
}

#[tokio::test]
async fn bytes_that_are_no_answer_are_not_passed_on() {
    let endpoint =
        Endpoint::start(|_, _| vec![Step::Send("x@#!\r\n\r\n".to_owned()), Step::Close]).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let whole = fleet.call("POST", "/order/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 502"), "{whole}");
}

/// An endpoint's machine is dark: connections to it hang. A stock check that
/// waited for one would miss its time though others are idle.
#[tokio::test]
async fn a_connection_that_hangs_costs_a_part_of_the_time() {
    // No machine has this address (RFC 5737); a refusal on the way is as good.
    let dark = "192.0.2.1:9".parse().expect("an address");
    let well = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[dark, well.address]).await;
    for _ in 0..6 {
        let whole = fleet.call("POST", "/order/1", "").await;
        assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
    }
}

#[tokio::test]
async fn an_endpoint_that_never_answers_is_left_for_another() {
    let mute = Endpoint::start(|_, _| vec![Step::Wait(10_000)]).await;
    let well = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[mute.address, well.address]).await;
    for _ in 0..4 {
        let start = std::time::Instant::now();
        let whole = fleet.call("GET", "/stock/1", "").await;
        assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
        // Twice the route's objective of 200 ms, and then some.
        assert!(start.elapsed().as_millis() < 800);
    }
}

/// An endpoint refuses a long request before it has read it, keeps the
/// connection and reads on. What is due there is the rest of that body; other
/// bytes would be run as a request that nobody sent.
#[tokio::test]
async fn an_early_answer_leaves_the_body_whole() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address");
    let body = "b".repeat(9_000);
    let sent = body.clone();
    let endpoint = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut start = vec![0; 64];
        stream.read_exact(&mut start).await.expect("a head");
        stream
            .write_all(
                b"HTTP/1.1 400 No\r\nx-attempt: a1\r\nx-signed: s1\r\ncontent-length: 2\r\n\r\nno",
            )
            .await
            .expect("an answer");
        let mut rest = String::from_utf8(start).expect("text");
        while !rest.ends_with(&sent) {
            let mut bytes = vec![0; 4096];
            let count = stream.read(&mut bytes).await.expect("more");
            assert!(count > 0, "closed in the middle of the body");
            rest.push_str(str::from_utf8(&bytes[..count]).expect("text"));
        }
    });
    let fleet = Fleet::start(&[address]).await;
    let whole = rest(&mut fleet.open(&request("POST", "/order/1", "", &body)).await).await;
    assert!(
        whole.starts_with("HTTP/1.1 400") && whole.ends_with("no"),
        "{whole}"
    );
    endpoint.await.expect("the whole body");
}
