//! Requests of callers: forwarding, limits, timeouts and rejection of invalid requests.

use crate::endpoint::{Endpoint, Step, ok_with_body, response_to};
use crate::fleet::{TestInstance, content, read_rest, request};

#[tokio::test]
async fn request_is_forwarded_with_the_endpoint_headers() {
    let endpoint = Endpoint::start(ok_with_body("five left")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let text = request("POST", "/order/new?x=1", "x-kept: yes\r\n", "two books");
    let response = read_rest(&mut instance.open(&text).await).await;
    assert!(response.starts_with("HTTP/1.1 200 OK"), "{response}");
    assert!(response.contains("x-signed: s1") && response.ends_with("five left"));
    let received = &endpoint.received()[0];
    assert!(received.head.starts_with("POST /order/new?x=1 HTTP/1.1"));
    assert_eq!(received.body, "two books");
    assert_eq!(received.header("host"), Some("shop.example"));
    assert_eq!(received.header("x-kept"), Some("yes"));
    assert_eq!(received.header("x-workspace"), Some("franchise"));
    assert_eq!(received.header("x-endpoint"), Some("e0"));
    assert_eq!(received.header("x-rank"), Some("3"));
    assert_eq!(received.header("x-key"), None);
    assert_eq!(received.header("connection"), None);
    let timeout_millis: u64 = received
        .header("x-patience")
        .expect("a time")
        .parse()
        .expect("a number");
    // At most the timeout of the route, though the caller would wait longer.
    assert!((900..=1_200).contains(&timeout_millis), "{timeout_millis}");
}

#[tokio::test]
async fn endpoint_connections_are_reused() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    for _ in 0..5 {
        instance.call("GET", "/stock/1", "").await;
    }
    assert_eq!(endpoint.connections(), 1);
}

/// Guards against a request written at the moment at which the endpoint closes an idle
/// connection: its outcome is unknown. The endpoint announces an idle timeout of one
/// second, so the connection must be dropped well before.
#[tokio::test]
async fn connection_is_dropped_before_its_idle_timeout() {
    let endpoint = Endpoint::start(|_, received| {
        vec![response_to(
            received,
            "200 OK",
            "keep-alive: timeout=1\r\n",
            "ok",
        )]
    })
    .await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    instance.call("GET", "/stock/1", "").await;
    tokio::time::sleep(std::time::Duration::from_millis(700)).await;
    instance.call("GET", "/stock/1", "").await;
    assert_eq!(endpoint.connections(), 2);
}

/// Guards against an unsafe request sent on an idle connection that the endpoint has
/// dropped silently: it is reset, and its outcome is unknown. A safe request can be
/// retried.
#[tokio::test]
async fn unsafe_request_is_not_sent_on_an_idle_connection() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let idle = || tokio::time::sleep(std::time::Duration::from_millis(250));
    instance.call("GET", "/stock/1", "").await;
    idle().await;
    instance.call("GET", "/stock/1", "").await;
    assert_eq!(endpoint.connections(), 1);
    idle().await;
    instance.call("POST", "/order/1", "").await;
    assert_eq!(endpoint.connections(), 2);
}

#[tokio::test]
async fn invalid_requests_get_matching_statuses() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let big = "y".repeat(2_100);
    let cases = [
        (request("GET", "/nowhere/1", "", ""), "404"),
        (
            request("GET", "/stock/1", "", "").replace("k1", "k9"),
            "401",
        ),
        (
            request("GET", "/stock/1", "", "").replace("x-attempt: a1\r\n", ""),
            "400",
        ),
        (
            request("GET", "/stock/1", "host: other.example\r\n", ""),
            "400",
        ),
        (
            request("GET", "/stock/1", &format!("x-big: {big}\r\n"), ""),
            "431",
        ),
        (request("POST", "/stock/1", "", &"z".repeat(10_001)), "413"),
    ];
    for (text, status) in cases {
        let response = read_rest(&mut instance.open(&text).await).await;
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status}")),
            "{status} was expected: {response}"
        );
    }
    assert_eq!(endpoint.received().len(), 0);
}

/// Guards against a caller that sends an incomplete head. It gets a timeout after the time
/// that the policy allows, not after the idle timeout of connections.
#[tokio::test]
async fn incomplete_head_times_out_as_configured() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let start = std::time::Instant::now();
    let response = read_rest(&mut instance.open("GET /stock/1 HTTP/1.1\r\nhost: shop").await).await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    let took = start.elapsed().as_millis();
    assert!((300..1_500).contains(&took), "{took} ms");
}

/// Guards against a caller that poses as another workspace through a header that endpoints
/// trust.
#[tokio::test]
async fn caller_cannot_set_internal_headers() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    instance
        .call("GET", "/stock/1", "x-workspace: other\r\n")
        .await;
    instance
        .call("GET", "/open/1", "x-workspace: other\r\n")
        .await;
    let named: Vec<_> = endpoint
        .received()
        .iter()
        .map(|received| received.header("x-workspace").map(str::to_owned))
        .collect();
    assert_eq!(named[0].as_deref(), Some("franchise"));
    assert_ne!(named[1].as_deref(), Some("other"));
}

#[tokio::test]
async fn callers_get_a_retry_delay_before_the_first_policy() {
    let instance = TestInstance::start_with_empty_log();
    let response = instance.call("GET", "/stock/1", "").await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    assert!(!instance.is_ready().await);
}

/// Guards against a caller that waits for its own timeout after the timeout of the route
/// has passed while the endpoint still works.
#[tokio::test]
async fn route_timeout_is_enforced() {
    let endpoint = Endpoint::start(|_, _| vec![Step::Wait(10_000)]).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let start = std::time::Instant::now();
    let response = instance
        .call("POST", "/order/1", "x-patience: 9000\r\n")
        .await;
    let took = start.elapsed().as_millis();
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
    assert!((1_100..1_600).contains(&took), "{took}");
}

#[tokio::test]
async fn caller_disconnect_cancels_the_request() {
    let endpoint = Endpoint::start(|_, _| vec![Step::Wait(10_000)]).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let stream = instance.open(&request("GET", "/draft/1", "", "")).await;
    crate::fleet::wait_until(async || !endpoint.received().is_empty()).await;
    drop(stream);
    let start = std::time::Instant::now();
    crate::fleet::wait_until(async || endpoint.disconnects() == 1).await;
    assert!(start.elapsed().as_millis() < 500);
}

/// Several hundred routes are added in one version; existing and new routes are both
/// served.
#[tokio::test]
async fn hundreds_of_routes_are_added_at_once() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let mut grown = content(2);
    let template = grown.routes[0].clone();
    grown.routes.extend((0..400).map(|n| {
        let mut route = template.clone();
        route.prefix = format!("/new/{n}/");
        route
    }));
    instance.publish(grown);
    crate::fleet::wait_until(async || {
        let response = instance.call("GET", "/new/399/x", "").await;
        response.starts_with("HTTP/1.1 200")
    })
    .await;
    let response = instance.call("GET", "/stock/1", "").await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Guards against request smuggling: a request declares two lengths, and the bytes that one
/// of them leaves over form another request, which would bypass the limits of its caller.
/// With one length, the bytes that follow are a separate request.
#[tokio::test]
async fn smuggled_request_is_not_run() {
    let endpoint = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let next = request("GET", "/stock/next", "", "");
    let chunked = "transfer-encoding: chunked\r\n";
    let first = request("POST", "/order/1", "", "").replace("connection: close\r\n", "");
    let follow = |head: &str| {
        let head = first.replace("content-length: 0\r\n", head);
        format!("{head}0\r\n\r\n{next}")
    };
    let runs = async |text: String| {
        let before = endpoint.received().len();
        read_rest(&mut instance.open(&text).await).await;
        let received = endpoint.received();
        received[before..]
            .iter()
            .any(|received| received.head.contains("next"))
    };
    assert!(runs(follow(chunked)).await);
    assert!(!runs(follow(&format!("{chunked}content-length: 9\r\n"))).await);
    assert!(!runs(follow(&format!("content-length: 9\r\n{chunked}"))).await);
}
