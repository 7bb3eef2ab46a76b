//! The plain service's stand-in.

use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::{Connector, Error, ResponseBody, Settings};
use godwitpost_standin::plain::{self, Faults, Running};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};

const TIMEOUT: Duration = Duration::from_secs(20);

async fn start(faults: Faults) -> Running {
    let address = "127.0.0.1:0".parse().expect("an address");
    plain::start(address, faults).await.expect("a free port")
}

async fn order(running: &Running, body: &'static str) -> Result<Response<ResponseBody>, Error> {
    let body = Full::new(Bytes::from_static(body.as_bytes()))
        .map_err(|never| match never {})
        .boxed_unsync();
    let request = Request::post("/orders")
        .header("idempotency-key", "k1")
        .body(body)
        .expect("a constant request");
    let connector = Connector::new(Settings::default());
    connector.send(running.address(), request, TIMEOUT).await
}

#[tokio::test]
async fn executions_are_counted_by_key() {
    let running = start(Faults::default()).await;
    for _ in 0..2 {
        let response = order(&running, "order").await.expect("an answer");
        assert_eq!(response.status(), StatusCode::OK);
    }
    assert_eq!(running.runs("POST /orders", "k1"), 2);
    assert_eq!(running.runs("POST /orders", "k2"), 0);
}

#[tokio::test]
async fn a_leaving_service_executes_nothing() {
    let running = start(Faults::default()).await;
    running.faults().change(|faults| faults.leaving = true);
    let response = order(&running, "order").await.expect("an answer");
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()["godwitpost-endpoint"], "leaving");
    assert!(running.executions().is_empty());
}

// A request crashes the service that runs it: the connection breaks, the port
// refuses connections for a while, and then a new incarnation listens on the same
// address.
#[tokio::test]
async fn crash_marker_restarts_the_service_as_a_new_incarnation() {
    let running = start(Faults {
        crash_marker: Some("poison".to_owned()),
        down_for: Duration::from_millis(50),
        ..Faults::default()
    })
    .await;
    let before = running.incarnation();
    let crashed = order(&running, "some poison").await;
    assert!(matches!(crashed, Err(Error::Unknown(_))));
    assert_eq!(running.incarnation(), before + 1);
    loop {
        match order(&running, "order").await {
            Ok(response) => break assert_eq!(response.status(), StatusCode::OK),
            Err(Error::NotSent { .. }) => tokio::time::sleep(Duration::from_millis(5)).await,
            Err(Error::Unknown(cause)) => panic!("a port that is down must refuse: {cause}"),
        }
    }
}
