//! Endpoints that begin responses late, while they write others.

use std::time::Duration;

use tokio::net::TcpStream;

use crate::endpoint::{Endpoint, ReceivedRequest, Step, stream_head};
use crate::fleet::{TestInstance, content, exchange, request, wait_until};
use crate::metrics::{METRICS_REQUEST, sample_value};

/// The time between two events of a stream, in milliseconds.
const EVENT_INTERVAL_MS: u64 = 50;

/// How long the endpoint begins no other response, in milliseconds.
const READ_MS: u64 = 10_000;

/// The objective of the routes. An attempt is given up after twice this time.
const ROUTE_OBJECTIVE: Duration = Duration::from_millis(50);

/// Requests one after the other, all of which wait in vain before the stream times out.
const CALLS_IN_VAIN: usize = 8;

fn write_one_stream(_: usize, received: &ReceivedRequest) -> Vec<Step> {
    if !received.head.starts_with("POST /draft/") {
        return vec![Step::Wait(READ_MS)];
    }
    let event = "id: 1\ndata: t1\n\n";
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    vec![
        stream_head(received, "s1"),
        Step::SendWithoutEnd(chunk, EVENT_INTERVAL_MS),
    ]
}

// Returns an instance whose only endpoint writes a stream and begins no other response.
async fn start_reading() -> (TestInstance, TcpStream) {
    let endpoint = Endpoint::start(write_one_stream).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let mut content = content(2);
    for route in &mut content.routes {
        route.objective = ROUTE_OBJECTIVE;
    }
    instance.publish(content);
    let version = async || sample_value(&metrics(&instance).await, "godwitpost_bundle_version");
    wait_until(async || version().await == Some(2.0)).await;
    let stream = instance.open(&request("POST", "/draft/1", "", "")).await;
    wait_until(async || !endpoint.received().is_empty()).await;
    (instance, stream)
}

async fn metrics(instance: &TestInstance) -> String {
    exchange(instance.running.metrics_address(), METRICS_REQUEST).await
}

/// Guards against an endpoint that is closed while it reads a long prompt, so that the others
/// get its requests above the load bound.
#[tokio::test]
async fn endpoint_that_reads_a_long_prompt_stays_in_use() {
    let (instance, _stream) = start_reading().await;
    tokio::join!(
        instance.call("GET", "/stock/1", ""),
        instance.call("GET", "/stock/2", "")
    );
    let text = metrics(&instance).await;
    assert!(!text.contains("observation=\"late-head\""), "{text}");
    let is_busy = |line: &str| {
        line.starts_with("godwitpost_late_responses_total") && line.contains("busy=\"true\"")
    };
    assert!(text.lines().any(is_busy), "{text}");
}

/// Guards against an endpoint that answers nobody any more and gets requests as long as it
/// writes what it has begun.
#[tokio::test]
async fn endpoint_that_begins_no_responses_for_long_is_closed() {
    let (instance, _stream) = start_reading().await;
    for _ in 0..CALLS_IN_VAIN {
        instance.call("GET", "/stock/1", "").await;
    }
    let text = metrics(&instance).await;
    assert!(text.contains("observation=\"late-head\""), "{text}");
}
