//! Endpoints that refuse requests and ask for a pause.

use std::time::{Duration, Instant};

use crate::endpoint::{
    Endpoint, ReceivedRequest, Step, events, ok_with_body, response_to, response_to_other_attempt,
    stream_head,
};
use crate::fleet::{TestInstance, wait_until};

/// The headers of a refusal that asks for a pause of two seconds.
const PAUSE_HEADERS: &str = "x-not-run: 1\r\nx-retry-after: 2000\r\n";

/// Number of requests that an endpoint may still get from one instance during a pause.
const MAX_REQUESTS_DURING_PAUSE: usize = 2;

fn refuse_with_pause(_: usize, received: &ReceivedRequest) -> Vec<Step> {
    vec![response_to(received, "503 Busy", PAUSE_HEADERS, "")]
}

// Calls until this many requests have reached the endpoint.
async fn call_until_received(instance: &TestInstance, endpoint: &Endpoint, count: usize) {
    for _ in 0..50 {
        if endpoint.received().len() >= count {
            return;
        }
        instance.call("GET", "/stock/1", "").await;
    }
    panic!("the endpoint never got a request");
}

/// Guards against requests that still go to an endpoint which asked for a pause, and which
/// attracts more of them as its load falls.
#[tokio::test]
async fn requested_pause_is_respected() {
    let paused = Endpoint::start(refuse_with_pause).await;
    let other = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[paused.address, other.address]).await;
    call_until_received(&instance, &paused, 1).await;
    let before = paused.received().len();
    for _ in 0..30 {
        let response = instance.call("POST", "/order/1", "").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    assert!(paused.received().len() <= before + MAX_REQUESTS_DURING_PAUSE);
}

/// Guards against requests that wait, or are sent in vain, while all endpoints are known to
/// be paused.
#[tokio::test]
async fn callers_are_refused_at_once_if_all_endpoints_are_paused() {
    let endpoint = Endpoint::start(refuse_with_pause).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    call_until_received(&instance, &endpoint, 1).await;
    let before = endpoint.received().len();
    let start = Instant::now();
    for _ in 0..10 {
        let response = instance.call("POST", "/order/1", "").await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("retry-after"), "{response}");
    }
    assert!(start.elapsed() < Duration::from_millis(500));
    assert!(endpoint.received().len() <= before + MAX_REQUESTS_DURING_PAUSE);
}

// Returns the retry delay of the refusal, in seconds.
fn retry_delay_secs(response: &str) -> f64 {
    let line = response
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    line.expect("a time").parse().expect("seconds")
}

/// Guards against callers that get a retry delay beyond their timeout, or retry before
/// anything can have changed.
#[tokio::test]
async fn retry_delay_matches_the_pause() {
    let endpoint = Endpoint::start(|_, received| {
        vec![response_to(
            received,
            "503 Busy",
            "x-not-run: 1\r\nx-retry-after: 300\r\n",
            "",
        )]
    })
    .await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    call_until_received(&instance, &endpoint, 1).await;
    let response = instance.call("POST", "/order/1", "").await;
    assert!(response.contains("\"paused\""), "{response}");
    assert!(
        (0.15..0.4).contains(&retry_delay_secs(&response)),
        "{response}"
    );
    let long = Endpoint::start(refuse_with_pause).await;
    let instance = TestInstance::start(&[long.address]).await;
    call_until_received(&instance, &long, 1).await;
    let response = instance.call("POST", "/order/1", "").await;
    // A third of the route's 1.2 s, with the jitter that spreads callers.
    assert!(
        (0.3..0.53).contains(&retry_delay_secs(&response)),
        "{response}"
    );
}

/// Guards against an endpoint that is not used again after its pause, or gets all waiting
/// requests at once.
#[tokio::test]
async fn endpoint_is_tried_and_then_used_after_its_pause() {
    let endpoint = Endpoint::start(|n, received| match n {
        0 => vec![response_to(
            received,
            "503 Busy",
            "x-not-run: 1\r\nx-retry-after: 300\r\n",
            "",
        )],
        1 => vec![Step::Wait(1_000), response_to(received, "200 OK", "", "ok")],
        _ => vec![response_to(received, "200 OK", "", "ok")],
    })
    .await;
    let other = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address, other.address]).await;
    call_until_received(&instance, &endpoint, 1).await;
    tokio::time::sleep(Duration::from_millis(350)).await;
    let trial = async {
        while endpoint.received().len() < 2 {
            instance.call("POST", "/order/1", "").await;
        }
    };
    let concurrent_calls = async {
        wait_until(async || endpoint.received().len() == 2).await;
        for _ in 0..20 {
            let response = instance.call("POST", "/order/1", "").await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
        endpoint.received().len()
    };
    let ((), received) = tokio::join!(trial, concurrent_calls);
    assert_eq!(received, 2);
    call_until_received(&instance, &endpoint, 3).await;
}

/// Guards against a broken stream that is resumed at a paused endpoint.
#[tokio::test]
async fn broken_stream_is_not_resumed_at_a_paused_endpoint() {
    let paused = Endpoint::start(refuse_with_pause).await;
    let breaking = Endpoint::start(|_, received| {
        let mut steps = vec![stream_head(received, "s1")];
        steps.extend(events(1, 2));
        steps.push(Step::Close);
        steps
    })
    .await;
    let instance = TestInstance::start(&[paused.address, breaking.address]).await;
    call_until_received(&instance, &paused, 1).await;
    let before = paused.received().len();
    for _ in 0..6 {
        instance.call("GET", "/draft/1", "").await;
    }
    assert_eq!(paused.received().len(), before);
}

/// Guards against a pause requested by another server at the endpoint's address, or by a
/// late response.
#[tokio::test]
async fn pause_in_a_response_to_another_attempt_is_ignored() {
    let endpoint = Endpoint::start(|n, received| match n {
        0 => vec![response_to_other_attempt(
            "503 Busy",
            "x-not-run: 1\r\nx-retry-after: 5000\r\n",
        )],
        _ => vec![response_to(received, "200 OK", "", "mine")],
    })
    .await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let response = instance.call("POST", "/order/1", "").await;
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    let response = instance.call("POST", "/order/1", "").await;
    assert!(response.ends_with("mine"), "{response}");
}

/// Guards against reporting a request as not run when its endpoint ran it and then asked
/// for a pause.
#[tokio::test]
async fn pause_does_not_imply_not_run() {
    let endpoint = Endpoint::start(|_, received| {
        vec![response_to(
            received,
            "503 Busy",
            "x-retry-after: 2000\r\n",
            "",
        )]
    })
    .await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let response = instance.call("POST", "/order/1", "").await;
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    let response = instance.call("POST", "/order/2", "").await;
    assert!(response.contains("\"paused\""), "{response}");
    assert_eq!(endpoint.received().len(), 1);
}

/// Guards against an endpoint that refuses everything without naming a time, and attracts
/// more requests as its load falls.
#[tokio::test]
async fn endpoint_that_refuses_everything_gets_few_requests() {
    let refusing = Endpoint::start(|_, received| {
        vec![response_to(received, "503 Busy", "x-not-run: 1\r\n", "")]
    })
    .await;
    let other = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[refusing.address, other.address]).await;
    for _ in 0..60 {
        instance.call("POST", "/order/1", "").await;
    }
    // Without pauses it would get half of the requests.
    let received = refusing.received().len();
    assert!((1..=10).contains(&received), "{received}");
}

/// Guards against a long pause after an endpoint was full only briefly.
#[tokio::test]
async fn briefly_full_endpoint_is_used_again() {
    let endpoint = Endpoint::start(|n, received| match n {
        0 => vec![response_to(received, "503 Busy", "x-not-run: 1\r\n", "")],
        _ => vec![response_to(received, "200 OK", "", "ok")],
    })
    .await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let start = Instant::now();
    let response = instance.call("POST", "/order/1", "").await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    wait_until(async || {
        let response = instance.call("POST", "/order/1", "").await;
        response.starts_with("HTTP/1.1 200")
    })
    .await;
    assert!(start.elapsed() < Duration::from_millis(300));
}

/// Guards against a retry delay that is too short to help: the caller may have only one
/// retry.
#[tokio::test]
async fn refusal_by_the_last_endpoint_reports_the_pause() {
    let endpoint = Endpoint::start(refuse_with_pause).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let response = instance.call("POST", "/order/1", "").await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("\"paused\""), "{response}");
}

/// Guards against relaying the retry delay of one endpoint, meant for this instance, to the
/// caller.
#[tokio::test]
async fn endpoint_retry_delay_is_not_relayed() {
    let endpoint = Endpoint::start(|_, received| {
        vec![response_to(
            received,
            "503 Busy",
            "retry-after: 60\r\nx-retry-after: 60000\r\n",
            "",
        )]
    })
    .await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let response = instance.call("GET", "/stock/1", "").await;
    assert!(response.contains("x-signed: s1"), "{response}");
    assert!(retry_delay_secs(&response) < 1.0, "{response}");
}
