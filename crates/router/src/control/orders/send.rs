//! Sends one order to one engine.

use std::time::Duration;

use bytes::Bytes;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::Endpoint;
use godwitpost_types::id::{Offset, ServiceId};
use http::{Request, StatusCode};
use serde::Deserialize;

use super::super::{Event, Io};
use super::SendResult;
use crate::body;

/// Path for orders at an engine.
const ORDERS_PATH: &str = "/v1/orders";

/// Timeout of an engine's response. Together with [`MAX_SEND_DELAY`] it is within
/// the safety margin of a lease's holder, three seconds.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time between checking the lease and sending an order.
///
/// Without it, a process that is paused between the two could send an order
/// after its lease has ended, and an engine that ignores fencing numbers would
/// obey it.
const MAX_SEND_DELAY: Duration = Duration::from_millis(500);

/// Limit on the size of a response.
const MAX_RESPONSE_BYTES: usize = 4 << 10;

#[derive(Deserialize)]
struct Conflict {
    fence: Option<Offset>,
}

/// Sends an order; `allowed` is when the lease was checked.
pub(super) async fn send_order(
    io: Io,
    allowed: Moment,
    service: ServiceId,
    endpoint: Endpoint,
    fence: Offset,
    body: serde_json::Value,
) {
    let sent = if since(io.now(), allowed) > MAX_SEND_DELAY {
        SendResult::Failed(
            "this instance was paused before sending; the order will be planned again".to_owned(),
        )
    } else {
        post(&io, &endpoint, &body).await
    };
    let event = Event::OrderResult(service, endpoint.id, fence, sent);
    drop(io.events.send(event).await);
}

async fn post(io: &Io, endpoint: &Endpoint, order: &serde_json::Value) -> SendResult {
    let bytes = Bytes::from(order.to_string());
    let request = Request::post(ORDERS_PATH)
        .header("content-type", "application/json")
        .body(body::full(bytes));
    let request = match request {
        Ok(request) => request,
        Err(error) => return SendResult::Failed(error.to_string()),
    };
    match io
        .probes
        .send(endpoint.address, request, RESPONSE_TIMEOUT)
        .await
    {
        Ok(response) if response.status() == StatusCode::ACCEPTED => SendResult::Accepted,
        Ok(response) if response.status() == StatusCode::CONFLICT => {
            let read = body::collect(response.into_body(), MAX_RESPONSE_BYTES);
            let read = tokio::time::timeout(RESPONSE_TIMEOUT, read).await;
            let bytes = read.ok().and_then(Result::ok).unwrap_or_default();
            let conflict = serde_json::from_slice::<Conflict>(&bytes);
            SendResult::FenceRefused(conflict.ok().and_then(|conflict| conflict.fence))
        }
        Ok(response) => {
            SendResult::Failed(format!("the engine responded with {}", response.status()))
        }
        Err(error) => SendResult::Failed(error.to_string()),
    }
}
