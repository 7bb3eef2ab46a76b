//! Graceful shutdown: callers are sent elsewhere, and no request is cut off.

use std::time::Duration;

use godwitpost_direct::ShutdownResult;

use crate::endpoint::{Endpoint, Step, ok_with_body, response_to};
use crate::fleet::{TestInstance, read_rest, request, wait_until};

#[tokio::test]
async fn in_flight_requests_finish_and_readiness_ends_at_once() {
    let endpoint = Endpoint::start(|_, received| {
        vec![Step::Wait(800), response_to(received, "200 OK", "", "done")]
    })
    .await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let mut stream = instance.open(&request("POST", "/order/1", "", "")).await;
    wait_until(async || !endpoint.received().is_empty()).await;
    let ready = instance.running.ready_address();
    let stopping = tokio::spawn(instance.running.stop());
    tokio::time::sleep(Duration::from_millis(50)).await;
    let mut probe = tokio::net::TcpStream::connect(ready)
        .await
        .expect("it listens");
    tokio::io::AsyncWriteExt::write_all(
        &mut probe,
        b"GET /readyz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    )
    .await
    .expect("a readiness request");
    assert!(read_rest(&mut probe).await.starts_with("HTTP/1.1 503"));
    let response = read_rest(&mut stream).await;
    assert!(
        response.starts_with("HTTP/1.1 200") && response.ends_with("done"),
        "{response}"
    );
    assert_eq!(stopping.await.expect("it stops"), ShutdownResult::Drained);
}

/// Guards against refusing callers that the balancer still sends for a while after the
/// shutdown begins. They are served and told that the connection closes.
#[tokio::test]
async fn late_callers_are_served_and_their_connections_closed() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let callers = instance.running.callers_address();
    let stopping = tokio::spawn(instance.running.stop());
    tokio::time::sleep(Duration::from_millis(50)).await;
    let text = request("GET", "/stock/1", "", "").replace("connection: close\r\n", "");
    let mut late = tokio::net::TcpStream::connect(callers)
        .await
        .expect("it listens");
    tokio::io::AsyncWriteExt::write_all(&mut late, text.as_bytes())
        .await
        .expect("a request");
    let response = read_rest(&mut late).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.contains("connection: close"), "{response}");
    assert_eq!(stopping.await.expect("it stops"), ShutdownResult::Drained);
}
