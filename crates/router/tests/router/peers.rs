//! The peers' port refuses messages without a valid seal.

use std::time::Duration;

use godwitpost_wire::auth::{Key, Message};
use http::Request;

use crate::fleet::{Fleet, Size, full, read_response};

const SIZE: Size = Size {
    routers: 1,
    engines: 0,
    plains: 1,
};

// A sender without the fleet's key reaches the peers' port and forges messages.
// A forged dispatch that was accepted would bypass all limits.
#[tokio::test(flavor = "multi_thread")]
async fn forged_message_is_refused_and_counted() {
    let fleet = Fleet::start(SIZE).await;
    let now = std::time::SystemTime::now();
    let now = now.duration_since(std::time::UNIX_EPOCH).unwrap();
    let paths = [
        "/peer/v1/dispatch",
        "/peer/v1/claim",
        "/peer/v1/gossip",
        "/peer/v1/handover",
    ];
    for path in paths {
        let mut request = Request::post(path).body(full("forged")).unwrap();
        let message = Message {
            method: "POST",
            path,
            sender: "router-1",
            receiver: "router-0",
            body: b"forged",
        };
        Key::new([9; 32]).seal(&message, now, request.headers_mut());
        let address = fleet.routers[0].peers_address();
        let response = fleet
            .client
            .send(address, request, Duration::from_secs(5))
            .await;
        let (status, _, body) = read_response(response.unwrap()).await;
        assert_eq!((status.as_u16(), body.len()), (401, 0), "{path}");
    }
    let operators = fleet.routers[0].operators_address();
    let (_, _, metrics) = fleet.get(operators, "/metrics").await;
    let metrics = String::from_utf8(metrics.to_vec()).unwrap();
    let line = metrics
        .lines()
        .find(|line| line.starts_with("godwitpost_strangers_total"));
    assert!(line.is_some_and(|line| line.ends_with(" 4")), "{metrics}");
    assert!(fleet.plains[0].executions().is_empty());
}
