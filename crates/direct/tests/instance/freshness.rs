//! Changes of the policy and the endpoints, and outages of the log.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use godwitpost_direct::source::Value;

use crate::endpoint::{Endpoint, ok_with_body};
use crate::fleet::{TestInstance, content, exchange, request, wait_until};

/// How long after a version that can't be read instances of a fleet may serve a key at most.
const REVOCATION_OF_PEERS: Duration = Duration::from_secs(5);

#[tokio::test]
async fn revoked_key_stops_working() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let mut without_keys = content(2);
    without_keys.keys = Some(BTreeMap::new());
    instance.publish(without_keys);
    wait_until(async || {
        let response = instance.call("GET", "/stock/1", "").await;
        response.starts_with("HTTP/1.1 401")
    })
    .await;
}

/// Guards against keys that stay valid while the log is unavailable and they may have been
/// revoked. Requests with keys are refused as not run before the revocation bound; open
/// routes are still served.
#[tokio::test]
async fn keys_are_refused_while_the_log_is_unavailable() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    instance.operator.set_down(true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let response = instance.call("GET", "/stock/1", "").await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(
        response.contains("unconfirmed") && response.contains("retry-after"),
        "{response}"
    );
    assert!(!instance.is_ready().await);
    let response = instance.call("GET", "/open/1", "").await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    // A route that may exist by now is not denied.
    let response = instance.call("GET", "/nowhere/1", "").await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    instance.operator.set_down(false);
    instance.wait_until_ready().await;
    let response = instance.call("GET", "/stock/1", "").await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

#[tokio::test]
async fn older_version_never_replaces_a_newer_one() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let mut newer = content(9);
    newer.routes.retain(|route| route.prefix != "/open/");
    instance.publish(newer);
    wait_until(async || {
        instance
            .call("GET", "/open/1", "")
            .await
            .starts_with("HTTP/1.1 404")
    })
    .await;
    instance.publish(content(8));
    tokio::time::sleep(Duration::from_millis(400)).await;
    let response = instance.call("GET", "/open/1", "").await;
    assert!(response.starts_with("HTTP/1.1 404"), "{response}");
}

#[tokio::test]
async fn leaving_endpoint_gets_no_requests() {
    let first = Endpoint::start(ok_with_body("ok")).await;
    let second = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[first.address, second.address]).await;
    instance.register_leaving("e0", first.address);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = first.received().len();
    for _ in 0..6 {
        let response = instance.call("GET", "/stock/1", "").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    assert_eq!(first.received().len(), before);
}

/// Guards against unreadable records that affect other endpoints or the policy.
#[tokio::test]
async fn unreadable_entry_does_not_affect_others() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    instance
        .endpoints
        .append("e7", Value::Unreadable("no address".to_owned()));
    instance
        .operator
        .append("config", Value::Unreadable("no routes".to_owned()));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let response = instance.call("GET", "/stock/1", "").await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Guards against a key that is served for good though a version that can't be read may have
/// taken it away, at the instance that reads it and at one that polls that one.
#[tokio::test]
async fn version_that_cant_be_read_confirms_no_keys() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let fleet = TestInstance::start_seed_and_poller(&[endpoint.address]).await;
    for instance in &fleet {
        let unreadable = Value::Unreadable("HeaderTimeoutMs".to_owned());
        instance.operator.append("config", unreadable);
    }
    tokio::time::sleep(REVOCATION_OF_PEERS).await;
    for instance in &fleet {
        let response = instance.call("GET", "/stock/1", "").await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("unconfirmed"), "{response}");
        let response = instance.call("GET", "/open/1", "").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    for instance in &fleet {
        instance.publish(content(9));
        instance.wait_until_ready().await;
        let response = instance.call("GET", "/stock/1", "").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

/// Guards against refusals after a log outage that is longer than the lifetime of entries.
/// When the log returns, all entries are removed and set again a moment later.
#[tokio::test]
async fn expired_entries_are_used_until_they_return() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    instance.endpoints.set_down(true);
    tokio::time::sleep(Duration::from_millis(700)).await;
    instance.endpoints.append("e0", Value::Removed);
    instance.endpoints.set_down(false);
    for _ in 0..8 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let response = instance.call("GET", "/stock/1", "").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    // It does not register again, so it is removed in the end.
    wait_until(async || {
        instance
            .call("GET", "/stock/1", "")
            .await
            .contains("no-endpoint")
    })
    .await;
}

/// Guards against a retry under the policy of the first attempt: the first endpoint does
/// not answer, and the key is revoked before the retry.
#[tokio::test]
async fn retry_uses_the_current_policy() {
    let no_response = |_, _: &_| vec![crate::endpoint::Step::Wait(10_000)];
    let first = Endpoint::start(no_response).await;
    let second = Endpoint::start(no_response).await;
    let instance = TestInstance::start(&[first.address, second.address]).await;
    let received = || first.received().len() + second.received().len();
    let call = instance.call("GET", "/stock/1", "");
    let revoke = async {
        wait_until(async || received() == 1).await;
        let mut without_keys = content(2);
        without_keys.keys = Some(BTreeMap::new());
        instance.publish(without_keys);
    };
    let (response, ()) = tokio::join!(call, revoke);
    // The request may have run at the first endpoint, so it is not reported as not run.
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert_eq!(received(), 1);
}

/// Guards against a revoked key that works longer because another version followed a second
/// later. The lease counts from the last confirmation of any version.
#[tokio::test]
async fn two_keys_revoked_a_second_apart_both_stop_working() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let keys = |names: &[&str]| {
        let workspace = content(1).keys.and_then(|mut keys| keys.remove("k1"));
        let workspace = workspace.expect("a workspace");
        let key = |name: &&str| ((*name).to_owned(), Arc::clone(&workspace));
        Some(names.iter().map(key).collect::<BTreeMap<_, _>>())
    };
    let roll = |version, names: &[&str]| {
        let mut content = content(version);
        content.keys = keys(names);
        instance.publish(content);
    };
    let status = async |key: &str| {
        let text = request("GET", "/stock/1", "", "").replace("k1", key);
        let response = exchange(instance.running.callers_address(), &text).await;
        response.get(9..12).unwrap_or_default().to_owned()
    };
    roll(2, &["k1", "k2", "k3"]);
    wait_until(async || status("k3").await == "200").await;
    roll(3, &["k2", "k3"]);
    tokio::time::sleep(Duration::from_secs(1)).await;
    roll(4, &["k3"]);
    assert_eq!(status("k1").await, "401");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(status("k1").await, "401");
    assert_eq!(status("k2").await, "401");
    assert_eq!(status("k3").await, "200");
}

/// Fifty versions are published within a second, each with one route more. Callers are
/// served meanwhile, and the last version takes effect soon after.
#[tokio::test]
async fn last_of_many_quick_versions_takes_effect() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let mut grown = content(1);
    for version in 2..52 {
        let mut route = grown.routes[0].clone();
        route.prefix = format!("/more/{version}/");
        grown.routes.push(route);
        grown.version = version;
        instance.publish(grown.clone());
        if version % 5 == 0 {
            let response = instance.call("GET", "/stock/1", "").await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    wait_until(async || {
        let response = instance.call("GET", "/more/51/1", "").await;
        response.starts_with("HTTP/1.1 200")
    })
    .await;
}

/// Guards against refusals by instances that have just started. After a power loss of all
/// instances, callers used up their only retry at another starting instance.
#[tokio::test]
async fn callers_of_a_starting_instance_wait_until_it_can_route() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start_with_empty_log();
    let early = async {
        let start = Instant::now();
        (instance.call("GET", "/stock/1", "").await, start.elapsed())
    };
    let publish = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        instance.register("e0", endpoint.address);
        instance.publish(content(1));
    };
    let ((response, took), ()) = tokio::join!(early, publish);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(took < Duration::from_millis(700), "{took:?}");
}

/// Guards against callers that wait in vain when the log is unavailable at startup: they
/// are refused after half of their time, and at once when the startup period is over.
#[tokio::test]
async fn callers_do_not_wait_long_if_the_log_is_unavailable_at_startup() {
    let instance = TestInstance::start_with_empty_log();
    let start = Instant::now();
    let response = instance.call("GET", "/stock/1", "").await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after"), "{response}");
    assert!(start.elapsed() < Duration::from_millis(900));
    tokio::time::sleep(Duration::from_millis(1_300).saturating_sub(start.elapsed())).await;
    let later = Instant::now();
    let response = instance.call("GET", "/stock/1", "").await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(later.elapsed() < Duration::from_millis(100));
}
