//! Responses to callers' mistakes, and the ports for callers and operators.

use godwitpost_client::connect::Body;
use http::Request;
use http_body_util::BodyExt as _;
use hyper_util::rt::{TokioExecutor, TokioIo};

use crate::fleet::{Fleet, Size, chat, full, outcome, words};

const SIZE: Size = Size {
    routers: 1,
    engines: 1,
    plains: 1,
};

fn post(path: &str, workspace: &str) -> http::request::Builder {
    Request::post(path).header("godwitpost-workspace", workspace)
}

fn json(builder: http::request::Builder, body: &str) -> Request<Body> {
    builder.body(full(body)).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_invalid_request_gets_a_problem_with_outcome_not_run() {
    let fleet = Fleet::start(SIZE).await;
    let chats = "/v1/chat/completions";
    let large = "x".repeat(100_001);
    let cases = [
        (400, "missing-workspace", json(Request::post(chats), "{}")),
        (403, "unknown-workspace", json(post(chats, "nemuro"), "{}")),
        (
            403,
            "forbidden",
            json(post(chats, "kushiro"), r#"{"model":"writer"}"#),
        ),
        (404, "unknown-route", json(post("/nowhere", "otaru"), "")),
        (404, "unknown-route", json(post("/ordersheet", "otaru"), "")),
        (400, "missing-key", json(post("/orders", "otaru"), "")),
        (
            400,
            "bad-key",
            json(
                post("/orders", "otaru").header("idempotency-key", "mine"),
                "",
            ),
        ),
        (
            400,
            "unknown-class",
            json(post("/stock", "otaru").header("godwitpost-class", "x"), ""),
        ),
        (
            400,
            "bad-deadline",
            json(post("/stock", "otaru").header("prefer", "wait=soon"), ""),
        ),
        (400, "bad-body", json(post(chats, "otaru"), "not json")),
        (400, "missing-model", json(post(chats, "otaru"), "{}")),
        (
            404,
            "unknown-model",
            json(post(chats, "otaru"), r#"{"model":"poet"}"#),
        ),
        (
            404,
            "unknown-version",
            json(post(chats, "otaru"), r#"{"model":"writer@6"}"#),
        ),
        (413, "large-body", json(post("/stock", "otaru"), &large)),
        (
            431,
            "large-head",
            json(post("/stock", "otaru").header("x", "y".repeat(17_000)), ""),
        ),
    ];
    for (status, reason, request) in cases {
        let (got, headers, body) = fleet.send_and_read(0, request).await;
        let problem: serde_json::Value = serde_json::from_slice(&body).unwrap();
        assert_eq!(
            problem["type"],
            format!("urn:godwitpost:{reason}"),
            "{problem}"
        );
        assert_eq!(got, status, "{reason}");
        assert_eq!(outcome(&headers), "not-run", "{reason}");
        assert_eq!(headers["content-type"], "application/problem+json");
        assert!(headers.contains_key("x-request-id"));
    }
    assert!(fleet.engines[0].runs().is_empty());
    assert!(fleet.plains[0].executions().is_empty());
}

// A caller whose internal headers were accepted could claim to be an instance,
// and one whose headers reached an engine could raise its own priority.
#[tokio::test(flavor = "multi_thread")]
async fn internal_headers_of_a_caller_are_stripped_and_counted() {
    let fleet = Fleet::start(SIZE).await;
    let mut request = chat("ice lines", 2);
    let headers = request.headers_mut();
    headers.insert("godwitpost-internal-sender", "router-9".parse().unwrap());
    headers.insert("godwitpost-internal-attempt", "1".parse().unwrap());
    headers.insert("x-request-id", "mine".parse().unwrap());
    let (status, headers, _) = fleet.send_and_read(0, request).await;
    assert_eq!(status, 200);
    assert!(
        headers
            .keys()
            .all(|name| !name.as_str().starts_with("godwitpost-internal"))
    );
    let runs = fleet.engines[0].runs();
    assert_eq!(runs[0].request, headers["x-request-id"].to_str().unwrap());
    assert_ne!(runs[0].request, "mine");
    let operators = fleet.routers[0].operators_address();
    let (_, _, metrics) = fleet.get(operators, "/metrics").await;
    let metrics = String::from_utf8(metrics.to_vec()).unwrap();
    let line = metrics
        .lines()
        .find(|line| line.starts_with("godwitpost_stripped_headers"));
    assert!(line.is_some_and(|line| line.ends_with(" 2")), "{metrics}");
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_port_shows_the_bundle_in_force() {
    let fleet = Fleet::start(SIZE).await;
    let operators = fleet.routers[0].operators_address();
    let (_, _, bundle) = fleet.get(operators, "/bundle").await;
    let bundle: serde_json::Value = serde_json::from_slice(&bundle).unwrap();
    assert_eq!(bundle["name"], "router-0");
    assert_eq!(bundle["version"], 1);
    assert_eq!(bundle["root"].as_str().map(str::len), Some(64));
}

#[tokio::test(flavor = "multi_thread")]
async fn http2_callers_are_served() {
    let fleet = Fleet::start(SIZE).await;
    let address = fleet.routers[0].callers_address();
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
            .await
            .unwrap();
    tokio::spawn(connection);
    let (parts, body) = chat("ice lines", 4).into_parts();
    let uri = format!("http://{address}{}", parts.uri);
    let mut request = Request::post(uri).body(body).unwrap();
    *request.headers_mut() = parts.headers;
    let response = sender.send_request(request).await.unwrap();
    assert_eq!(response.status(), 200);
    let body = response.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(words(&body).len(), 4);
}
