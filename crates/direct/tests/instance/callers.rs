//! What callers send and get while all is well, and what is wrong with it.

use crate::endpoint::{Endpoint, Step, answer, says};
use crate::fleet::{Fleet, content, request, rest};

#[tokio::test]
async fn a_request_goes_through_with_what_the_endpoint_has_to_know() {
    let endpoint = Endpoint::start(says("five left")).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let text = request("POST", "/order/new?x=1", "x-kept: yes\r\n", "two books");
    let whole = rest(&mut fleet.open(&text).await).await;
    assert!(whole.starts_with("HTTP/1.1 200 OK"), "{whole}");
    assert!(whole.contains("x-signed: s1") && whole.ends_with("five left"));
    let seen = &endpoint.seen()[0];
    assert!(seen.head.starts_with("POST /order/new?x=1 HTTP/1.1"));
    assert_eq!(seen.body, "two books");
    assert_eq!(seen.header("host"), Some("shop.example"));
    assert_eq!(seen.header("x-kept"), Some("yes"));
    assert_eq!(seen.header("x-workspace"), Some("franchise"));
    assert_eq!(seen.header("x-endpoint"), Some("e0"));
    assert_eq!(seen.header("x-rank"), Some("3"));
    assert_eq!(seen.header("x-key"), None);
    assert_eq!(seen.header("connection"), None);
    let left: u64 = seen
        .header("x-patience")
        .expect("a time")
        .parse()
        .expect("a number");
    // No more than the route allows, though the caller would wait longer.
    assert!((900..=1_200).contains(&left), "{left}");
}

#[tokio::test]
async fn connections_to_endpoints_are_used_again() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    for _ in 0..5 {
        fleet.call("GET", "/stock/1", "").await;
    }
    assert_eq!(endpoint.connections(), 1);
}

/// An endpoint names an idle time of a second and closes then. A request
/// written in that very moment has an unknown fate, so the connection is not
/// used any more well before.
#[tokio::test]
async fn a_connection_is_given_up_before_its_endpoint_does() {
    let endpoint =
        Endpoint::start(|_, seen| vec![answer(seen, "200 OK", "keep-alive: timeout=1\r\n", "ok")])
            .await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    fleet.call("GET", "/stock/1", "").await;
    tokio::time::sleep(std::time::Duration::from_millis(700)).await;
    fleet.call("GET", "/stock/1", "").await;
    assert_eq!(endpoint.connections(), 2);
}

/// Endpoints forget connections that rested, without a word; what is sent on
/// one next is reset. An order sent so is lost, and nobody knows whether it
/// ran. A look-up can be sent again.
#[tokio::test]
async fn an_order_is_not_sent_over_a_connection_that_rested() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let rest = || tokio::time::sleep(std::time::Duration::from_millis(250));
    fleet.call("GET", "/stock/1", "").await;
    rest().await;
    fleet.call("GET", "/stock/1", "").await;
    assert_eq!(endpoint.connections(), 1);
    rest().await;
    fleet.call("POST", "/order/1", "").await;
    assert_eq!(endpoint.connections(), 2);
}

#[tokio::test]
async fn wrong_requests_get_the_status_that_says_so() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
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
        let whole = rest(&mut fleet.open(&text).await).await;
        assert!(
            whole.starts_with(&format!("HTTP/1.1 {status}")),
            "{status} was expected: {whole}"
        );
    }
    assert_eq!(endpoint.seen().len(), 0);
}

/// A caller begins a head and leaves it at that. It is told so after the time
/// that the configuration allows, not after that of an idle connection.
#[tokio::test]
async fn a_head_that_never_ends_has_the_time_of_the_configuration() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let start = std::time::Instant::now();
    let whole = rest(&mut fleet.open("GET /stock/1 HTTP/1.1\r\nhost: shop").await).await;
    assert!(whole.starts_with("HTTP/1.1 408"), "{whole}");
    let took = start.elapsed().as_millis();
    assert!((300..1_500).contains(&took), "{took} ms");
}

/// A caller claims to be another workspace by the header that endpoints trust.
#[tokio::test]
async fn a_caller_cannot_set_what_the_system_says_to_endpoints() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    fleet
        .call("GET", "/stock/1", "x-workspace: other\r\n")
        .await;
    fleet.call("GET", "/open/1", "x-workspace: other\r\n").await;
    let named: Vec<_> = endpoint
        .seen()
        .iter()
        .map(|seen| seen.header("x-workspace").map(str::to_owned))
        .collect();
    assert_eq!(named[0].as_deref(), Some("franchise"));
    assert_ne!(named[1].as_deref(), Some("other"));
}

#[tokio::test]
async fn before_there_is_a_configuration_callers_are_asked_to_come_again() {
    let fleet = Fleet::start_cold();
    let whole = fleet.call("GET", "/stock/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 503"), "{whole}");
    assert!(whole.contains("retry-after: "), "{whole}");
    assert!(!fleet.is_ready().await);
}

/// A route's time is over while its endpoint still works. The caller must
/// hear of it at once, not when its own patience ends.
#[tokio::test]
async fn the_routes_time_is_kept() {
    let endpoint = Endpoint::start(|_, _| vec![Step::Wait(10_000)]).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let start = std::time::Instant::now();
    let whole = fleet.call("POST", "/order/1", "x-patience: 9000\r\n").await;
    let took = start.elapsed().as_millis();
    assert!(whole.starts_with("HTTP/1.1 504"), "{whole}");
    assert!((1_100..1_600).contains(&took), "{took}");
}

#[tokio::test]
async fn a_caller_that_leaves_has_its_work_stopped() {
    let endpoint = Endpoint::start(|_, _| vec![Step::Wait(10_000)]).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let stream = fleet.open(&request("GET", "/draft/1", "", "")).await;
    crate::fleet::until(async || !endpoint.seen().is_empty()).await;
    drop(stream);
    let start = std::time::Instant::now();
    crate::fleet::until(async || endpoint.gone() == 1).await;
    assert!(start.elapsed().as_millis() < 500);
}

/// Several hundred routes come with one version; those that were there and
/// those that came are served alike.
#[tokio::test]
async fn hundreds_of_routes_may_come_at_once() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let mut more = content(2);
    let pattern = more.routes[0].clone();
    more.routes.extend((0..400).map(|n| {
        let mut route = pattern.clone();
        route.prefix = format!("/new/{n}/");
        route
    }));
    fleet.roll(more);
    crate::fleet::until(async || {
        let whole = fleet.call("GET", "/new/399/x", "").await;
        whole.starts_with("HTTP/1.1 200")
    })
    .await;
    let whole = fleet.call("GET", "/stock/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
}

/// A request names two lengths, and what one of them leaves over is another
/// request. Run, it would be one that its caller's own limits never saw. With
/// one length only, what follows is a request of its own.
#[tokio::test]
async fn a_request_hidden_in_another_is_not_run() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let next = request("GET", "/stock/next", "", "");
    let chunked = "transfer-encoding: chunked\r\n";
    let first = request("POST", "/order/1", "", "").replace("connection: close\r\n", "");
    let follow = |head: &str| {
        let head = first.replace("content-length: 0\r\n", head);
        format!("{head}0\r\n\r\n{next}")
    };
    let runs = async |text: String| {
        let before = endpoint.seen().len();
        rest(&mut fleet.open(&text).await).await;
        let seen = endpoint.seen();
        seen[before..].iter().any(|seen| seen.head.contains("next"))
    };
    assert!(runs(follow(chunked)).await);
    assert!(!runs(follow(&format!("{chunked}content-length: 9\r\n"))).await);
    assert!(!runs(follow(&format!("content-length: 9\r\n{chunked}"))).await);
}
