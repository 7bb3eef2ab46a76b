//! Orders: at most once, and the truth about their fate.

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
async fn an_order_sent_again_through_each_router_runs_once() {
    let fleet = Fleet::start(SIZE).await;
    let key = key(1);
    let (status, headers, first) = fleet.ask(0, order(&key, "40 guides")).await;
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&first));
    assert_eq!(outcome(&headers), "ran");
    for router in 0..SIZE.routers {
        let (status, headers, again) = fleet.ask(router, order(&key, "40 guides")).await;
        assert_eq!(outcome(&headers), "ran");
        assert_eq!(headers["godwitpost-replayed"], "true");
        assert_eq!((status.as_u16(), &again), (200, &first));
    }
    assert_eq!(runs(&fleet, &key), 1);
}

// The Sounkyo guides were billed double: the order ran, its answer was lost,
// and the shop sent it again. The first caller has to hear that nobody knows,
// and the second must not make it run again.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_answer_was_lost_is_unknown_and_never_runs_again() {
    let fleet = Fleet::start(SIZE).await;
    for plain in &fleet.plains {
        plain.faults().change(|faults| faults.lose_answers = 1.0);
    }
    let key = key(2);
    let (_, headers, _) = fleet.ask(0, order(&key, "40 guides")).await;
    assert_eq!(outcome(&headers), "unknown");
    for plain in &fleet.plains {
        plain.faults().change(|faults| faults.lose_answers = 0.0);
    }
    for router in 0..SIZE.routers {
        let (status, headers, _) = fleet.ask(router, order(&key, "40 guides")).await;
        assert_eq!((status.as_u16(), outcome(&headers)), (409, "unknown"));
    }
    assert_eq!(runs(&fleet, &key), 1);
}

// The log's answer to a claim is lost after it took effect. A router that
// took that for a failure and claimed anew would lose to itself, or run twice.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_log_neither_lose_nor_repeat_an_order() {
    let fleet = Fleet::start(SIZE).await;
    fleet
        .log
        .faults()
        .change(|faults| faults.lose_answers = 1.0);
    for n in 0..4 {
        let key = key(10 + n);
        let router = usize::from(n) % SIZE.routers;
        let (status, headers, body) = fleet.ask(router, order(&key, "guides")).await;
        let text = String::from_utf8_lossy(&body);
        assert_eq!((status.as_u16(), outcome(&headers)), (200, "ran"), "{text}");
        assert_eq!(runs(&fleet, &key), 1);
    }
}

// The log is down for long. Orders can't be claimed, so they are refused as
// not run and are not run; drafts need no claim and go on.
#[tokio::test(flavor = "multi_thread")]
async fn with_the_log_down_orders_are_not_run_and_chats_go_on() {
    let fleet = Fleet::start(SIZE).await;
    fleet.log.faults().change(|faults| faults.down = true);
    let key = key(3);
    let (status, headers, body) = fleet.ask(1, order(&key, "40 guides")).await;
    assert_eq!((status.as_u16(), outcome(&headers)), (503, "not-run"));
    assert_eq!(headers["content-type"], "application/problem+json");
    assert!(headers.contains_key("retry-after"));
    assert_eq!(headers["godwitpost-outcome-scope"], "attempt");
    let problem: serde_json::Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(problem["type"], "urn:godwitpost:claims-unavailable");
    assert_eq!(runs(&fleet, &key), 0);
    let (status, headers, _) = fleet.ask(1, chat("ice lines", 4)).await;
    assert_eq!((status.as_u16(), outcome(&headers)), (200, "ran"));
}

// A shop's order is told unknown. It sends the key again while nothing can be
// claimed, hears not run, and places the order anew under another key: the
// guides are billed twice. Only a word that speaks for the whole key may be
// taken for the order's fate, so each not run says whom it speaks for.
#[tokio::test(flavor = "multi_thread")]
async fn not_run_speaks_for_a_key_only_where_no_attempt_can_have_run() {
    let mut fleet = Fleet::start(SIZE).await;
    // Their ports refuse connections from here on: provably nothing is sent.
    fleet.plains.clear();
    let key = key(5);
    let (_, headers, body) = fleet.ask(0, order(&key, "40 guides")).await;
    let text = String::from_utf8_lossy(&body).into_owned();
    assert_eq!(outcome(&headers), "not-run", "{text}");
    assert_eq!(headers["godwitpost-outcome-scope"], "key", "{text}");
    wait_until("the key's fate is known to other instances", async || {
        let (status, headers, _) = fleet.ask(1, order(&key, "40 guides")).await;
        status == 409
            && outcome(&headers) == "not-run"
            && headers["godwitpost-outcome-scope"] == "key"
    })
    .await;
}

// A key from before the claim window is sent. The log may have forgotten that
// it ran, so calling it not run would invite a second order.
#[tokio::test(flavor = "multi_thread")]
async fn an_expired_key_is_unknown_and_not_run_now() {
    let fleet = Fleet::start(SIZE).await;
    let old = "01890000-0000-7000-8000-000000000001";
    let (status, headers, body) = fleet.ask(0, order(old, "40 guides")).await;
    let problem: serde_json::Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(problem["type"], "urn:godwitpost:key-expired");
    assert_eq!((status.as_u16(), outcome(&headers)), (400, "unknown"));
    assert_eq!(runs(&fleet, old), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_with_another_body_is_refused() {
    let fleet = Fleet::start(SIZE).await;
    let key = key(4);
    fleet.ask(0, order(&key, "40 guides")).await;
    let (status, headers, _) = fleet.ask(2, order(&key, "41 guides")).await;
    assert_eq!((status.as_u16(), outcome(&headers)), (422, "not-run"));
    assert_eq!(runs(&fleet, &key), 1);
}

// Two shops and a timer send one reprint commitment at the same moment through
// different routers. Each is told something true, and it runs once.
#[tokio::test(flavor = "multi_thread")]
async fn one_key_at_once_through_all_routers_runs_once() {
    let fleet = Fleet::start(SIZE).await;
    for plain in &fleet.plains {
        plain
            .faults()
            .change(|faults| faults.slow = Duration::from_millis(50));
    }
    for n in 0..6 {
        let key = key(200 + n);
        let ask = |router| fleet.ask(router, order(&key, "reprint"));
        let (a, b, c) = tokio::join!(ask(0), ask(1), ask(2));
        let told: Vec<&str> = [&a, &b, &c]
            .map(|(_, headers, _)| outcome(headers))
            .to_vec();
        assert!(told.contains(&"ran"), "{told:?}");
        assert!(!told.contains(&"not-run"), "{told:?}");
        assert_eq!(runs(&fleet, &key), 1);
    }
}
