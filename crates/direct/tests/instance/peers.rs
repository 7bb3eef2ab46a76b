//! An instance that asks another one what the log says.

use std::time::{Duration, Instant};

use crate::endpoint::{Endpoint, Seen, answer, says};
use crate::fleet::{Fleet, content, exchange, until};
use crate::metrics::{ASK, value};

/// Waits until an instance reads its log no more.
pub(crate) async fn follows(fleet: &Fleet) {
    until(async || {
        let calls = || fleet.endpoints.calls() + fleet.policies.calls();
        let before = calls();
        tokio::time::sleep(Duration::from_millis(500)).await;
        calls() == before
    })
    .await;
}

async fn status(fleet: &Fleet, path: &str) -> String {
    let whole = fleet.call("GET", path, "").await;
    whole.get(9..12).unwrap_or_default().to_owned()
}

#[tokio::test]
async fn news_comes_through_the_one_that_reads() {
    let first = Endpoint::start(says("ok")).await;
    let second = Endpoint::start(says("ok")).await;
    let [seed, other] = Fleet::start_two(&[first.address]).await;
    follows(&other).await;
    let mut more = content(2);
    more.routes.retain(|route| route.prefix != "/open/");
    seed.roll(more);
    until(async || status(&other, "/open/1").await == "404").await;
    seed.join("e1", second.address);
    seed.leave("e0", first.address);
    until(async || {
        status(&other, "/stock/1").await;
        !second.seen().is_empty()
    })
    .await;
    let before = first.seen().len();
    for _ in 0..5 {
        assert_eq!(status(&other, "/stock/1").await, "200");
    }
    assert_eq!(first.seen().len(), before);
}

/// Seventy instances start together. Each read the log for three seconds before it
/// looked for one to ask, while the log had them all to serve.
#[tokio::test]
async fn an_instance_that_starts_soon_reads_the_log_no_more() {
    let endpoint = Endpoint::start(says("ok")).await;
    let [_seed, other] = Fleet::start_two(&[endpoint.address]).await;
    let start = Instant::now();
    follows(&other).await;
    // Half a second without a call is what shows it.
    assert!(
        start.elapsed() < Duration::from_millis(1_800),
        "{:?}",
        start.elapsed()
    );
}

/// The instance that reads for others is stopped. Those that asked it go back
/// to the log before anything they know is too old.
#[tokio::test]
async fn with_the_one_that_reads_gone_the_log_is_read() {
    let endpoint = Endpoint::start(says("ok")).await;
    let [seed, other] = Fleet::start_two(&[endpoint.address]).await;
    follows(&other).await;
    drop(seed);
    let mut more = content(2);
    more.routes.retain(|route| route.prefix != "/open/");
    other.roll(more);
    let start = Instant::now();
    until(async || status(&other, "/open/1").await == "404").await;
    assert!(start.elapsed() < Duration::from_secs(2));
    assert_eq!(status(&other, "/stock/1").await, "200");
}

/// The log goes away for both. The one that asks must not take the other's
/// word for fresh: its lease ends like that of the one that read.
#[tokio::test]
async fn a_lease_does_not_grow_by_being_passed_on() {
    let endpoint = Endpoint::start(says("ok")).await;
    let [seed, other] = Fleet::start_two(&[endpoint.address]).await;
    follows(&other).await;
    other.policies.set_down(true);
    // What the other one confirms counts here as well, for longer than a lease.
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(status(&other, "/stock/1").await, "200");
    seed.policies.set_down(true);
    let start = Instant::now();
    until(async || status(&other, "/stock/1").await == "503").await;
    assert!(start.elapsed() < Duration::from_secs(5));
    assert_eq!(status(&other, "/open/1").await, "200");
    other.policies.set_down(false);
    until(async || status(&other, "/stock/1").await == "200").await;
}

/// A model engine is busy, and only one instance has asked it lately. The other
/// one would take it for idle, as would eighty others.
#[tokio::test]
async fn what_one_instance_hears_of_a_load_the_other_knows() {
    let busy = |_: usize, seen: &Seen| vec![answer(seen, "200 OK", "x-load: 14,2,64\r\n", "ok")];
    for from in [0, 1] {
        let endpoint = Endpoint::start(busy).await;
        let fleets = Fleet::start_two(&[endpoint.address]).await;
        follows(&fleets[1]).await;
        let told = &fleets[1 - from];
        until(async || {
            assert_eq!(status(&fleets[from], "/stock/1").await, "200");
            let text = exchange(told.running.metrics_address(), ASK).await;
            value(&text, "godwitpost_service_load{") > Some(8.0)
        })
        .await;
    }
}
