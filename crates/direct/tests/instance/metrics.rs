//! Metrics under their documented names.

use crate::endpoint::{Endpoint, ReceivedRequest, Step, ok_with_body, response_to};
use crate::fleet::{TestInstance, exchange, free_addresses, wait_until};

/// A request for the metrics.
pub(crate) const METRICS_REQUEST: &str =
    "GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

const METRIC_NAMES: [&str; 18] = [
    "godwitpost_requests_total",
    "godwitpost_first_byte_seconds_bucket",
    "godwitpost_whole_seconds_bucket",
    "godwitpost_refusals_total",
    "godwitpost_response_ends_total",
    "godwitpost_log_calls_total",
    "godwitpost_log_era",
    "godwitpost_readiness",
    "godwitpost_log_era_age_ms",
    "godwitpost_endpoints",
    "godwitpost_bundle_version",
    "godwitpost_policy_age_ms",
    "godwitpost_in_flight",
    "godwitpost_log_lines_dropped",
    "godwitpost_service_in_flight",
    "godwitpost_service_load",
    "godwitpost_service_idle_connections",
    "godwitpost_repeats_left",
];

#[tokio::test]
async fn metrics_have_their_documented_names() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    instance.call("GET", "/stock/1", "").await;
    instance.call("GET", "/nowhere/1", "").await;
    let text = || exchange(instance.running.metrics_address(), METRICS_REQUEST);
    // Gauges of the control thread are set at its next tick.
    wait_until(async || text().await.contains("godwitpost_policy_age_ms")).await;
    let text = text().await;
    let missing: Vec<_> = METRIC_NAMES
        .iter()
        .filter(|name| !text.contains(**name))
        .collect();
    assert!(missing.is_empty(), "{missing:?} in {text}");
    assert!(text.contains("workspace=\"franchise\""), "{text}");
    assert!(text.contains("reason=\"no-route\""), "{text}");
    let is_ready = |line: &str| line.contains("state=\"ready\"") && line.ends_with(" 1");
    assert!(text.lines().any(is_ready), "{text}");
    assert!(!text.contains("k1"), "the metrics contain a key");
}

/// Checks that an operator can tell whether calls to a service fail for lack of
/// connections, capacity or retries. While two requests are at an endpoint that reports
/// five running, and one connection is idle, each of these shows under the name of the
/// service.
#[tokio::test]
async fn gauges_show_the_use_of_a_service() {
    let endpoint = Endpoint::start(|_, received| {
        if received.head.starts_with("GET /stock/slow") {
            return vec![Step::Wait(5_000)];
        }
        vec![response_to(received, "200 OK", "x-load: 5,0,8\r\n", "ok")]
    })
    .await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    tokio::join!(
        instance.call("GET", "/stock/1", ""),
        instance.call("GET", "/stock/2", "")
    );
    let slow_call = async { instance.call("GET", "/stock/slow", "").await };
    let read_metrics = async {
        wait_until(async || endpoint.received().len() == 3).await;
        exchange(instance.running.metrics_address(), METRICS_REQUEST).await
    };
    let text = tokio::select! {
        text = read_metrics => text,
        _ = slow_call => panic!("the slow request was answered early"),
    };
    let value = |name| sample_value(&text, name);
    assert_eq!(value("godwitpost_service_in_flight{"), Some(1.0), "{text}");
    assert_eq!(
        value("godwitpost_service_idle_connections{"),
        Some(1.0),
        "{text}"
    );
    assert!(value("godwitpost_service_load{") > Some(3.0), "{text}");
    assert!(value("godwitpost_repeats_left{") > Some(0.0), "{text}");
}

/// Guards against an endpoint that holds far more than others without a trace at those that
/// send to it.
#[tokio::test]
async fn loads_above_the_bound_are_counted_by_service() {
    let busy = |_, received: &ReceivedRequest| {
        vec![response_to(received, "200 OK", "x-load: 5,15,8\r\n", "ok")]
    };
    let endpoint = Endpoint::start(busy).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    // The first load is compared with a mean of nothing, the second with that load.
    instance.call("GET", "/stock/1", "").await;
    instance.call("GET", "/stock/2", "").await;
    let text = exchange(instance.running.metrics_address(), METRICS_REQUEST).await;
    let count = |above: &str| {
        let line = text.lines().find(|line| {
            line.starts_with("godwitpost_endpoint_loads_total") && line.contains(above)
        });
        line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
    };
    assert_eq!(count("above=\"true\""), Some(1), "{text}");
    assert_eq!(count("above=\"false\""), Some(1), "{text}");
    let ended = sample_value(&text, "godwitpost_endpoint_time_seconds_count");
    assert_eq!(ended, Some(2.0), "{text}");
}

/// Returns the value of the first sample whose line has this prefix.
pub(crate) fn sample_value(text: &str, prefix: &str) -> Option<f64> {
    let line = text.lines().find(|line| line.starts_with(prefix))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Guards against an endpoint that is no longer used without a trace of why.
#[tokio::test]
async fn access_changes_are_counted_with_what_was_observed() {
    let [address] = free_addresses();
    let instance = TestInstance::start(&[address]).await;
    instance.call("GET", "/stock/1", "").await;
    let metrics = exchange(instance.running.metrics_address(), METRICS_REQUEST).await;
    let closed = metrics.lines().find(|line| {
        line.starts_with("godwitpost_access_changes_total")
            && line.contains("access=\"none\"")
            && line.contains("observation=\"no-connection\"")
    });
    assert!(closed.is_some(), "{metrics}");
}
