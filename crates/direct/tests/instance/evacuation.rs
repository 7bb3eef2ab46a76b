//! Availability zones that the operator evacuates.

use std::time::{Duration, Instant};

use godwitpost_direct::policy::Ramp;
use godwitpost_types::{hash, id};

use crate::endpoint::{Endpoint, ok_with_body, response_to};
use crate::fleet::{TestInstance, wait_until};
use crate::peers::wait_until_log_unread;

/// Prompts that are counted by where they go, each of which draws the loads it is placed by.
const DRAFTS: usize = 64;

/// Guards against requests that still go to an evacuated zone.
#[tokio::test]
async fn evacuated_zone_gets_no_requests_until_it_is_released() {
    let near = Endpoint::start(ok_with_body("near")).await;
    let far = Endpoint::start(ok_with_body("far")).await;
    let instance = TestInstance::start(&[near.address]).await;
    instance.register_in_zone("kushiro", "e1", far.address);
    wait_until(async || instance.call("GET", "/stock/1", "").await.contains("near")).await;
    instance.set_evacuated("otaru", true);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = near.received().len();
    for _ in 0..20 {
        let response = instance.call("GET", "/stock/1", "").await;
        assert!(response.contains("far"), "{response}");
    }
    assert_eq!(near.received().len(), before);
    instance.set_evacuated("otaru", false);
    wait_until(async || instance.call("GET", "/stock/1", "").await.contains("near")).await;
}

/// Guards against callers that wait for an endpoint that cannot become available, or get no
/// retry delay.
#[tokio::test]
async fn request_is_refused_at_once_if_all_zones_are_evacuated() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    instance.set_evacuated("otaru", true);
    wait_until(async || {
        let response = instance.call("POST", "/order/1", "").await;
        response.starts_with("HTTP/1.1 503")
    })
    .await;
    let start = Instant::now();
    let before = endpoint.received().len();
    let response = instance.call("POST", "/order/1", "").await;
    assert!(response.contains("evacuated"), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    assert!(start.elapsed() < Duration::from_millis(300));
    assert_eq!(endpoint.received().len(), before);
}

// Starts an endpoint that reports this load.
async fn endpoint_with_load(load: u32) -> Endpoint {
    let head = format!("x-load: {load},0,16\r\n");
    Endpoint::start(move |_, received| vec![response_to(received, "200 OK", &head, "ok")]).await
}

// Returns prompt parts whose home is the first of three endpoints.
fn parts_homed_at_first() -> impl Iterator<Item = u64> {
    let score = |part: u64, name: &str| hash::score(part, id::from_name(name));
    let is_homed_at_first = move |part: &u64| {
        let others = ["e1", "e2"].map(|name| score(*part, name));
        others.iter().all(|other| score(*part, "e0") > *other)
    };
    (1..).filter(is_homed_at_first)
}

// Sends a prompt for each of some parts and returns how many reached the endpoint.
async fn count_drafts_at(
    instance: &TestInstance,
    parts: &mut impl Iterator<Item = u64>,
    to: &Endpoint,
) -> usize {
    let before = to.received().len();
    for part in parts.take(DRAFTS) {
        let prompt = format!("x-prompt: {part},7\r\n");
        let response = instance.call("POST", "/draft/1", &prompt).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    to.received().len() - before
}

/// Guards against endpoints loaded above the bound while a zone is evacuated.
#[tokio::test]
async fn prompts_spill_sooner_while_a_zone_is_evacuated() {
    let (home, other) = (endpoint_with_load(12).await, endpoint_with_load(2).await);
    let idle = [endpoint_with_load(0).await, endpoint_with_load(0).await];
    let instance = TestInstance::start(&[home.address, other.address]).await;
    let mut parts = parts_homed_at_first();
    // The loads of both are known from their responses.
    wait_until(async || {
        instance.call("GET", "/stock/1", "").await;
        !home.received().is_empty() && !other.received().is_empty()
    })
    .await;
    assert!(count_drafts_at(&instance, &mut parts, &home).await >= DRAFTS * 7 / 8);
    for (n, endpoint) in idle.iter().enumerate() {
        instance.register_in_zone("kushiro", &format!("e{}", n + 2), endpoint.address);
    }
    instance.set_evacuated("kushiro", true);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(count_drafts_at(&instance, &mut parts, &home).await <= DRAFTS / 2);
}

/// Guards against a zone that is assumed to be as loaded as the others once its evacuation
/// ends.
#[tokio::test]
async fn released_zone_is_known_to_be_idle() {
    let home = endpoint_with_load(22).await;
    let idle = [endpoint_with_load(0).await, endpoint_with_load(0).await];
    let instance = TestInstance::start(&[home.address]).await;
    let mut parts = parts_homed_at_first();
    instance.set_evacuated("kushiro", true);
    for (n, endpoint) in idle.iter().enumerate() {
        instance.register_in_zone("kushiro", &format!("e{}", n + 1), endpoint.address);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(count_drafts_at(&instance, &mut parts, &home).await, DRAFTS);
    instance.set_evacuated("kushiro", false);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(count_drafts_at(&instance, &mut parts, &home).await <= DRAFTS / 2);
}

/// Guards against an instance that learns of an evacuation only from the log, which it does
/// not read.
#[tokio::test]
async fn evacuation_reaches_polling_instances() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let [seed, other] = TestInstance::start_seed_and_poller(&[endpoint.address]).await;
    wait_until_log_unread(&other).await;
    seed.set_evacuated("otaru", true);
    wait_until(async || {
        other
            .call("GET", "/stock/1", "")
            .await
            .contains("evacuated")
    })
    .await;
    seed.set_evacuated("otaru", false);
    wait_until(async || {
        let response = other.call("GET", "/stock/1", "").await;
        response.starts_with("HTTP/1.1 200")
    })
    .await;
}

/// Guards against an instance that starts during an evacuation and sends to the zone before
/// it knows of it.
#[tokio::test]
async fn starting_instance_knows_evacuations_before_it_serves() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start_with_empty_log();
    instance.set_evacuated("otaru", true);
    instance.register("e0", endpoint.address);
    instance.publish(crate::fleet::content(1));
    instance.wait_until_ready().await;
    let response = instance.call("GET", "/stock/1", "").await;
    assert!(response.contains("evacuated"), "{response}");
    assert!(endpoint.received().is_empty());
}

/// Guards against endpoints that are overloaded when the evacuation of their zone ends:
/// they may be cold, and their entries say so late.
#[tokio::test]
async fn endpoints_of_a_released_zone_warm_up() {
    let near = Endpoint::start(ok_with_body("near")).await;
    let far = Endpoint::start(ok_with_body("far")).await;
    let instance = TestInstance::start(&[near.address]).await;
    instance.register_in_zone("kushiro", "e1", far.address);
    let mut content = crate::fleet::content(2);
    for service in content.services.values_mut() {
        service.ramp = Some(Ramp {
            time: Duration::from_mins(1),
            spacing: Duration::from_millis(500),
        });
    }
    instance.publish(content);
    instance.set_evacuated("otaru", true);
    wait_until(async || instance.call("GET", "/stock/1", "").await.contains("far")).await;
    instance.set_evacuated("otaru", false);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = near.received().len();
    let start = Instant::now();
    for _ in 0..40 {
        let response = instance.call("GET", "/stock/1", "").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    // One request in each second begun, from an instance that is alone.
    let seconds = usize::try_from(start.elapsed().as_secs()).expect("a short test") + 2;
    let sent = near.received().len() - before;
    assert!(sent <= seconds, "{sent} in {seconds} s");
}

/// Guards against requests that wait until their caller's deadline when all endpoints are
/// warming up.
#[tokio::test]
async fn request_is_refused_after_a_wait_if_all_endpoints_warm_up() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let mut content = crate::fleet::content(2);
    for service in content.services.values_mut() {
        service.ramp = Some(Ramp {
            time: Duration::from_mins(1),
            spacing: Duration::MAX,
        });
    }
    instance.publish(content);
    instance.set_evacuated("otaru", true);
    wait_until(async || {
        instance
            .call("GET", "/stock/1", "")
            .await
            .contains("evacuated")
    })
    .await;
    instance.set_evacuated("otaru", false);
    wait_until(async || {
        instance
            .call("GET", "/stock/1", "")
            .await
            .contains("warming")
    })
    .await;
    let before = endpoint.received().len();
    let start = Instant::now();
    let response = instance.call("POST", "/order/1", "").await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    // Half of the objective, which is 200 ms.
    assert!(start.elapsed() < Duration::from_millis(500), "{response}");
    assert_eq!(endpoint.received().len(), before);
}

/// Guards against a zone that is used although it is evacuated again: the instance knew
/// that the first evacuation had ended, and its seed reads that end and the second
/// evacuation in one batch.
#[tokio::test]
async fn repeated_evacuation_reaches_peers() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let [seed, other] = TestInstance::start_seed_and_poller(&[endpoint.address]).await;
    wait_until_log_unread(&other).await;
    seed.set_evacuated("otaru", true);
    other.set_evacuated("otaru", true);
    wait_until(async || {
        other
            .call("GET", "/stock/1", "")
            .await
            .contains("evacuated")
    })
    .await;
    // The seed loses its log, and the other instance reads its own.
    seed.operator.set_down(true);
    seed.endpoints.set_down(true);
    other.set_evacuated("otaru", false);
    wait_until(async || {
        let response = other.call("GET", "/stock/1", "").await;
        response.starts_with("HTTP/1.1 200")
    })
    .await;
    seed.set_evacuated("otaru", false);
    seed.set_evacuated("otaru", true);
    seed.operator.set_down(false);
    seed.endpoints.set_down(false);
    let is_evacuated = async || {
        other
            .call("GET", "/stock/1", "")
            .await
            .contains("evacuated")
    };
    let start = Instant::now();
    while !is_evacuated().await {
        assert!(
            start.elapsed() < Duration::from_secs(15),
            "the evacuation did not reach the instance"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
