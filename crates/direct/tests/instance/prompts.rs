//! Prompts that are fetched from an endpoint that holds them.

use std::cmp::Reverse;
use std::time::Duration;

use godwitpost_types::{hash, id};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::endpoint::{
    Endpoint, ReceivedRequest, Step, events, last_chunk, response_to, stream_head,
};
use crate::fleet::{TestInstance, exchange, request, wait_until};
use crate::metrics::{METRICS_REQUEST, sample_value};
use crate::peers::wait_until_log_unread;

fn script(_: usize, received: &ReceivedRequest) -> Vec<Step> {
    let mut steps = vec![stream_head(received, "s1")];
    steps.extend(events(1, 2));
    steps.push(last_chunk());
    steps
}

async fn three_endpoints() -> Vec<Endpoint> {
    let mut endpoints = Vec::new();
    for _ in 0..3 {
        endpoints.push(Endpoint::start(script).await);
    }
    endpoints
}

// Returns the endpoints' numbers in a part's ranking, the home first.
fn ranked(part: u64) -> [usize; 3] {
    let mut ranked = [0, 1, 2];
    ranked.sort_by_key(|n| Reverse(hash::score(part, id::from_name(&format!("e{n}")))));
    ranked
}

// Returns parts with this ranking, which is one part in six.
fn parts_ranked(wanted: [usize; 3]) -> impl Iterator<Item = u64> {
    (1..10_000).filter(move |part| ranked(*part) == wanted)
}

fn part_ranked(wanted: [usize; 3]) -> u64 {
    parts_ranked(wanted).next().expect("there are many")
}

async fn send_draft(instance: &TestInstance, parts: [u64; 3]) {
    let [first, second, own] = parts;
    let header = format!("x-prompt: {first},{second},{own}\r\n");
    let response = instance.call("POST", "/draft/1", &header).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

// Returns the source named in the last request to an endpoint.
fn last_source(endpoint: &Endpoint) -> Option<String> {
    let received = endpoint.received();
    received.last()?.header("x-source").map(str::to_owned)
}

// Waits until the sudden demand for a part, which spreads it, has passed.
async fn wait_until_demand_ends() {
    tokio::time::sleep(Duration::from_secs(2)).await;
}

// Waits until the instance has used all endpoints.
async fn wait_until_all_used(instance: &TestInstance, endpoints: &[Endpoint]) {
    wait_until(async || {
        instance.call("GET", "/stock/1", "").await;
        endpoints.iter().all(|one| !one.received().is_empty())
    })
    .await;
}

/// Guards against prompts of a leaving engine that are recomputed elsewhere while the
/// engine still holds them: callers waited until 10,000 tokens were read again.
#[tokio::test]
async fn prompts_of_a_leaving_endpoint_are_fetched_from_it() {
    let endpoints = three_endpoints().await;
    let addresses: Vec<_> = endpoints.iter().map(|one| one.address).collect();
    let instance = TestInstance::start(&addresses).await;
    wait_until_all_used(&instance, &endpoints).await;
    let parts = [5_000, part_ranked([0, 1, 2]), 5_001];
    send_draft(&instance, parts).await;
    assert!(last_source(&endpoints[0]).is_some());
    wait_until_demand_ends().await;
    send_draft(&instance, parts).await;
    // No fetch where the prompt is already held.
    assert_eq!(last_source(&endpoints[0]), None);
    instance.register_leaving("e0", addresses[0]);
    wait_until(async || {
        let text = exchange(instance.running.metrics_address(), METRICS_REQUEST).await;
        sample_value(&text, "godwitpost_endpoints{") == Some(2.0)
    })
    .await;
    wait_until_demand_ends().await;
    send_draft(&instance, parts).await;
    assert_eq!(last_source(&endpoints[1]), Some(addresses[0].to_string()));
}

/// Guards against a first part that is recomputed at each engine. The new prompt's first
/// part is held by an engine that only another instance has sent it to, so instances must
/// exchange holders.
#[tokio::test]
async fn holders_known_to_one_instance_are_used_by_another() {
    for from in [0, 1] {
        let endpoints = three_endpoints().await;
        let addresses: Vec<_> = endpoints.iter().map(|one| one.address).collect();
        let instances = TestInstance::start_seed_and_poller(&addresses).await;
        wait_until_log_unread(&instances[1]).await;
        for instance in &instances {
            wait_until_all_used(instance, &endpoints).await;
        }
        send_draft(&instances[from], [5_000, part_ranked([0, 1, 2]), 5_001]).await;
        // New prompts with the same first part have another home, and another endpoint is
        // next in their ranking.
        let mut parts = parts_ranked([2, 1, 0]);
        wait_until(async || {
            let second = parts.next().expect("there are many");
            send_draft(&instances[1 - from], [5_000, second, 5_002]).await;
            last_source(&endpoints[2]) == Some(addresses[0].to_string())
        })
        .await;
    }
}

// A stream that lasts for seconds, from an endpoint that reports a low load. With unknown
// loads, one request is enough to send the next one elsewhere.
fn long_stream(_: usize, received: &ReceivedRequest) -> Vec<Step> {
    let mut steps = vec![stream_head(received, "s1\r\nx-load: 1,0,8")];
    for id in 1..=60 {
        steps.extend(events(id, id));
        steps.push(Step::Wait(50));
    }
    steps.push(last_chunk());
    steps
}

/// Guards against an endpoint that is marked down because the first packet of one new
/// connection was lost while it served a stream to another caller. Its prompts were then
/// recomputed elsewhere.
#[tokio::test]
async fn endpoint_that_serves_others_is_not_marked_down() {
    let limited = Endpoint::start_with_backlog(long_stream, 1);
    let quick = |_: usize, received: &ReceivedRequest| {
        vec![response_to(received, "200 OK", "x-load: 1,0,8\r\n", "ok")]
    };
    let other = Endpoint::start(quick).await;
    let instance = TestInstance::start(&[limited.address, other.address]).await;
    wait_until_all_used(&instance, std::slice::from_ref(&other)).await;
    // A new part for each request, since a part that is requested twice is spread.
    let mut parts = parts_ranked([0, 1, 2]);
    let mut next = || [5_000, parts.next().expect("there are many"), 5_001];
    let open = async |[first, second, own]: [u64; 3]| {
        let header = format!("x-prompt: {first},{second},{own}\r\n");
        instance
            .open(&request("POST", "/draft/1", &header, ""))
            .await
    };
    let (limited_before, other_before) = (limited.received().len(), other.received().len());
    let _reading = open(next()).await;
    wait_until(async || limited.received().len() > limited_before).await;
    limited.pause(true);
    let mut waiting = Vec::new();
    let connect_timeout = Duration::from_millis(100);
    while let Ok(Ok(connection)) =
        timeout(connect_timeout, TcpStream::connect(limited.address)).await
    {
        waiting.push(connection);
    }
    send_draft(&instance, next()).await;
    assert_eq!(other.received().len(), other_before + 1);
    limited.pause(false);
    drop(waiting);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let _next = open(next()).await;
    wait_until(async || {
        limited.received().len() + other.received().len() == limited_before + other_before + 3
    })
    .await;
    assert_eq!(other.received().len(), other_before + 1);
}

/// Guards against an engine that is sent to itself as a source: it restarted under another
/// name at the same address, and the log still lists the old name.
#[tokio::test]
async fn endpoint_is_not_its_own_source_under_another_name() {
    let engine = Endpoint::start(script).await;
    let instance = TestInstance::start(&[engine.address, engine.address]).await;
    wait_until(async || {
        let text = exchange(instance.running.metrics_address(), METRICS_REQUEST).await;
        sample_value(&text, "godwitpost_endpoints{") == Some(2.0)
    })
    .await;
    for wanted in [[0, 1, 2], [1, 0, 2]] {
        send_draft(&instance, [5_000, part_ranked(wanted), 5_001]).await;
        assert_eq!(last_source(&engine), None);
    }
}

/// Guards against prompts that are recomputed elsewhere while the endpoint that holds them
/// is only to be left, and against fetching from it after that.
#[tokio::test]
async fn prompts_of_an_evacuated_zone_are_fetched_early() {
    let near = Endpoint::start(script).await;
    let far = Endpoint::start(script).await;
    let instance = TestInstance::start(&[near.address]).await;
    send_draft(&instance, [1, 2, 3]).await;
    send_draft(&instance, [1, 4, 5]).await;
    instance.register_in_zone("kushiro", "e1", far.address);
    instance.set_evacuated("otaru", true);
    wait_until(async || {
        instance.call("GET", "/stock/1", "").await;
        !far.received().is_empty()
    })
    .await;
    send_draft(&instance, [1, 2, 3]).await;
    assert_eq!(last_source(&far), Some(near.address.to_string()));
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    send_draft(&instance, [1, 4, 5]).await;
    assert_eq!(last_source(&far), None);
}
