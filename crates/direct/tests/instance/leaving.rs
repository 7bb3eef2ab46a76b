//! Endpoints that announce in their responses that they are leaving.

use std::time::Duration;

use godwitpost_direct::source::Value;

use crate::endpoint::{
    Endpoint, ReceivedRequest, Step, ok_with_body, response_to, response_to_other_attempt,
};
use crate::fleet::TestInstance;
use crate::overloads::parts_of_first_endpoint;

/// Response header of an endpoint that is leaving.
const LEAVING_HEADER: &str = "x-leaving: 1\r\n";

/// Number of calls after which each usable endpoint has received a request.
const CALLS_TO_REACH_ALL: usize = 12;

/// Number of prompts, each of them new.
const NEW_PROMPTS: usize = 5;

fn respond_leaving(_: usize, received: &ReceivedRequest) -> Vec<Step> {
    vec![response_to(received, "200 OK", LEAVING_HEADER, "last")]
}

async fn call_repeatedly(instance: &TestInstance) {
    for _ in 0..CALLS_TO_REACH_ALL {
        let response = instance.call("GET", "/open/1", "").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

// Calls until the endpoint has received a request.
async fn call_until_received(instance: &TestInstance, endpoint: &Endpoint) {
    for _ in 0..CALLS_TO_REACH_ALL {
        instance.call("GET", "/open/1", "").await;
        if !endpoint.received().is_empty() {
            return;
        }
    }
    panic!("the endpoint never got a request");
}

// Sends requests and checks that other endpoints serve all of them.
async fn assert_gets_no_requests(instance: &TestInstance, endpoint: &Endpoint) {
    let before = endpoint.received().len();
    call_repeatedly(instance).await;
    assert_eq!(endpoint.received().len(), before);
}

/// Guards against requests to an endpoint that announces its leaving only in its responses,
/// while the log still lists it.
#[tokio::test]
async fn endpoint_that_announces_leaving_gets_no_requests() {
    let leaving = Endpoint::start(respond_leaving).await;
    let other = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[leaving.address, other.address]).await;
    call_until_received(&instance, &leaving).await;
    assert_gets_no_requests(&instance, &leaving).await;
    instance.register("e0", leaving.address);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_gets_no_requests(&instance, &leaving).await;
}

/// Guards against a log that returns after an outage and still lists, or lists again, an
/// endpoint that announced its leaving during the outage.
#[tokio::test]
async fn announced_leaving_outlasts_a_log_outage() {
    let leaving = Endpoint::start(respond_leaving).await;
    let other = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[leaving.address, other.address]).await;
    instance.endpoints.set_down(true);
    instance.operator.set_down(true);
    call_until_received(&instance, &leaving).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    instance.endpoints.append("e0", Value::Removed);
    instance.register("e0", leaving.address);
    instance.endpoints.set_down(false);
    instance.operator.set_down(false);
    instance.wait_until_ready().await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_gets_no_requests(&instance, &leaving).await;
    instance.endpoints.append("e0", Value::Removed);
    tokio::time::sleep(Duration::from_millis(300)).await;
    instance.register("e0", leaving.address);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_gets_no_requests(&instance, &leaving).await;
}

/// Guards against an endpoint that gets no more requests because of a late response to
/// another attempt that announced a leaving.
#[tokio::test]
async fn leaving_in_a_response_to_another_attempt_is_ignored() {
    let endpoint = Endpoint::start(|n, received| match n {
        0 => vec![response_to_other_attempt("200 OK", "x-leaving: 1\r\n")],
        _ => vec![response_to(received, "200 OK", "", "mine")],
    })
    .await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let response = instance.call("POST", "/order/1", "").await;
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let response = instance.call("POST", "/order/1", "").await;
    assert!(response.ends_with("mine"), "{response}");
}

/// Guards against callers that wait for an endpoint when all endpoints of the service are
/// leaving.
#[tokio::test]
async fn callers_are_refused_at_once_if_all_endpoints_leave() {
    let endpoint = Endpoint::start(respond_leaving).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    call_until_received(&instance, &endpoint).await;
    let response = instance.call("GET", "/stock/1", "").await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(
        response.contains("no-endpoint") && response.contains("retry-after"),
        "{response}"
    );
    assert_eq!(endpoint.received().len(), 1);
}

/// Guards against a bound that is too high while an endpoint drains: it counts for the mean until
/// it is gone.
#[tokio::test]
async fn prompt_leaves_its_home_while_an_endpoint_that_drains_lowers_the_mean() {
    let respond = |headers: &'static str| {
        move |_: usize, received: &ReceivedRequest| {
            vec![response_to(received, "200 OK", headers, "ok")]
        }
    };
    let home = Endpoint::start(respond("x-load: 9,0,8\r\n")).await;
    let other = Endpoint::start(respond("x-load: 4,0,8\r\n")).await;
    let leaving = Endpoint::start(respond("x-load: 0,0,8\r\nx-leaving: 1\r\n")).await;
    let endpoints = [&home, &other, &leaving];
    let instance = TestInstance::start(&endpoints.map(|one| one.address)).await;
    while endpoints.iter().any(|one| one.received().is_empty()) {
        instance.call("GET", "/open/1", "").await;
    }
    let before = home.received().len();
    for part in parts_of_first_endpoint().take(NEW_PROMPTS) {
        let header = format!("x-prompt: 5000,{part},5001\r\n");
        let response = instance.call("POST", "/draft/1", &header).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    assert_eq!(home.received().len(), before);
}
