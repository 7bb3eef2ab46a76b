//! Prompts that are fetched from an endpoint that holds them.

use std::cmp::Reverse;
use std::time::Duration;

use godwitpost_types::{hash, id};

use crate::endpoint::{Endpoint, Seen, Step, events, last_chunk, stream_head};
use crate::fleet::{Fleet, exchange, until};
use crate::metrics::{ASK, value};
use crate::peers::follows;

fn script(_: usize, seen: &Seen) -> Vec<Step> {
    let mut steps = vec![stream_head(seen, "s1")];
    steps.extend(events(1, 2));
    steps.push(last_chunk());
    steps
}

async fn three() -> Vec<Endpoint> {
    let mut endpoints = Vec::new();
    for _ in 0..3 {
        endpoints.push(Endpoint::start(script).await);
    }
    endpoints
}

// The endpoints' numbers in a part's ranking, the home first.
fn ranked(part: u64) -> [usize; 3] {
    let mut ranked = [0, 1, 2];
    ranked.sort_by_key(|n| Reverse(hash::score(part, id::of(&format!("e{n}")))));
    ranked
}

// A part that is ranked like this.
fn part(wanted: [usize; 3]) -> u64 {
    let found = (1..1_000).find(|part| ranked(*part) == wanted);
    found.expect("each ranking is that of one part in six")
}

async fn draft(fleet: &Fleet, parts: [u64; 3]) {
    let [first, second, own] = parts;
    let header = format!("x-prompt: {first},{second},{own}\r\n");
    let answer = fleet.call("POST", "/draft/1", &header).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

// The source that the last request to an endpoint named.
fn source(endpoint: &Endpoint) -> Option<String> {
    let seen = endpoint.seen();
    seen.last()?.header("x-source").map(str::to_owned)
}

// Waits until a part counts as in sudden demand no more, which spreads it.
async fn calm() {
    tokio::time::sleep(Duration::from_secs(2)).await;
}

// Waits until an instance knows all endpoints.
async fn known(fleet: &Fleet, endpoints: &[Endpoint]) {
    until(async || {
        fleet.call("GET", "/stock/1", "").await;
        endpoints.iter().all(|one| !one.seen().is_empty())
    })
    .await;
}

/// An engine is about to leave. Its prompts go elsewhere, and their callers
/// waited until 10,000 tokens were read again, while the engine still held them.
#[tokio::test]
async fn what_a_leaving_endpoint_holds_is_fetched_from_it() {
    let endpoints = three().await;
    let addresses: Vec<_> = endpoints.iter().map(|one| one.address).collect();
    let fleet = Fleet::start(&addresses).await;
    known(&fleet, &endpoints).await;
    let parts = [5_000, part([0, 1, 2]), 5_001];
    draft(&fleet, parts).await;
    assert!(source(&endpoints[0]).is_some());
    calm().await;
    draft(&fleet, parts).await;
    // Where it is held already nothing is fetched.
    assert_eq!(source(&endpoints[0]), None);
    fleet.leave("e0", addresses[0]);
    until(async || {
        let text = exchange(fleet.running.metrics_address(), ASK).await;
        value(&text, "godwitpost_endpoints{") == Some(2.0)
    })
    .await;
    calm().await;
    draft(&fleet, parts).await;
    assert_eq!(source(&endpoints[1]), Some(addresses[0].to_string()));
}

/// A prompt is new, but its first part was read at an engine that only another
/// instance has sent it to. Without its word the part would be read once at each
/// engine.
#[tokio::test]
async fn what_one_instance_saw_held_the_other_names() {
    for from in [0, 1] {
        let endpoints = three().await;
        let addresses: Vec<_> = endpoints.iter().map(|one| one.address).collect();
        let fleets = Fleet::start_two(&addresses).await;
        follows(&fleets[1]).await;
        for fleet in &fleets {
            known(fleet, &endpoints).await;
        }
        draft(&fleets[from], [5_000, part([0, 1, 2]), 5_001]).await;
        // New prompts with the same first part have another home, and another
        // endpoint is next in their ranking.
        let alike = (1..10_000).filter(|part| ranked(*part) == [2, 1, 0]);
        let mut alike = alike.collect::<Vec<u64>>().into_iter();
        until(async || {
            let second = alike.next().expect("there are many");
            draft(&fleets[1 - from], [5_000, second, 5_002]).await;
            source(&endpoints[2]) == Some(addresses[0].to_string())
        })
        .await;
    }
}
