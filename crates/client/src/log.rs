//! A client of the platform's append-only log service.
//!
//! [`Client`] makes single calls and reports whether they may have taken effect.
//! [`writer::Writer`] retries an append through rejections, outages and lost
//! responses, within a rate limit. [`follower::Follower`] reads a stream as it
//! grows and reports when records expired before they were read.

pub mod append;
pub mod backoff;
pub mod budget;
pub mod follower;
pub mod gate;
pub mod read;
pub mod writer;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_types::clock::Moment;
use godwitpost_types::id::Offset;
use http::{Method, Request, StatusCode};
use serde::Deserialize;

use crate::connect::{self, Connector};
use crate::text;

/// Maximum size of a response. A page is limited by its number of records, and
/// the largest record is a whole bundle of a few megabytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A client of the log service.
#[derive(Clone, Debug)]
pub struct Client {
    connector: Connector,
    address: SocketAddr,
    timeout: Duration,
}

/// The position of an appended record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Appended {
    /// The record's offset in its stream.
    pub offset: Offset,
    /// When the log accepted it, on the log's clock.
    pub time: Moment,
}

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its offset in the stream.
    pub offset: Offset,
    /// When the log accepted it, on the log's clock.
    pub time: Moment,
    /// Its content.
    pub body: Bytes,
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The oldest offset that the log still retains.
    pub first: Offset,
    /// The offset to read from next.
    pub next: Offset,
    /// The records, in order of offset.
    pub records: Vec<Record>,
}

impl Client {
    /// Creates a client of the log at an address.
    ///
    /// `timeout` limits each call, in addition to the wait of a long poll.
    #[must_use]
    pub const fn new(connector: Connector, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            connector,
            address,
            timeout,
        }
    }

    /// Appends one record to a stream.
    ///
    /// # Errors
    ///
    /// Returns [`append::Error`], whose `may_have_taken_effect` distinguishes a
    /// rejection from a lost response.
    pub async fn append(&self, stream: &str, body: Bytes) -> Result<Appended, append::Error> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("/v1/streams/{stream}/records"))
            .body(text::full(body))
            .map_err(append::Error::Stream)?;
        let response = self
            .connector
            .send(self.address, request, self.timeout)
            .await
            .map_err(append::from_connect)?;
        let status = response.status();
        if status != StatusCode::CREATED {
            return Err(append::from_status(status));
        }
        let body = self
            .collect_body(response.into_body(), self.timeout)
            .await
            .map_err(append::Error::InvalidResponse)?;
        let appended: AppendResponse = serde_json::from_slice(&body)
            .map_err(|error| append::Error::InvalidResponse(error.into()))?;
        Ok(Appended {
            offset: appended.offset,
            time: Duration::from_millis(appended.time_ms),
        })
    }

    /// Reads up to `limit` records of a stream, starting at an offset.
    ///
    /// With a `wait`, the log responds as soon as a record at `from` exists, or
    /// with an empty page after that time.
    ///
    /// # Errors
    ///
    /// Returns [`read::Error`] if the log is unavailable or its response is
    /// invalid.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<Page, read::Error> {
        let wait_ms = wait.as_millis();
        let request = Request::builder()
            .uri(format!(
                "/v1/streams/{stream}/records?from={from}&limit={limit}&wait_ms={wait_ms}"
            ))
            .body(text::full(Bytes::new()))
            .map_err(read::Error::Stream)?;
        let timeout = self.timeout + wait;
        let response = self
            .connector
            .send(self.address, request, timeout)
            .await
            .map_err(read::Error::Connect)?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(read::Error::Status(status));
        }
        let body = self
            .collect_body(response.into_body(), timeout)
            .await
            .map_err(read::Error::InvalidResponse)?;
        read::parse(&body, from)
    }

    async fn collect_body(
        &self,
        body: connect::ResponseBody,
        timeout: Duration,
    ) -> Result<Bytes, connect::BoxError> {
        tokio::time::timeout(timeout, text::collect(body, MAX_RESPONSE_BYTES)).await?
    }
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: Offset,
    time_ms: u64,
}
