//! Endpoints that turn requests away and say for how long they want none.

use std::time::{Duration, Instant};

use crate::endpoint::{Endpoint, Seen, Step, answer, events, late_answer, says, stream_head};
use crate::fleet::{Fleet, until};

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

// What the refusal says, in seconds.
fn told(whole: &str) -> f64 {
    let line = whole
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    line.expect("a time").parse().expect("seconds")
}

/// Guards against callers who are sent away for longer than they can wait, or come back
/// while it is known that nothing has changed.
#[tokio::test]
async fn callers_of_paused_endpoints_come_back_when_it_helps() {
    let endpoint = Endpoint::start(|_, seen| {
        vec![answer(
            seen,
            "503 Busy",
            "x-not-run: 1\r\nx-retry-after: 300\r\n",
            "",
        )]
    })
    .await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    call_until_seen(&fleet, &endpoint, 1).await;
    let whole = fleet.call("POST", "/order/1", "").await;
    assert!(whole.contains("\"paused\""), "{whole}");
    assert!((0.15..0.4).contains(&told(&whole)), "{whole}");
    let long = Endpoint::start(refuses).await;
    let fleet = Fleet::start(&[long.address]).await;
    call_until_seen(&fleet, &long, 1).await;
    let whole = fleet.call("POST", "/order/1", "").await;
    // A third of the route's 1.2 s, and what spreads callers.
    assert!((0.3..0.53).contains(&told(&whole)), "{whole}");
}

/// Guards against an endpoint that is left out after its pause, or gets all that waited
/// for it at once.
#[tokio::test]
async fn after_its_pause_an_endpoint_is_tried_and_used() {
    let endpoint = Endpoint::start(|n, seen| match n {
        0 => vec![answer(
            seen,
            "503 Busy",
            "x-not-run: 1\r\nx-retry-after: 300\r\n",
            "",
        )],
        1 => vec![Step::Wait(1_000), answer(seen, "200 OK", "", "ok")],
        _ => vec![answer(seen, "200 OK", "", "ok")],
    })
    .await;
    let other = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[endpoint.address, other.address]).await;
    call_until_seen(&fleet, &endpoint, 1).await;
    tokio::time::sleep(Duration::from_millis(350)).await;
    let trial = async {
        while endpoint.seen().len() < 2 {
            fleet.call("POST", "/order/1", "").await;
        }
    };
    let beside = async {
        until(async || endpoint.seen().len() == 2).await;
        for _ in 0..20 {
            let whole = fleet.call("POST", "/order/1", "").await;
            assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
        }
        endpoint.seen().len()
    };
    let ((), seen) = tokio::join!(trial, beside);
    assert_eq!(seen, 2);
    call_until_seen(&fleet, &endpoint, 3).await;
}

/// Guards against a stream that goes on at an endpoint which wants nothing, since it broke
/// at another.
#[tokio::test]
async fn a_broken_stream_does_not_go_on_at_a_paused_endpoint() {
    let paused = Endpoint::start(refuses).await;
    let breaking = Endpoint::start(|_, seen| {
        let mut steps = vec![stream_head(seen, "s1")];
        steps.extend(events(1, 2));
        steps.push(Step::Close);
        steps
    })
    .await;
    let fleet = Fleet::start(&[paused.address, breaking.address]).await;
    call_until_seen(&fleet, &paused, 1).await;
    let before = paused.seen().len();
    for _ in 0..6 {
        fleet.call("GET", "/draft/1", "").await;
    }
    assert_eq!(paused.seen().len(), before);
}

/// Guards against an endpoint that is left alone for the word of whoever has its address
/// now, or for one that came late.
#[tokio::test]
async fn a_pause_that_another_asks_for_is_not_kept() {
    let endpoint = Endpoint::start(|n, seen| match n {
        0 => vec![late_answer(
            "503 Busy",
            "x-not-run: 1\r\nx-retry-after: 5000\r\n",
        )],
        _ => vec![answer(seen, "200 OK", "", "mine")],
    })
    .await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let whole = fleet.call("POST", "/order/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 502"), "{whole}");
    let whole = fleet.call("POST", "/order/1", "").await;
    assert!(whole.ends_with("mine"), "{whole}");
}

/// Guards against an order that is said not to have run, for an endpoint that ran it and
/// then asked for a pause.
#[tokio::test]
async fn a_pause_is_no_promise_that_nothing_has_run() {
    let endpoint =
        Endpoint::start(|_, seen| vec![answer(seen, "503 Busy", "x-retry-after: 2000\r\n", "")])
            .await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let whole = fleet.call("POST", "/order/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 502"), "{whole}");
    let whole = fleet.call("POST", "/order/2", "").await;
    assert!(whole.contains("\"paused\""), "{whole}");
    assert_eq!(endpoint.seen().len(), 1);
}

/// Guards against an endpoint that turns everything away, names no time, and draws the more
/// requests the emptier it gets.
#[tokio::test]
async fn an_endpoint_that_turns_all_away_draws_few() {
    let refusing =
        Endpoint::start(|_, seen| vec![answer(seen, "503 Busy", "x-not-run: 1\r\n", "")]).await;
    let other = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[refusing.address, other.address]).await;
    for _ in 0..60 {
        fleet.call("POST", "/order/1", "").await;
    }
    // Half of them without a pause.
    let seen = refusing.seen().len();
    assert!((1..=10).contains(&seen), "{seen}");
}

/// Guards against callers who get nothing for long since an endpoint was full for a moment.
#[tokio::test]
async fn an_endpoint_that_was_full_for_a_moment_is_used_again() {
    let endpoint = Endpoint::start(|n, seen| match n {
        0 => vec![answer(seen, "503 Busy", "x-not-run: 1\r\n", "")],
        _ => vec![answer(seen, "200 OK", "", "ok")],
    })
    .await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let start = Instant::now();
    let whole = fleet.call("POST", "/order/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 503"), "{whole}");
    until(async || {
        let whole = fleet.call("POST", "/order/1", "").await;
        whole.starts_with("HTTP/1.1 200")
    })
    .await;
    assert!(start.elapsed() < Duration::from_millis(300));
}

/// Guards against a caller that is told to come back while it is known that this is in vain:
/// it may have one more try.
#[tokio::test]
async fn whoever_is_turned_away_by_the_last_endpoint_is_told_until_when() {
    let endpoint = Endpoint::start(refuses).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let whole = fleet.call("POST", "/order/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 503"), "{whole}");
    assert!(whole.contains("\"paused\""), "{whole}");
}

/// Guards against a caller that is sent away for as long as one endpoint of several wants
/// nothing of this instance.
#[tokio::test]
async fn what_an_endpoint_tells_this_instance_is_not_passed_on() {
    let endpoint = Endpoint::start(|_, seen| {
        vec![answer(
            seen,
            "503 Busy",
            "retry-after: 60\r\nx-retry-after: 60000\r\n",
            "",
        )]
    })
    .await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let whole = fleet.call("GET", "/stock/1", "").await;
    assert!(whole.contains("x-signed: s1"), "{whole}");
    assert!(told(&whole) < 1.0, "{whole}");
}
