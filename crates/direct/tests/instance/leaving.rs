//! Endpoints that say in their answers that they are leaving.

use std::time::Duration;

use godwitpost_direct::source::Value;

use crate::endpoint::{Endpoint, Seen, Step, answer, late_answer, says};
use crate::fleet::Fleet;

/// The header by which an endpoint says so.
const LEAVING: &str = "x-leaving: 1\r\n";

/// Calls after which an endpoint that may get requests will have had one.
const MANY: usize = 12;

fn leaves(_: usize, seen: &Seen) -> Vec<Step> {
    vec![answer(seen, "200 OK", LEAVING, "last")]
}

async fn call_often(fleet: &Fleet) {
    for _ in 0..MANY {
        let whole = fleet.call("GET", "/open/1", "").await;
        assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
    }
}

// Calls until one of them was answered by an endpoint that is leaving.
async fn call_until_told(fleet: &Fleet, endpoint: &Endpoint) {
    for _ in 0..MANY {
        fleet.call("GET", "/open/1", "").await;
        if !endpoint.seen().is_empty() {
            return;
        }
    }
    panic!("the endpoint never got a request");
}

// Sends requests, all of which others serve.
async fn gets_no_more(fleet: &Fleet, endpoint: &Endpoint) {
    let before = endpoint.seen().len();
    call_often(fleet).await;
    assert_eq!(endpoint.seen().len(), before);
}

/// Guards against requests to an endpoint whose leaving only its own answers tell, since
/// the log still lists it.
#[tokio::test]
async fn an_endpoint_that_says_that_it_leaves_gets_no_more() {
    let leaving = Endpoint::start(leaves).await;
    let other = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[leaving.address, other.address]).await;
    call_until_told(&fleet, &leaving).await;
    gets_no_more(&fleet, &leaving).await;
    fleet.join("e0", leaving.address);
    tokio::time::sleep(Duration::from_millis(300)).await;
    gets_no_more(&fleet, &leaving).await;
}

/// Guards against a log that comes back after an absence and still lists, or lists anew,
/// an endpoint that said meanwhile that it leaves.
#[tokio::test]
async fn leaving_that_an_answer_told_outlasts_an_absence_of_the_log() {
    let leaving = Endpoint::start(leaves).await;
    let other = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[leaving.address, other.address]).await;
    fleet.endpoints.set_down(true);
    fleet.operator.set_down(true);
    call_until_told(&fleet, &leaving).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.endpoints.append("e0", Value::Removed);
    fleet.join("e0", leaving.address);
    fleet.endpoints.set_down(false);
    fleet.operator.set_down(false);
    fleet.ready().await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    gets_no_more(&fleet, &leaving).await;
    fleet.endpoints.append("e0", Value::Removed);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.join("e0", leaving.address);
    tokio::time::sleep(Duration::from_millis(300)).await;
    gets_no_more(&fleet, &leaving).await;
}

/// Guards against an endpoint that gets nothing more for a word that came late, in the
/// place of another answer.
#[tokio::test]
async fn a_word_in_an_answer_to_another_attempt_says_nothing() {
    let endpoint = Endpoint::start(|n, seen| match n {
        0 => vec![late_answer("200 OK", "x-leaving: 1\r\n")],
        _ => vec![answer(seen, "200 OK", "", "mine")],
    })
    .await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let whole = fleet.call("POST", "/order/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 502"), "{whole}");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let whole = fleet.call("POST", "/order/1", "").await;
    assert!(whole.ends_with("mine"), "{whole}");
}

/// Guards against callers who wait for an endpoint of a service that leaves as a whole.
#[tokio::test]
async fn with_all_endpoints_leaving_callers_are_told_at_once() {
    let endpoint = Endpoint::start(leaves).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    call_until_told(&fleet, &endpoint).await;
    let whole = fleet.call("GET", "/stock/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 503"), "{whole}");
    assert!(
        whole.contains("no-endpoint") && whole.contains("retry-after"),
        "{whole}"
    );
    assert_eq!(endpoint.seen().len(), 1);
}
