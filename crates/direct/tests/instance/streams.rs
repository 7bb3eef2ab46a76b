//! Event streams that break, fall silent or are left.

use crate::endpoint::{Endpoint, Seen, Step, chunk, events, last_chunk, stream_head};
use crate::fleet::{Fleet, request, rest, until};

fn whole(seen: &Seen, from: u64, to: u64) -> Vec<Step> {
    let mut steps = vec![stream_head(seen, "s2")];
    steps.extend(events(from, to));
    steps.push(last_chunk());
    steps
}

// The events of an answer, in order.
fn ids(answer: &str) -> Vec<u64> {
    answer
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .map(|id| id.parse().expect("a number"))
        .collect()
}

/// An engine crashes in the middle of an event of a chapter's draft. Another
/// goes on after the last whole event; the caller sees one answer.
#[tokio::test]
async fn a_broken_stream_goes_on_elsewhere_without_a_seam() {
    let script = |_, seen: &Seen| match seen.header("x-after") {
        None => {
            let mut steps = vec![stream_head(seen, "s1")];
            steps.extend(events(1, 3));
            steps.push(chunk("id: 4\nda"));
            steps.push(Step::Close);
            steps
        }
        Some(after) => whole(seen, after.parse::<u64>().expect("a number") + 1, 6),
    };
    let first = Endpoint::start(script).await;
    let second = Endpoint::start(script).await;
    let fleet = Fleet::start(&[first.address, second.address]).await;
    let answer = fleet.call("POST", "/draft/1", "").await;
    assert_eq!(ids(&answer), [1, 2, 3, 4, 5, 6], "{answer}");
    assert!(answer.contains("x-signed: s1") && !answer.contains("x-signed: s2"));
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    let after: Vec<_> = [first, second]
        .iter()
        .flat_map(Endpoint::seen)
        .filter_map(|seen| seen.header("x-after").map(str::to_owned))
        .collect();
    assert_eq!(after, ["3"]);
}

/// A caption's stream may not be resumed. Cut, it must not look whole.
#[tokio::test]
async fn a_stream_that_may_not_be_resumed_ends_without_its_end() {
    let script = |_, seen: &Seen| {
        let mut steps = vec![stream_head(seen, "s1")];
        steps.extend(events(1, 2));
        steps.push(Step::Wait(50));
        steps.push(Step::Close);
        steps
    };
    let first = Endpoint::start(script).await;
    let second = Endpoint::start(script).await;
    let fleet = Fleet::start(&[first.address, second.address]).await;
    let answer = fleet.call("POST", "/caption/1", "").await;
    assert_eq!(ids(&answer), [1, 2], "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(first.seen().len() + second.seen().len(), 1);
}

/// A stream's endpoint goes on with another event than the next. Joined, a
/// piece of the draft would be missing.
#[tokio::test]
async fn a_stream_that_goes_on_at_the_wrong_event_is_cut() {
    let script = |_, seen: &Seen| match seen.header("x-after") {
        None => {
            let mut steps = vec![stream_head(seen, "s1")];
            steps.extend(events(1, 3));
            steps.push(Step::Close);
            steps
        }
        Some(_) => whole(seen, 5, 8),
    };
    let first = Endpoint::start(script).await;
    let second = Endpoint::start(script).await;
    let fleet = Fleet::start(&[first.address, second.address]).await;
    let answer = fleet.call("POST", "/draft/1", "").await;
    assert_eq!(ids(&answer), [1, 2, 3], "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
}

#[tokio::test]
async fn a_stream_that_breaks_before_its_first_event_begins_anew() {
    let script = |n, seen: &Seen| match n {
        0 => vec![stream_head(seen, "s1"), Step::Close],
        _ => whole(seen, 1, 2),
    };
    let first = Endpoint::start(script).await;
    let second = Endpoint::start(|_, seen: &Seen| whole(seen, 1, 2)).await;
    let fleet = Fleet::start(&[first.address, second.address]).await;
    for _ in 0..4 {
        let answer = fleet.call("POST", "/draft/1", "").await;
        assert_eq!(ids(&answer), [1, 2], "{answer}");
        assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    }
}

#[tokio::test]
async fn events_are_passed_on_as_they_come() {
    use tokio::io::AsyncReadExt;
    let script = |_, seen: &Seen| {
        let mut steps = vec![stream_head(seen, "s1")];
        steps.extend(events(1, 1));
        steps.push(Step::Wait(900));
        steps.extend(events(2, 2));
        steps.push(last_chunk());
        steps
    };
    let endpoint = Endpoint::start(script).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let start = std::time::Instant::now();
    let mut stream = fleet.open(&request("POST", "/draft/1", "", "")).await;
    let mut text = String::new();
    while !text.contains("t1") {
        let mut bytes = [0; 1024];
        let count = stream.read(&mut bytes).await.expect("an event");
        text.push_str(str::from_utf8(&bytes[..count]).expect("text"));
    }
    assert!(start.elapsed().as_millis() < 500);
    let answer = rest(&mut stream).await;
    assert_eq!(ids(&answer), [2]);
}

/// A route's time is over in the middle of a draft: the answer ends at once,
/// and its engine stops.
#[tokio::test]
async fn the_routes_time_is_kept_in_the_middle_of_a_stream() {
    let script = |_, seen: &Seen| {
        let mut steps = vec![stream_head(seen, "s1")];
        for id in 1..100 {
            steps.extend(events(id, id));
            steps.push(Step::Wait(100));
        }
        steps
    };
    let endpoint = Endpoint::start(script).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let start = std::time::Instant::now();
    let answer = fleet.call("POST", "/draft/1", "").await;
    let took = start.elapsed().as_millis();
    assert!((1_100..1_600).contains(&took), "{took}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
    until(async || endpoint.gone() == 1).await;
}

#[tokio::test]
async fn a_caller_that_leaves_a_stream_stops_its_endpoint() {
    let script = |_, seen: &Seen| {
        let mut steps = vec![stream_head(seen, "s1")];
        steps.extend(events(1, 2));
        steps.push(Step::Wait(10_000));
        steps
    };
    let endpoint = Endpoint::start(script).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let stream = fleet.open(&request("POST", "/caption/1", "", "")).await;
    until(async || !endpoint.seen().is_empty()).await;
    drop(stream);
    let start = std::time::Instant::now();
    until(async || endpoint.gone() == 1).await;
    assert!(start.elapsed().as_millis() < 500);
}
