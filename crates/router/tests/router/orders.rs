//! Orders: run at most once, with a true outcome.

use std::time::Duration;

use crate::fleet::{Fleet, Size, chat, key, order, outcome, wait_until};

const SIZE: Size = Size {
    routers: 3,
    engines: 1,
    plains: 2,
};

fn runs(fleet: &Fleet, key: &str) -> usize {
    let runs = fleet
        .plains
        .iter()
        .map(|plain| plain.runs("POST /orders", key));
    runs.sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn order_resent_through_each_router_runs_once() {
    let fleet = Fleet::start(SIZE).await;
    let key = key(1);
    let (status, headers, first) = fleet.send_and_read(0, order(&key, "40 guides")).await;
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&first));
    assert_eq!(outcome(&headers), "ran");
    for router in 0..SIZE.routers {
        let (status, headers, again) = fleet.send_and_read(router, order(&key, "40 guides")).await;
        assert_eq!(outcome(&headers), "ran");
        assert_eq!(headers["godwitpost-replayed"], "true");
        assert_eq!((status.as_u16(), &again), (200, &first));
    }
    assert_eq!(runs(&fleet, &key), 1);
}

// Guards against an order that is billed twice: it ran, its response was lost,
// and the caller sent it again. The first response must report the outcome as
// unknown, and the second request must not run the order again.
#[tokio::test(flavor = "multi_thread")]
async fn order_with_a_lost_response_is_unknown_and_never_runs_again() {
    let fleet = Fleet::start(SIZE).await;
    for plain in &fleet.plains {
        plain.faults().change(|faults| faults.lose_answers = 1.0);
    }
    let key = key(2);
    let (_, headers, _) = fleet.send_and_read(0, order(&key, "40 guides")).await;
    assert_eq!(outcome(&headers), "unknown");
    for plain in &fleet.plains {
        plain.faults().change(|faults| faults.lose_answers = 0.0);
    }
    for router in 0..SIZE.routers {
        let (status, headers, _) = fleet.send_and_read(router, order(&key, "40 guides")).await;
        assert_eq!((status.as_u16(), outcome(&headers)), (409, "unknown"));
    }
    assert_eq!(runs(&fleet, &key), 1);
}

// The log's response to a claim is lost after the claim was appended. A router
// that assumed a failure and claimed again would lose to its own first claim, or
// run the order twice.
#[tokio::test(flavor = "multi_thread")]
async fn lost_responses_of_the_log_neither_lose_nor_repeat_an_order() {
    let fleet = Fleet::start(SIZE).await;
    fleet
        .log
        .faults()
        .change(|faults| faults.lose_answers = 1.0);
    for n in 0..4 {
        let key = key(10 + n);
        let router = usize::from(n) % SIZE.routers;
        let (status, headers, body) = fleet.send_and_read(router, order(&key, "guides")).await;
        let text = String::from_utf8_lossy(&body);
        assert_eq!((status.as_u16(), outcome(&headers)), (200, "ran"), "{text}");
        assert_eq!(runs(&fleet, &key), 1);
    }
}

// The log is down for long. Orders can't be claimed, so they must be refused as
// not run; chats need no claim and must still succeed.
#[tokio::test(flavor = "multi_thread")]
async fn with_the_log_down_orders_are_refused_and_chats_succeed() {
    let fleet = Fleet::start(SIZE).await;
    fleet.log.faults().change(|faults| faults.down = true);
    let key = key(3);
    let (status, headers, body) = fleet.send_and_read(1, order(&key, "40 guides")).await;
    assert_eq!((status.as_u16(), outcome(&headers)), (503, "not-run"));
    assert_eq!(headers["content-type"], "application/problem+json");
    assert!(headers.contains_key("retry-after"));
    assert_eq!(headers["godwitpost-outcome-scope"], "attempt");
    let problem: serde_json::Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(problem["type"], "urn:godwitpost:claims-unavailable");
    assert_eq!(runs(&fleet, &key), 0);
    let (status, headers, _) = fleet.send_and_read(1, chat("ice lines", 4)).await;
    assert_eq!((status.as_u16(), outcome(&headers)), (200, "ran"));
}

// An order's outcome is unknown. Its caller sends the key again while nothing can
// be claimed, is told not-run, and orders again under another key: the order is
// billed twice. So each not-run outcome states its scope, and only one for the
// whole key is the order's outcome.
#[tokio::test(flavor = "multi_thread")]
async fn not_run_covers_a_key_only_if_no_attempt_can_have_run() {
    let mut fleet = Fleet::start(SIZE).await;
    // Their ports refuse connections from now on, so nothing can be sent.
    fleet.plains.clear();
    let key = key(5);
    let (_, headers, body) = fleet.send_and_read(0, order(&key, "40 guides")).await;
    let text = String::from_utf8_lossy(&body).into_owned();
    assert_eq!(outcome(&headers), "not-run", "{text}");
    assert_eq!(headers["godwitpost-outcome-scope"], "key", "{text}");
    wait_until(
        "the key's outcome is known to other instances",
        async || {
            let (status, headers, _) = fleet.send_and_read(1, order(&key, "40 guides")).await;
            status == 409
                && outcome(&headers) == "not-run"
                && headers["godwitpost-outcome-scope"] == "key"
        },
    )
    .await;
}

// A key is older than the claim window. The log may have dropped the record that
// it ran, and reporting it as not run could cause a second order.
#[tokio::test(flavor = "multi_thread")]
async fn expired_key_is_unknown_and_not_run() {
    let fleet = Fleet::start(SIZE).await;
    let old = "01890000-0000-7000-8000-000000000001";
    let (status, headers, body) = fleet.send_and_read(0, order(old, "40 guides")).await;
    let problem: serde_json::Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(problem["type"], "urn:godwitpost:key-expired");
    assert_eq!((status.as_u16(), outcome(&headers)), (400, "unknown"));
    assert_eq!(runs(&fleet, old), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_with_another_body_is_refused() {
    let fleet = Fleet::start(SIZE).await;
    let key = key(4);
    fleet.send_and_read(0, order(&key, "40 guides")).await;
    let (status, headers, _) = fleet.send_and_read(2, order(&key, "41 guides")).await;
    assert_eq!((status.as_u16(), outcome(&headers)), (422, "not-run"));
    assert_eq!(runs(&fleet, &key), 1);
}

// Several callers send one key at the same moment through different routers. The
// order must run once, and each caller must get a true outcome.
#[tokio::test(flavor = "multi_thread")]
async fn key_sent_concurrently_through_all_routers_runs_once() {
    let fleet = Fleet::start(SIZE).await;
    for plain in &fleet.plains {
        plain
            .faults()
            .change(|faults| faults.slow = Duration::from_millis(50));
    }
    for n in 0..6 {
        let key = key(200 + n);
        let send = |router| fleet.send_and_read(router, order(&key, "reprint"));
        let (a, b, c) = tokio::join!(send(0), send(1), send(2));
        let outcomes: Vec<&str> = [&a, &b, &c]
            .map(|(_, headers, _)| outcome(headers))
            .to_vec();
        assert!(outcomes.contains(&"ran"), "{outcomes:?}");
        assert!(!outcomes.contains(&"not-run"), "{outcomes:?}");
        assert_eq!(runs(&fleet, &key), 1);
    }
}
