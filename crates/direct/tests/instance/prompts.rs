//! Prompts that are fetched from an endpoint that holds them.

use std::cmp::Reverse;
use std::time::Duration;

use godwitpost_types::{hash, id};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::endpoint::{Endpoint, Seen, Step, answer, events, last_chunk, stream_head};
use crate::fleet::{Fleet, exchange, request, until};
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

// Parts that are ranked like this, which is one in six.
fn alike(wanted: [usize; 3]) -> impl Iterator<Item = u64> {
    (1..10_000).filter(move |part| ranked(*part) == wanted)
}

fn part(wanted: [usize; 3]) -> u64 {
    alike(wanted).next().expect("there are many")
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
        let mut alike = alike([2, 1, 0]);
        until(async || {
            let second = alike.next().expect("there are many");
            draft(&fleets[1 - from], [5_000, second, 5_002]).await;
            source(&endpoints[2]) == Some(addresses[0].to_string())
        })
        .await;
    }
}

// A stream that lasts for seconds, from an endpoint that says how little it has:
// where nothing is known, one request is enough for the next to go elsewhere.
fn long(_: usize, seen: &Seen) -> Vec<Step> {
    let mut steps = vec![stream_head(seen, "s1\r\nx-load: 1,0,8")];
    for id in 1..=60 {
        steps.extend(events(id, id));
        steps.push(Step::Wait(50));
    }
    steps.push(last_chunk());
    steps
}

/// A caller reads a stream from an engine while the first packet of another's
/// connection to it is lost. The engine was held to be down by that, and its
/// prompts were read again elsewhere although it answered all the while.
#[tokio::test]
async fn an_endpoint_that_answers_others_is_not_held_to_be_down() {
    let narrow = Endpoint::start_narrow(long, 1);
    let quick = |_: usize, seen: &Seen| vec![answer(seen, "200 OK", "x-load: 1,0,8\r\n", "ok")];
    let other = Endpoint::start(quick).await;
    let fleet = Fleet::start(&[narrow.address, other.address]).await;
    known(&fleet, std::slice::from_ref(&other)).await;
    // One part each, since one that is asked for twice is spread.
    let mut alike = alike([0, 1, 2]);
    let mut next = || [5_000, alike.next().expect("there are many"), 5_001];
    let open = async |[first, second, own]: [u64; 3]| {
        let header = format!("x-prompt: {first},{second},{own}\r\n");
        fleet.open(&request("POST", "/draft/1", &header, "")).await
    };
    let (narrow_before, other_before) = (narrow.seen().len(), other.seen().len());
    let _reading = open(next()).await;
    until(async || narrow.seen().len() > narrow_before).await;
    narrow.pause(true);
    let mut waiting = Vec::new();
    let patience = Duration::from_millis(100);
    while let Ok(Ok(one)) = timeout(patience, TcpStream::connect(narrow.address)).await {
        waiting.push(one);
    }
    draft(&fleet, next()).await;
    assert_eq!(other.seen().len(), other_before + 1);
    narrow.pause(false);
    drop(waiting);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let _next = open(next()).await;
    until(async || narrow.seen().len() + other.seen().len() == narrow_before + other_before + 3)
        .await;
    assert_eq!(other.seen().len(), other_before + 1);
}

/// An engine restarted under another name at the same address, and the log has not
/// removed the name of before yet. The engine was told to fetch from itself.
#[tokio::test]
async fn an_endpoint_is_not_its_own_source_under_another_name() {
    let engine = Endpoint::start(script).await;
    let fleet = Fleet::start(&[engine.address, engine.address]).await;
    until(async || {
        let text = exchange(fleet.running.metrics_address(), ASK).await;
        value(&text, "godwitpost_endpoints{") == Some(2.0)
    })
    .await;
    for wanted in [[0, 1, 2], [1, 0, 2]] {
        draft(&fleet, [5_000, part(wanted), 5_001]).await;
        assert_eq!(source(&engine), None);
    }
}

/// Guards against prompts that are read anew elsewhere while the endpoint that holds
/// them only has to be left, and against fetching from it later.
#[tokio::test]
async fn what_an_evacuated_zone_holds_is_fetched_in_time() {
    let near = Endpoint::start(script).await;
    let far = Endpoint::start(script).await;
    let fleet = Fleet::start(&[near.address]).await;
    draft(&fleet, [1, 2, 3]).await;
    draft(&fleet, [1, 4, 5]).await;
    fleet.join_in("kushiro", "e1", far.address);
    fleet.evacuate("otaru", true);
    until(async || {
        fleet.call("GET", "/stock/1", "").await;
        !far.seen().is_empty()
    })
    .await;
    draft(&fleet, [1, 2, 3]).await;
    assert_eq!(source(&far), Some(near.address.to_string()));
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    draft(&fleet, [1, 4, 5]).await;
    assert_eq!(source(&far), None);
}
