//! What whoever collects metrics finds, by the names that the docs give.

use crate::endpoint::{Endpoint, says};
use crate::fleet::{Fleet, exchange, until};

const NAMES: [&str; 10] = [
    "godwitpost_requests_total",
    "godwitpost_first_byte_seconds_bucket",
    "godwitpost_whole_seconds_bucket",
    "godwitpost_refusals_total",
    "godwitpost_log_calls_total",
    "godwitpost_endpoints",
    "godwitpost_bundle_version",
    "godwitpost_policy_age_ms",
    "godwitpost_in_flight",
    "godwitpost_log_lines_dropped",
];

#[tokio::test]
async fn metrics_have_the_names_that_operators_are_told() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    fleet.call("GET", "/stock/1", "").await;
    fleet.call("GET", "/nowhere/1", "").await;
    let ask = "GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let text = || exchange(fleet.running.metrics_address(), ask);
    // Gauges of the control thread come with its next tick.
    until(async || text().await.contains("godwitpost_policy_age_ms")).await;
    let text = text().await;
    let missing: Vec<_> = NAMES.iter().filter(|name| !text.contains(**name)).collect();
    assert!(missing.is_empty(), "{missing:?} in {text}");
    assert!(text.contains("workspace=\"franchise\""), "{text}");
    assert!(text.contains("reason=\"no-route\""), "{text}");
    assert!(!text.contains("k1"), "a key is told");
}
