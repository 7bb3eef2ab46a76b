//! Endpoints that turn requests away and say for how long they want none.

use std::time::{Duration, Instant};

use crate::endpoint::{Endpoint, Seen, Step, answer, says};
use crate::fleet::Fleet;

/// The headers of a refusal that asks for two seconds without requests.
const PAUSE: &str = "x-not-run: 1\r\nx-retry-after: 2000\r\n";

/// Requests that an endpoint may still get of one instance while it wants none.
const STILL: usize = 2;

fn refuses(_: usize, seen: &Seen) -> Vec<Step> {
    vec![answer(seen, "503 Busy", PAUSE, "")]
}

// Calls until this many requests have reached the endpoint.
async fn call_until_seen(fleet: &Fleet, endpoint: &Endpoint, count: usize) {
    for _ in 0..50 {
        if endpoint.seen().len() >= count {
            return;
        }
        fleet.call("GET", "/stock/1", "").await;
    }
    panic!("the endpoint never got a request");
}

/// Guards against requests that go on to an endpoint which asked for a pause, and which draws
/// the more of them the emptier it gets.
#[tokio::test]
async fn an_endpoint_that_asks_for_a_pause_gets_it() {
    let paused = Endpoint::start(refuses).await;
    let other = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[paused.address, other.address]).await;
    call_until_seen(&fleet, &paused, 1).await;
    let before = paused.seen().len();
    for _ in 0..30 {
        let whole = fleet.call("POST", "/order/1", "").await;
        assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
    }
    assert!(paused.seen().len() <= before + STILL);
}

/// Guards against requests that wait, or are sent in vain, while it is known that all
/// endpoints want none.
#[tokio::test]
async fn with_all_endpoints_paused_callers_are_told_at_once() {
    let endpoint = Endpoint::start(refuses).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    call_until_seen(&fleet, &endpoint, 1).await;
    let before = endpoint.seen().len();
    let start = Instant::now();
    for _ in 0..10 {
        let whole = fleet.call("POST", "/order/1", "").await;
        assert!(whole.starts_with("HTTP/1.1 503"), "{whole}");
        assert!(whole.contains("retry-after"), "{whole}");
    }
    assert!(start.elapsed() < Duration::from_millis(500));
    assert!(endpoint.seen().len() <= before + STILL);
}
