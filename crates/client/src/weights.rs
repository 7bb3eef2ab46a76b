//! The client of the platform's rate-limited weight store.
//!
//! Engines pull weights themselves; the fleet only asks whether a version
//! exists before it orders engines to load it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{Method, Request, StatusCode};

use crate::connect::{self, Connector};
use crate::text;

/// The pause after a 429 without a readable `Retry-After`.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Makes calls to the weight store.
#[derive(Clone, Debug)]
pub struct Client {
    connector: Connector,
    address: SocketAddr,
    timeout: Duration,
}

/// What the store says of one version of a model's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The store has it.
    Present,
    /// The store doesn't have it.
    Absent,
    /// The store is over its rate; ask again after the pause.
    Busy(Duration),
}

/// Why the store gave no usable answer.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the model's or version's name is no part of a path ({0}); rename it
    Name(http::Error),
    /// cannot reach the weight store: {0}
    Connect(connect::Error),
    /// the weight store answered {0}; try again after a pause
    Status(StatusCode),
}

impl std::error::Error for Error {}

impl Client {
    /// Makes a client of the store at an address, with a time-out for a call.
    #[must_use]
    pub const fn new(connector: Connector, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            connector,
            address,
            timeout,
        }
    }

    /// Asks whether the store has a version of a model's weights.
    ///
    /// # Errors
    ///
    /// [`Error`] if the store can't be reached or answers what it shouldn't.
    pub async fn presence(&self, model: &str, weights: &str) -> Result<Presence, Error> {
        let request = Request::builder()
            .method(Method::HEAD)
            .uri(format!("/v1/weights/{model}/{weights}"))
            .body(text::full(Bytes::new()))
            .map_err(Error::Name)?;
        let response = self
            .connector
            .send(self.address, request, self.timeout)
            .await
            .map_err(Error::Connect)?;
        match response.status() {
            StatusCode::OK => Ok(Presence::Present),
            StatusCode::NOT_FOUND => Ok(Presence::Absent),
            StatusCode::TOO_MANY_REQUESTS => {
                Ok(Presence::Busy(parse_retry_after(response.headers())))
            }
            status => Err(Error::Status(status)),
        }
    }
}

fn parse_retry_after(headers: &http::HeaderMap) -> Duration {
    headers
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}
