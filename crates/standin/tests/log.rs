//! The log stand-in and the platform's client of it.

use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::{Connector, Settings};
use godwitpost_client::log::{Client, append};
use godwitpost_standin::log::{self, Faults, Running};

const TIMEOUT: Duration = Duration::from_secs(20);

async fn start(faults: Faults) -> (Running, Client) {
    let address = "127.0.0.1:0".parse().expect("an address");
    let running = log::start(address, faults).await.expect("a free port");
    let connector = Connector::new(Settings::default());
    let client = Client::new(connector, running.address(), TIMEOUT);
    (running, client)
}

#[tokio::test]
async fn records_are_read_as_appended() {
    let (_running, client) = start(Faults::default()).await;
    for expected in 0..3 {
        let body = Bytes::from(format!("record {expected}"));
        let appended = client.append("bundles", body).await.expect("an append");
        assert_eq!(appended.offset, expected);
    }
    let page = client.read("bundles", 1, 10, Duration::ZERO).await;
    let page = page.expect("a page");
    assert_eq!((page.first, page.next), (0, 3));
    let bodies: Vec<_> = page.records.iter().map(|record| &*record.body).collect();
    assert_eq!(bodies, [b"record 1", b"record 2"]);
}

#[tokio::test]
async fn a_long_poll_ends_with_the_next_record() {
    let (running, client) = start(Faults::default()).await;
    let reader = tokio::spawn(async move { client.read("claims", 0, 10, TIMEOUT).await });
    tokio::task::yield_now().await;
    running.append("claims", Bytes::from_static(b"claim"));
    let page = reader.await.expect("no panic").expect("a page");
    assert_eq!(page.records.len(), 1);
}

#[tokio::test]
async fn truncated_stream_reports_its_first_offset() {
    let (running, client) = start(Faults::default()).await;
    for _ in 0..5 {
        running.append("bundles", Bytes::from_static(b"bundle"));
    }
    running.truncate("bundles", 3);
    let page = client.read("bundles", 0, 10, Duration::ZERO).await;
    let page = page.expect("a page");
    assert_eq!((page.first, page.next, page.records.len()), (3, 5, 2));
}

// The log appends an order's claim but the response is lost. If the client
// reported an ordinary failure, the router would answer "not run" although the
// claim exists.
#[tokio::test]
async fn append_with_a_lost_response_has_unknown_outcome() {
    let (running, client) = start(Faults {
        lose_answers: 1.0,
        ..Faults::default()
    })
    .await;
    let error = client.append("claims", Bytes::from_static(b"claim")).await;
    assert!(error.expect_err("a lost answer").may_have_taken_effect());
    assert_eq!(running.records("claims").len(), 1);
}

#[tokio::test]
async fn refused_appends_took_no_effect() {
    let (running, client) = start(Faults {
        rate: 0.001,
        ..Faults::default()
    })
    .await;
    let body = Bytes::from_static(b"claim");
    client.append("claims", body.clone()).await.expect("room");
    let busy = client.append("claims", body.clone()).await;
    assert!(matches!(busy, Err(append::Error::RateLimited)));
    running.faults().change(|faults| faults.down = true);
    let down = client.append("claims", body).await;
    assert!(matches!(down, Err(append::Error::Unavailable)));
    assert_eq!(running.records("claims").len(), 1);
}
