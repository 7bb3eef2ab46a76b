//! Endpoints that crash if they refuse too much.

use std::time::Duration;

use crate::endpoint::{Endpoint, ReceivedRequest, Step, response_to};
use crate::fleet::{TestInstance, read_rest, request};

/// All slots of the endpoint are taken, as the registrations of these tests count them.
const FULL: &str = "x-load: 8,0,8\r\n";

const CALLS: usize = 20;

fn respond(headers: String) -> impl Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync {
    move |_, received| vec![response_to(received, "200 OK", &headers, "ok")]
}

// Makes calls one after the other and returns the responses.
async fn call(instance: &TestInstance) -> Vec<String> {
    let mut responses = Vec::new();
    for _ in 0..CALLS {
        responses.push(instance.call("GET", "/stock/1", "").await);
    }
    responses
}

/// Guards against an endpoint that says it crashes if it refuses more than one request, and
/// is sent all that comes although it is full.
#[tokio::test]
async fn full_endpoint_gets_no_more_than_it_withstands() {
    let headers = format!("x-max-refusals: 1\r\n{FULL}");
    let endpoint = Endpoint::start(move |n, received: &ReceivedRequest| {
        // It takes the first request, the last that it has room for.
        let (status, refusal) = match n {
            0 => ("200 OK", ""),
            _ => ("503 Full", "x-not-run: 1\r\n"),
        };
        vec![response_to(
            received,
            status,
            &format!("{headers}{refusal}"),
            "",
        )]
    })
    .await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    instance.call("GET", "/stock/1", "").await;
    let text = request("GET", "/stock/1", "", "");
    let mut streams = Vec::new();
    for _ in 0..CALLS {
        streams.push(instance.open(&text).await);
    }
    for mut stream in streams {
        let response = read_rest(&mut stream).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("retry-after: "), "{response}");
    }
    // The first request taught the instance, and one may be refused in each of two seconds.
    let received = endpoint.received().len();
    assert!(received <= 1 + 2, "{received}");
}

/// Guards against an endpoint that is sent less for ever, since it once said that it crashes.
#[tokio::test]
async fn endpoint_that_no_longer_says_so_gets_all() {
    let endpoint = Endpoint::start(|n, received: &ReceivedRequest| {
        let limit = if n == 0 {
            "x-max-refusals: 1000\r\n"
        } else {
            ""
        };
        vec![response_to(
            received,
            "200 OK",
            &format!("{limit}{FULL}"),
            "ok",
        )]
    })
    .await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    for response in call(&instance).await {
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

/// Guards against a service that is sent less because of a number that can't be one.
#[tokio::test]
async fn numbers_that_cant_be_are_ignored() {
    for limit in [
        "0",
        "-1",
        "many",
        "1e3",
        "100001",
        "99999999999999999999",
        "",
    ] {
        let headers = format!("x-max-refusals: {limit}\r\n{FULL}");
        let endpoint = Endpoint::start(respond(headers)).await;
        let instance = TestInstance::start(&[endpoint.address]).await;
        for response in call(&instance).await {
            assert!(response.starts_with("HTTP/1.1 200"), "{limit}: {response}");
        }
    }
}

/// Guards against requests that are held because the endpoints that ran them were filled up
/// and crashed.
#[tokio::test]
async fn crashes_of_full_endpoints_are_no_evidence() {
    let mut endpoints = Vec::new();
    for _ in 0..6 {
        let endpoint = Endpoint::start(|_, received: &ReceivedRequest| {
            if received.head.starts_with("GET /stock/unlucky") {
                return vec![Step::Stop];
            }
            let headers = format!("x-max-refusals: 1000\r\n{FULL}");
            vec![response_to(received, "200 OK", &headers, "ok")]
        });
        endpoints.push(endpoint.await);
    }
    let addresses: Vec<_> = endpoints.iter().map(|one| one.address).collect();
    let instance = TestInstance::start(&addresses).await;
    while endpoints.iter().any(|one| one.received().is_empty()) {
        instance.call("GET", "/stock/1", "").await;
    }
    for _ in 0..3 {
        let response = instance.call("GET", "/stock/unlucky", "").await;
        assert!(!response.contains("held"), "{response}");
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
}
