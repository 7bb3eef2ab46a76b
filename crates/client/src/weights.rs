//! A client of the platform's rate-limited weight store.
//!
//! Engines download weights themselves. The fleet only checks that a version
//! exists before it orders engines to load it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{Method, Request, StatusCode};

use crate::connect::{self, Connector};
use crate::text;

/// The pause after a 429 response without a valid `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A client of the weight store.
#[derive(Clone, Debug)]
pub struct Client {
    connector: Connector,
    address: SocketAddr,
    timeout: Duration,
}

/// Whether the store has a version of a model's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The store has it.
    Present,
    /// The store doesn't have it.
    Absent,
    /// The store's rate limit was exceeded; retry after the pause.
    Busy(Duration),
}

/// The reason for which the store gave no usable response.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the name of the model or version is not valid in a path ({0}); rename it
    Name(http::Error),
    /// cannot reach the weight store: {0}
    Connect(connect::Error),
    /// the weight store answered {0}; try again after a pause
    Status(StatusCode),
}

impl std::error::Error for Error {}

impl Client {
    /// Creates a client of the store at an address. `timeout` limits each call.
    #[must_use]
    pub const fn new(connector: Connector, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            connector,
            address,
            timeout,
        }
    }

    /// Checks whether the store has a version of a model's weights.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the store can't be reached or responds with an
    /// unexpected status.
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
