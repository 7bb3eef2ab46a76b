//! A graceful stop: callers are sent elsewhere, and nothing is cut.

use std::time::Duration;

use godwitpost_direct::ShutdownResult;

use crate::endpoint::{Endpoint, Step, answer, says};
use crate::fleet::{Fleet, request, rest, until};

#[tokio::test]
async fn what_is_in_flight_is_finished_and_the_balancer_is_told_at_once() {
    let endpoint =
        Endpoint::start(|_, seen| vec![Step::Wait(800), answer(seen, "200 OK", "", "done")]).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let mut stream = fleet.open(&request("POST", "/order/1", "", "")).await;
    until(async || !endpoint.seen().is_empty()).await;
    let ready = fleet.running.ready_address();
    let stopping = tokio::spawn(fleet.running.stop());
    tokio::time::sleep(Duration::from_millis(50)).await;
    let mut asked = tokio::net::TcpStream::connect(ready)
        .await
        .expect("it listens");
    tokio::io::AsyncWriteExt::write_all(
        &mut asked,
        b"GET /readyz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    )
    .await
    .expect("a question");
    assert!(rest(&mut asked).await.starts_with("HTTP/1.1 503"));
    let whole = rest(&mut stream).await;
    assert!(
        whole.starts_with("HTTP/1.1 200") && whole.ends_with("done"),
        "{whole}"
    );
    assert_eq!(stopping.await.expect("it stops"), ShutdownResult::Drained);
}

/// The balancer's list lags: callers still come for a while after the word to
/// stop, and must be served, with the word that the connection closes.
#[tokio::test]
async fn callers_that_still_come_are_served_and_told_to_go_elsewhere() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let callers = fleet.running.callers_address();
    let stopping = tokio::spawn(fleet.running.stop());
    tokio::time::sleep(Duration::from_millis(50)).await;
    let text = request("GET", "/stock/1", "", "").replace("connection: close\r\n", "");
    let mut late = tokio::net::TcpStream::connect(callers)
        .await
        .expect("it listens");
    tokio::io::AsyncWriteExt::write_all(&mut late, text.as_bytes())
        .await
        .expect("a request");
    let whole = rest(&mut late).await;
    assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
    assert!(whole.contains("connection: close"), "{whole}");
    assert_eq!(stopping.await.expect("it stops"), ShutdownResult::Drained);
}
