//! An instance that polls another one for the log's content.

use std::time::{Duration, Instant};

use godwitpost_direct::source::Value;

use crate::endpoint::{Endpoint, ReceivedRequest, ok_with_body, response_to};
use crate::fleet::{TestInstance, content, exchange, free_addresses, wait_until};
use crate::metrics::{METRICS_REQUEST, sample_value};

/// How long the log is away: long enough for entries to expire.
const LOG_OUTAGE: Duration = Duration::from_millis(900);

/// Waits until the instance no longer reads its log.
pub(crate) async fn wait_until_log_unread(instance: &TestInstance) {
    wait_until(async || {
        let before = instance.calls();
        tokio::time::sleep(Duration::from_millis(500)).await;
        instance.calls() == before
    })
    .await;
}

async fn status(instance: &TestInstance, path: &str) -> String {
    let response = instance.call("GET", path, "").await;
    response.get(9..12).unwrap_or_default().to_owned()
}

#[tokio::test]
async fn updates_arrive_through_the_seed() {
    let first = Endpoint::start(ok_with_body("ok")).await;
    let second = Endpoint::start(ok_with_body("ok")).await;
    let [seed, other] = TestInstance::start_seed_and_poller(&[first.address]).await;
    wait_until_log_unread(&other).await;
    let mut reduced = content(2);
    reduced.routes.retain(|route| route.prefix != "/open/");
    seed.publish(reduced);
    wait_until(async || status(&other, "/open/1").await == "404").await;
    seed.register("e1", second.address);
    seed.register_leaving("e0", first.address);
    wait_until(async || {
        status(&other, "/stock/1").await;
        !second.received().is_empty()
    })
    .await;
    let before = first.received().len();
    for _ in 0..5 {
        assert_eq!(status(&other, "/stock/1").await, "200");
    }
    assert_eq!(first.received().len(), before);
}

/// Guards against load on the log when many instances start together: seventy instances
/// each read it for three seconds before they polled a seed.
#[tokio::test]
async fn starting_instance_soon_stops_reading_the_log() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let [_seed, other] = TestInstance::start_seed_and_poller(&[endpoint.address]).await;
    let start = Instant::now();
    wait_until_log_unread(&other).await;
    // The wait includes half a second without a call, which shows that the log is not read.
    assert!(
        start.elapsed() < Duration::from_millis(1_800),
        "{:?}",
        start.elapsed()
    );
}

/// Guards against instances that read the log at their start although seeds can inform
/// them. In a rolling replacement of hundreds, each made six or more calls although three
/// others knew the content.
#[tokio::test]
async fn instance_that_starts_beside_seeds_does_not_read_the_log() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let [first, second, own] = free_addresses();
    let seed = TestInstance::start_with_seeds(&[first, second], first, &[endpoint.address]);
    seed.wait_until_ready().await;
    // The second seed does not run, and may be polled first.
    let other = TestInstance::start_with_seeds(&[first, second], own, &[endpoint.address]);
    other.wait_until_ready().await;
    assert_eq!(status(&other, "/stock/1").await, "200");
    assert_eq!(other.calls(), 0);
}

/// Guards against a fleet that is not served after all its instances were killed: a
/// thousand read the log at once, each gave up on its pages, and the seeds among them got
/// theirs no sooner.
#[tokio::test]
async fn starting_instance_waits_for_a_seed_that_is_reading_the_log() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let [seed, own] = free_addresses();
    let reading = TestInstance::start_held_seed(seed, &[endpoint.address]);
    let other = TestInstance::start_with_seeds(&[seed], own, &[endpoint.address]);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(other.calls(), 0);
    reading.endpoints.set_held(false);
    other.wait_until_ready().await;
    assert_eq!(status(&other, "/stock/1").await, "200");
    assert_eq!(other.calls(), 0);
}

/// Guards against an instance that waits forever for a seed that never gets through to the
/// log.
#[tokio::test]
async fn starting_instance_does_not_wait_long_for_a_seed() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let [seed, own] = free_addresses();
    let _reading = TestInstance::start_held_seed(seed, &[endpoint.address]);
    let other = TestInstance::start_with_seeds(&[seed], own, &[endpoint.address]);
    let start = Instant::now();
    while !other.is_ready().await {
        assert!(start.elapsed() < Duration::from_secs(8));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(status(&other, "/stock/1").await, "200");
}

/// Guards against a list of endpoints that is too long for one answer: all of it arrives,
/// without a call to the log.
#[tokio::test]
async fn a_long_list_reaches_a_starting_instance_in_parts() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let addresses = vec![endpoint.address; 1_200];
    let [seed, own] = free_addresses();
    let reading = TestInstance::start_with_seeds(&[seed], seed, &addresses);
    reading.wait_until_ready().await;
    let other = TestInstance::start_with_seeds(&[seed], own, &addresses);
    other.wait_until_ready().await;
    let text = exchange(other.running.metrics_address(), METRICS_REQUEST).await;
    assert_eq!(sample_value(&text, "godwitpost_endpoints{"), Some(1_200.0));
    assert_eq!(other.calls(), 0);
}

/// All instances start at once, and no peer can be polled yet. Each topic takes one call,
/// since a complete list needs no read after it.
#[tokio::test]
async fn instance_that_starts_alone_lists_each_topic_once() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let [seed, own] = free_addresses();
    let other = TestInstance::start_with_seeds(&[seed], own, &[endpoint.address]);
    other.wait_until_ready().await;
    assert_eq!(other.calls(), 2);
    assert_eq!(status(&other, "/stock/1").await, "200");
}

/// Guards against instances that go to the log, a hundred at once, when the seed they poll
/// is killed although another seed is as current.
#[tokio::test]
async fn another_seed_is_polled_when_one_is_lost() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let [first, second, own] = free_addresses();
    let seeds = [first, second];
    let mut seed_instances =
        seeds.map(|seed| TestInstance::start_with_seeds(&seeds, seed, &[endpoint.address]));
    for instance in &seed_instances {
        instance.wait_until_ready().await;
    }
    let other = TestInstance::start_with_seeds(&seeds, own, &[endpoint.address]);
    other.wait_until_ready().await;
    let mut reduced_first = content(2);
    reduced_first
        .routes
        .retain(|route| route.prefix != "/open/");
    seed_instances[0].publish(reduced_first);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let polls_first = status(&other, "/open/1").await == "404";
    seed_instances.rotate_left(usize::from(!polls_first));
    let [polled, remaining_seed] = seed_instances;
    drop(polled);
    let mut reduced = content(3);
    reduced.routes.retain(|route| route.prefix != "/stock/");
    remaining_seed.publish(reduced);
    wait_until(async || status(&other, "/stock/1").await == "404").await;
    assert_eq!(other.calls(), 0);
}

/// Guards against hundreds of instances that read the log when the only seed is lost for
/// good. A few standbys read it instead.
#[tokio::test]
async fn only_standbys_read_the_log_when_all_seeds_are_lost() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let [address, a, b, c, d] = free_addresses();
    let seed = TestInstance::start_with_seeds(&[address], address, &[endpoint.address]);
    seed.wait_until_ready().await;
    let start = |own| TestInstance::start_with_seeds(&[address], own, &[endpoint.address]);
    let others = [a, b, c, d].map(start);
    for instance in &others {
        instance.wait_until_ready().await;
    }
    // By now all have polled the seed and learned who is a standby.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    drop(seed);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let reading = others
        .iter()
        .filter(|instance| instance.calls() > 0)
        .count();
    assert_eq!(reading, 2);
    for instance in &others {
        assert_eq!(status(instance, "/stock/1").await, "200");
    }
}

/// Guards against outdated state after the only seed has stopped. Its pollers return to the
/// log before their state is too old.
#[tokio::test]
async fn log_is_read_when_the_only_seed_is_lost() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let [seed, other] = TestInstance::start_seed_and_poller(&[endpoint.address]).await;
    wait_until_log_unread(&other).await;
    drop(seed);
    let mut reduced = content(2);
    reduced.routes.retain(|route| route.prefix != "/open/");
    other.publish(reduced);
    let start = Instant::now();
    wait_until(async || status(&other, "/open/1").await == "404").await;
    assert!(start.elapsed() < Duration::from_secs(2));
    assert_eq!(status(&other, "/stock/1").await, "200");
}

/// Guards against a lease that is extended by a poll. When the log is unavailable to both,
/// the lease of the polling instance ends like that of the seed.
#[tokio::test]
async fn lease_is_not_extended_by_polling() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let [seed, other] = TestInstance::start_seed_and_poller(&[endpoint.address]).await;
    wait_until_log_unread(&other).await;
    other.operator.set_down(true);
    // Confirmations of the seed count here as well, for longer than one lease.
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(status(&other, "/stock/1").await, "200");
    seed.operator.set_down(true);
    let start = Instant::now();
    wait_until(async || status(&other, "/stock/1").await == "503").await;
    assert!(start.elapsed() < Duration::from_secs(5));
    assert_eq!(status(&other, "/open/1").await, "200");
    other.operator.set_down(false);
    wait_until(async || status(&other, "/stock/1").await == "200").await;
}

/// Guards against a busy engine that looks idle to instances that have not used it lately.
/// Only one instance has its load report; eighty others would lack it.
#[tokio::test]
async fn load_report_reaches_other_instances() {
    let busy = |_: usize, received: &ReceivedRequest| {
        vec![response_to(received, "200 OK", "x-load: 14,2,64\r\n", "ok")]
    };
    for from in [0, 1] {
        let endpoint = Endpoint::start(busy).await;
        let instances = TestInstance::start_seed_and_poller(&[endpoint.address]).await;
        wait_until_log_unread(&instances[1]).await;
        let receiver = &instances[1 - from];
        wait_until(async || {
            assert_eq!(status(&instances[from], "/stock/1").await, "200");
            let text = exchange(receiver.running.metrics_address(), METRICS_REQUEST).await;
            sample_value(&text, "godwitpost_service_load{") > Some(8.0)
        })
        .await;
    }
}

/// Guards against an endpoint that is used again after it was gone: an instance kept it, since
/// the one that it asks couldn't read the log and took its entry for expired, and told others
/// that it was live.
#[tokio::test]
async fn expired_entry_is_not_handed_on_as_live() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let [first, second, third] = free_addresses();
    let reader = TestInstance::start_with_seeds(&[first], first, &[endpoint.address]);
    let follower = TestInstance::start_with_seeds(&[first], second, &[endpoint.address]);
    for instance in [&reader, &follower] {
        instance.wait_until_ready().await;
    }
    wait_until_log_unread(&follower).await;
    follower.operator.set_down(true);
    follower.endpoints.set_down(true);
    reader.endpoints.set_down(true);
    tokio::time::sleep(LOG_OUTAGE).await;
    reader.endpoints.append("e0", Value::Removed);
    reader.endpoints.set_down(false);
    let is_kept = async || status(&reader, "/stock/1").await == "200";
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(is_kept().await && status(&follower, "/stock/1").await == "200");
    let before = endpoint.received().len();
    let other = TestInstance::start_with_seeds(&[second], third, &[endpoint.address]);
    wait_until(async || status(&other, "/nowhere/1").await == "404").await;
    assert_eq!(status(&other, "/stock/1").await, "503");
    assert_eq!(other.calls(), 0);
    assert_eq!(endpoint.received().len(), before);
    assert!(is_kept().await, "the test took too long");
}
