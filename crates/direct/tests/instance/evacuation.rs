//! Availability zones that the operator empties.

use std::time::Duration;

use crate::endpoint::{Endpoint, says};
use crate::fleet::{Fleet, until};
use crate::peers::follows;

/// Guards against requests that go on to a zone which is to be empty.
#[tokio::test]
async fn an_evacuated_zone_gets_nothing_until_it_is_given_back() {
    let near = Endpoint::start(says("near")).await;
    let far = Endpoint::start(says("far")).await;
    let fleet = Fleet::start(&[near.address]).await;
    fleet.join_in("kushiro", "e1", far.address);
    until(async || fleet.call("GET", "/stock/1", "").await.contains("near")).await;
    fleet.evacuate("otaru", true);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = near.seen().len();
    for _ in 0..20 {
        let whole = fleet.call("GET", "/stock/1", "").await;
        assert!(whole.contains("far"), "{whole}");
    }
    assert_eq!(near.seen().len(), before);
    fleet.evacuate("otaru", false);
    until(async || fleet.call("GET", "/stock/1", "").await.contains("near")).await;
}

/// Guards against callers who wait for an endpoint that can't come, or are told
/// nothing of when to come back.
#[tokio::test]
async fn with_all_zones_evacuated_a_request_is_refused_at_once() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    fleet.evacuate("otaru", true);
    until(async || {
        let whole = fleet.call("POST", "/order/1", "").await;
        whole.starts_with("HTTP/1.1 503")
    })
    .await;
    let begun = std::time::Instant::now();
    let before = endpoint.seen().len();
    let whole = fleet.call("POST", "/order/1", "").await;
    assert!(whole.contains("evacuated"), "{whole}");
    assert!(whole.contains("retry-after: "), "{whole}");
    assert!(begun.elapsed() < Duration::from_millis(300));
    assert_eq!(endpoint.seen().len(), before);
}

/// Guards against an instance that hears of an evacuation only from the log, which
/// it doesn't read.
#[tokio::test]
async fn an_instance_that_asks_others_hears_of_it() {
    let endpoint = Endpoint::start(says("ok")).await;
    let [seed, other] = Fleet::start_two(&[endpoint.address]).await;
    follows(&other).await;
    seed.evacuate("otaru", true);
    until(async || {
        other
            .call("GET", "/stock/1", "")
            .await
            .contains("evacuated")
    })
    .await;
    seed.evacuate("otaru", false);
    until(async || {
        let whole = other.call("GET", "/stock/1", "").await;
        whole.starts_with("HTTP/1.1 200")
    })
    .await;
}

/// Guards against an instance that starts while a zone is evacuated and sends
/// there before it knows.
#[tokio::test]
async fn an_instance_that_starts_knows_before_it_serves() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start_cold();
    fleet.evacuate("otaru", true);
    fleet.join("e0", endpoint.address);
    fleet.roll(crate::fleet::content(1));
    fleet.ready().await;
    let whole = fleet.call("GET", "/stock/1", "").await;
    assert!(whole.contains("evacuated"), "{whole}");
    assert!(endpoint.seen().is_empty());
}
