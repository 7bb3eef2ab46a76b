//! Requests that end the endpoints that run them.

use std::time::Duration;

use crate::endpoint::{Endpoint, Seen, Step, answer};
use crate::fleet::Fleet;
use crate::peers::follows;

const POISON: &str = "/stock/poison";

/// Within what time all instances know what one of them saw.
const PASSED: Duration = Duration::from_secs(2);

// Ends at one request and answers all others.
fn brittle(_: usize, seen: &Seen) -> Vec<Step> {
    if seen.head.starts_with("GET /stock/poison") {
        vec![Step::End]
    } else {
        vec![answer(seen, "200 OK", "", "ok")]
    }
}

async fn endpoints(count: usize) -> Vec<Endpoint> {
    let mut endpoints = Vec::new();
    for _ in 0..count {
        endpoints.push(Endpoint::start(brittle).await);
    }
    endpoints
}

// How many endpoints got the request that ends them.
fn ended(endpoints: &[Endpoint]) -> usize {
    let poisoned = |one: &&Endpoint| one.seen().iter().any(|seen| seen.head.contains(POISON));
    endpoints.iter().filter(poisoned).count()
}

async fn send(fleet: &Fleet, path: &str) -> String {
    let answer = fleet.call("GET", path, "").await;
    // Whether an endpoint ended is seen a moment after its connection broke.
    tokio::time::sleep(Duration::from_millis(60)).await;
    answer
}

fn status(answer: &str) -> &str {
    answer.get(9..12).unwrap_or_default()
}

/// A stock check ends each endpoint that runs it, and its client sends it again
/// and again. After the third endpoint it gets no further one: the client is
/// told that it has not run, and when to come back. Other stock checks are
/// served by the endpoints that are left.
#[tokio::test]
async fn a_request_that_ends_its_endpoints_is_held_back_after_three() {
    let endpoints = endpoints(5).await;
    let addresses: Vec<_> = endpoints.iter().map(|one| one.address).collect();
    let fleet = Fleet::start(&addresses).await;
    let first = send(&fleet, POISON).await;
    assert_eq!((status(&first), ended(&endpoints)), ("502", 2));
    let second = send(&fleet, POISON).await;
    assert_eq!(status(&second), "502", "{second}");
    let after = ended(&endpoints);
    assert!(after <= 4, "{after} ended");
    for _ in 0..3 {
        let held = send(&fleet, POISON).await;
        assert_eq!(status(&held), "503", "{held}");
        assert!(held.contains("\r\nretry-after: "), "{held}");
    }
    assert_eq!(ended(&endpoints), after);
    assert_eq!(status(&send(&fleet, "/stock/1").await), "200");
}

/// A server breaks off its answers, and goes on living. However often that
/// happens to a request, it is sent again: an answer that is lost is no sign
/// that the request did harm.
#[tokio::test]
async fn a_request_whose_answers_are_lost_is_not_held_back() {
    let breaks = |_: usize, _: &Seen| vec![Step::Close];
    let endpoints = [Endpoint::start(breaks).await, Endpoint::start(breaks).await];
    let addresses: Vec<_> = endpoints.iter().map(|one| one.address).collect();
    let fleet = Fleet::start(&addresses).await;
    for _ in 0..5 {
        let answer = send(&fleet, "/stock/1").await;
        assert_eq!(status(&answer), "502", "{answer}");
    }
}

/// The client goes to another instance each time. What one instance saw is
/// known to the one that is asked for the log, and from it to the others.
#[tokio::test]
async fn what_one_instance_saw_holds_at_the_others() {
    for from in [0, 1] {
        let endpoints = endpoints(6).await;
        let addresses: Vec<_> = endpoints.iter().map(|one| one.address).collect();
        let fleets = Fleet::start_two(&addresses).await;
        follows(&fleets[1]).await;
        send(&fleets[from], POISON).await;
        send(&fleets[from], POISON).await;
        let before = ended(&endpoints);
        tokio::time::sleep(PASSED).await;
        let answer = send(&fleets[1 - from], POISON).await;
        assert_eq!(status(&answer), "503", "from {from}: {answer}");
        assert_eq!(ended(&endpoints), before, "from {from}");
    }
}
