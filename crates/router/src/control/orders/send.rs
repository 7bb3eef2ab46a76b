//! Sends one order to one engine.

use std::time::Duration;

use bytes::Bytes;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::Endpoint;
use godwitpost_types::id::{Offset, ServiceId};
use http::{Request, StatusCode};
use serde::Deserialize;

use super::super::{Event, Io};
use super::Sent;
use crate::body;

/// The path of orders.
const PATH: &str = "/v1/orders";

/// How long an engine may take to answer. With [`LATE`] it stays within the
/// margin that a lease's holder keeps, three seconds.
const WAIT: Duration = Duration::from_secs(2);

/// How long after the look at the lease an order may leave.
///
/// The failure: the process is paused between the look and the sending, the
/// lease ends, and an engine that ignores fencing numbers obeys the order of
/// a holder that is none any more.
const LATE: Duration = Duration::from_millis(500);

/// Bytes of an answer that are read.
const ANSWER_BYTES: usize = 4 << 10;

#[derive(Deserialize)]
struct Conflict {
    fence: Option<Offset>,
}

/// Sends an order that the lease allowed at `allowed`.
pub(super) async fn order(
    io: Io,
    allowed: Moment,
    service: ServiceId,
    endpoint: Endpoint,
    fence: Offset,
    body: serde_json::Value,
) {
    let sent = if since(io.now(), allowed) > LATE {
        Sent::Failed("this instance was paused; the order is planned anew".to_owned())
    } else {
        send(&io, &endpoint, &body).await
    };
    let event = Event::OrderResult(service, endpoint.id, fence, sent);
    drop(io.events.send(event).await);
}

async fn send(io: &Io, endpoint: &Endpoint, order: &serde_json::Value) -> Sent {
    let bytes = Bytes::from(order.to_string());
    let request = Request::post(PATH)
        .header("content-type", "application/json")
        .body(body::full(bytes));
    let request = match request {
        Ok(request) => request,
        Err(error) => return Sent::Failed(error.to_string()),
    };
    match io.probes.send(endpoint.address, request, WAIT).await {
        Ok(response) if response.status() == StatusCode::ACCEPTED => Sent::Taken,
        Ok(response) if response.status() == StatusCode::CONFLICT => {
            let read = body::collect(response.into_body(), ANSWER_BYTES);
            let read = tokio::time::timeout(WAIT, read).await;
            let bytes = read.ok().and_then(Result::ok).unwrap_or_default();
            let conflict = serde_json::from_slice::<Conflict>(&bytes);
            Sent::Overtaken(conflict.ok().and_then(|conflict| conflict.fence))
        }
        Ok(response) => Sent::Failed(format!("the engine answered {}", response.status())),
        Err(error) => Sent::Failed(error.to_string()),
    }
}
