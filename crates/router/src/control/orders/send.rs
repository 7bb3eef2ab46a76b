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

/// The path of orders.
const ORDERS_PATH: &str = "/v1/orders";

/// How long an engine may take to answer. With [`MAX_SEND_DELAY`] it stays within the
/// margin that a lease's holder keeps, three seconds.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long after the look at the lease an order may leave.
///
/// The failure: the process is paused between the look and the sending, the
/// lease ends, and an engine that ignores fencing numbers obeys the order of
/// a holder that is none any more.
const MAX_SEND_DELAY: Duration = Duration::from_millis(500);

/// Bytes of an answer that are read.
const MAX_RESPONSE_BYTES: usize = 4 << 10;

#[derive(Deserialize)]
struct Conflict {
    fence: Option<Offset>,
}

/// Sends an order that the lease allowed at `allowed`.
pub(super) async fn send_order(
    io: Io,
    allowed: Moment,
    service: ServiceId,
    endpoint: Endpoint,
    fence: Offset,
    body: serde_json::Value,
) {
    let sent = if since(io.now(), allowed) > MAX_SEND_DELAY {
        SendResult::Failed("this instance was paused; the order is planned anew".to_owned())
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
        Ok(response) => SendResult::Failed(format!("the engine answered {}", response.status())),
        Err(error) => SendResult::Failed(error.to_string()),
    }
}
