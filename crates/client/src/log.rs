//! The client of the platform's append-only log service.
//!
//! [`Client`] makes single calls and reports what is known of their effect.
//! [`writer::Writer`] sees an append through refusals, outages and lost
//! answers, within a budget of appends. [`follower::Follower`] reads a stream
//! as it grows and says when records were lost to it.

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

/// Bytes of an answer that are read at most. A page is asked for by number of
/// records, and the largest record is a whole bundle of a few megabytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Makes calls to the log service.
#[derive(Clone, Debug)]
pub struct Client {
    connector: Connector,
    address: SocketAddr,
    timeout: Duration,
}

/// Where an append ended up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Appended {
    /// The record's offset in its stream.
    pub offset: Offset,
    /// When the log took it, on the log's clock.
    pub time: Moment,
}

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its offset in the stream.
    pub offset: Offset,
    /// When the log took it, on the log's clock.
    pub time: Moment,
    /// Its bytes.
    pub body: Bytes,
}

/// Some consecutive records of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The oldest offset that the log still keeps.
    pub first: Offset,
    /// The offset to read from next.
    pub next: Offset,
    /// The records, in order of offset.
    pub records: Vec<Record>,
}

impl Client {
    /// Makes a client of the log at an address.
    ///
    /// `timeout` bounds a call, on top of what a long poll asks to wait.
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
    /// [`append::Error`], whose `may_have_taken_effect` tells a refusal from
    /// an answer that was lost.
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

    /// Reads up to `limit` records of a stream from an offset on.
    ///
    /// With a `wait` the log answers as soon as a record at `from` exists, or
    /// with an empty page after that time.
    ///
    /// # Errors
    ///
    /// [`read::Error`] if the log is down or answers nonsense.
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
