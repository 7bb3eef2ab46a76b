//! An instance that asks another one what the log says.

use std::time::{Duration, Instant};

use crate::endpoint::{Endpoint, Seen, answer, says};
use crate::fleet::{Fleet, content, exchange, free_addresses, until};
use crate::metrics::{ASK, value};

/// Waits until an instance reads its log no more.
pub(crate) async fn follows(fleet: &Fleet) {
    until(async || {
        let before = fleet.calls();
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.calls() == before
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

/// Instances of hundreds are replaced one after the other. Each read the log for
/// itself first, six calls and more, although three others knew what it says.
#[tokio::test]
async fn an_instance_that_starts_beside_others_reads_no_log() {
    let endpoint = Endpoint::start(says("ok")).await;
    let [first, second, own] = free_addresses();
    let seed = Fleet::start_among(&[first, second], first, &[endpoint.address]);
    seed.ready().await;
    // The second seed is gone, and may be the one that is asked first.
    let other = Fleet::start_among(&[first, second], own, &[endpoint.address]);
    other.ready().await;
    assert_eq!(status(&other, "/stock/1").await, "200");
    assert_eq!(other.calls(), 0);
}

/// All instances start at once, and nobody can be asked yet. Each topic is one call,
/// since a list that comes whole needs no read after it.
#[tokio::test]
async fn an_instance_that_starts_alone_lists_each_topic_once() {
    let endpoint = Endpoint::start(says("ok")).await;
    let [seed, own] = free_addresses();
    let other = Fleet::start_among(&[seed], own, &[endpoint.address]);
    other.ready().await;
    assert_eq!(other.calls(), 2);
    assert_eq!(status(&other, "/stock/1").await, "200");
}

/// Two instances read for others, and the one that is followed is killed. Those that
/// asked it went to the log, a hundred at once, although the other one knew as much.
#[tokio::test]
async fn with_one_that_reads_gone_another_one_is_asked() {
    let endpoint = Endpoint::start(says("ok")).await;
    let [first, second, own] = free_addresses();
    let seeds = [first, second];
    let mut read = seeds.map(|seed| Fleet::start_among(&seeds, seed, &[endpoint.address]));
    for fleet in &read {
        fleet.ready().await;
    }
    let other = Fleet::start_among(&seeds, own, &[endpoint.address]);
    other.ready().await;
    let mut without = content(2);
    without.routes.retain(|route| route.prefix != "/open/");
    read[0].roll(without);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let follows_first = status(&other, "/open/1").await == "404";
    read.rotate_left(usize::from(!follows_first));
    let [followed, left] = read;
    drop(followed);
    let mut more = content(3);
    more.routes.retain(|route| route.prefix != "/stock/");
    left.roll(more);
    until(async || status(&other, "/stock/1").await == "404").await;
    assert_eq!(other.calls(), 0);
}

/// The only instance that reads for others loses power, for good. A few standbys
/// read the log in its place; had everybody gone there, hundreds would have.
#[tokio::test]
async fn with_all_that_read_gone_only_standbys_read_the_log() {
    let endpoint = Endpoint::start(says("ok")).await;
    let [address, a, b, c, d] = free_addresses();
    let seed = Fleet::start_among(&[address], address, &[endpoint.address]);
    seed.ready().await;
    let start = |own| Fleet::start_among(&[address], own, &[endpoint.address]);
    let others = [a, b, c, d].map(start);
    for fleet in &others {
        fleet.ready().await;
    }
    // All have asked, and were told who stands by.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    drop(seed);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let reading = others.iter().filter(|fleet| fleet.calls() > 0).count();
    assert_eq!(reading, 2);
    for fleet in &others {
        assert_eq!(status(fleet, "/stock/1").await, "200");
    }
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
    other.operator.set_down(true);
    // What the other one confirms counts here as well, for longer than a lease.
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(status(&other, "/stock/1").await, "200");
    seed.operator.set_down(true);
    let start = Instant::now();
    until(async || status(&other, "/stock/1").await == "503").await;
    assert!(start.elapsed() < Duration::from_secs(5));
    assert_eq!(status(&other, "/open/1").await, "200");
    other.operator.set_down(false);
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
