//! An instance that reaches no endpoint itself while other instances do.

use std::time::Duration;

use crate::endpoint::{Endpoint, events, last_chunk, ok_with_body, stream_head};
use crate::fleet::{TestInstance, free_addresses, wait_until};
use crate::path::Path;

/// How long instances may take to learn of each other: two exchanges of seeds.
const INTRODUCTION_TIME: Duration = Duration::from_millis(2_200);

/// Requests of each kind that are sent to each instance.
const REQUESTS: usize = 10;

/// Starts an instance with these paths to its endpoints, and two that reach them directly.
async fn start_fleet(paths: &[Path], endpoints: &[Endpoint]) -> [TestInstance; 3] {
    let addresses: Vec<_> = endpoints.iter().map(|one| one.address).collect();
    let cut_off: Vec<_> = paths.iter().map(|path| path.address).collect();
    let seeds = free_addresses::<3>();
    let [cut, second, third] = seeds;
    let fleet = [
        TestInstance::start_with_seeds(&seeds, cut, &cut_off),
        TestInstance::start_with_seeds(&seeds, second, &addresses),
        TestInstance::start_with_seeds(&seeds, third, &addresses),
    ];
    for instance in &fleet {
        instance.wait_until_ready().await;
    }
    tokio::time::sleep(INTRODUCTION_TIME).await;
    fleet
}

/// Returns how many requests of all kinds an instance served.
async fn count_served(instance: &TestInstance) -> usize {
    let mut served = 0;
    for _ in 0..REQUESTS {
        for (method, path) in [
            ("GET", "/stock/1"),
            ("POST", "/order/1"),
            ("POST", "/draft/1"),
        ] {
            let response = instance.call(method, path, "").await;
            served += usize::from(response.starts_with("HTTP/1.1 200"));
        }
    }
    served
}

async fn start_endpoints() -> Vec<Endpoint> {
    let mut endpoints = Vec::new();
    for _ in 0..4 {
        endpoints.push(Endpoint::start(respond).await);
    }
    endpoints
}

fn respond(
    number: usize,
    received: &crate::endpoint::ReceivedRequest,
) -> Vec<crate::endpoint::Step> {
    if !received.head.starts_with("POST /draft/") {
        return ok_with_body("ok")(number, received);
    }
    let mut steps = vec![stream_head(received, "s1")];
    steps.extend(events(1, 3));
    steps.push(last_chunk());
    steps
}

// The users' bound: first tries are served at least two thirds as often as elsewhere.
fn assert_served_alike(cut_off: usize, other: usize) {
    assert_eq!(other, REQUESTS * 3);
    assert!(
        cut_off * 3 >= other * 2,
        "{cut_off} served, {other} elsewhere"
    );
}

/// Guards against refusals by an instance whose connections to all endpoints are refused
/// while other instances are served by them.
#[tokio::test]
async fn callers_are_served_where_endpoints_refuse_the_instance() {
    let endpoints = start_endpoints().await;
    let paths: Vec<Path> = endpoints
        .iter()
        .map(|one| Path::refused(one.address))
        .collect();
    let [cut_off, other, _third] = start_fleet(&paths, &endpoints).await;
    assert_served_alike(count_served(&cut_off).await, count_served(&other).await);
}

/// Guards against requests that run out of time at an instance whose connections to all
/// endpoints hang while other instances are served by them.
#[tokio::test]
async fn callers_are_served_where_endpoints_are_silent_to_the_instance() {
    let endpoints = start_endpoints().await;
    let mut paths = Vec::new();
    for one in &endpoints {
        paths.push(Path::silent(one.address).await);
    }
    let [cut_off, other, _third] = start_fleet(&paths, &endpoints).await;
    assert_served_alike(count_served(&cut_off).await, count_served(&other).await);
}

/// Guards against callers that are served through other instances for long after the paths
/// to the endpoints have healed, and against refusals when they are cut again.
#[tokio::test]
async fn healed_paths_are_used_again_by_themselves() {
    let endpoints = start_endpoints().await;
    let paths: Vec<Path> = endpoints
        .iter()
        .map(|one| Path::open(one.address))
        .collect();
    let [cut_off, other, _third] = start_fleet(&paths, &endpoints).await;
    for _ in 0..2 {
        assert_eq!(count_served(&cut_off).await, REQUESTS * 3);
        for path in &paths {
            path.reset().await;
        }
        assert_served_alike(count_served(&cut_off).await, count_served(&other).await);
        let connections = || paths.iter().map(Path::connections).sum::<usize>();
        let before = connections();
        for path in &paths {
            path.heal();
        }
        wait_until(async || {
            cut_off.call("GET", "/stock/1", "").await;
            connections() > before
        })
        .await;
    }
}
