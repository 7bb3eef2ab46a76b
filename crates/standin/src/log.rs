//! The stand-in of the append-only log service.

mod page;
mod streams;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::clock::Clock;
use godwitpost_types::id::Offset;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use self::page::Page;
pub use self::streams::Record;
use self::streams::{Appended, Streams};
use crate::answer::{self, Answer};
use crate::faults::{Handle, lock, millis};
use crate::serve::{ConnectionAborted, Error, Server, Switch};

/// Faults of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Added to the time of each call.
    #[serde(rename = "slow_ms", with = "millis")]
    pub slow: Duration,
    /// Answer 503 to everything.
    pub down: bool,
    /// Appends per second over all streams; more get 429. The platform's log
    /// accepts several hundred.
    pub rate: f64,
    /// Probability that an append takes effect but its response is lost.
    pub lose_answers: f64,
    /// Probability that an append's connection breaks at once and the append
    /// takes effect only after `late_by`.
    pub late_effects: f64,
    /// Delay after which a late append takes effect.
    #[serde(rename = "late_by_ms", with = "millis")]
    pub late_by: Duration,
    /// Reads omit records younger than this.
    #[serde(rename = "stale_reads_ms", with = "millis")]
    pub stale_reads: Duration,
    /// Records older than this are removed.
    #[serde(rename = "retention_ms", with = "millis")]
    pub retention: Duration,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: Duration::ZERO,
            down: false,
            rate: 500.0,
            lose_answers: 0.0,
            late_effects: 0.0,
            late_by: Duration::from_secs(1),
            stale_reads: Duration::ZERO,
            retention: Duration::from_hours(1),
        }
    }
}

/// A log that is listening; it stops when dropped.
#[derive(Debug)]
pub struct Running {
    server: Server,
    core: Core,
}

#[derive(Clone, Debug)]
struct Core {
    clock: Clock,
    faults: Handle<Faults>,
    switch: Switch,
    streams: Arc<Mutex<Streams>>,
    // Wakes long polls after an append.
    appended: Arc<watch::Sender<u64>>,
}

/// Starts a log at an address; port 0 takes a free one.
///
/// # Errors
///
/// [`Error::Listen`] if the address can't be listened on.
pub async fn start(address: SocketAddr, faults: Faults) -> Result<Running, Error> {
    let core = Core {
        clock: Clock::start(),
        faults: Handle::new(faults),
        switch: Switch::new(),
        streams: Arc::default(),
        appended: Arc::new(watch::Sender::new(0)),
    };
    let handler = core.clone();
    let server = Server::start(address, core.switch.clone(), move |request| {
        handler.clone().handle(request)
    })
    .await?;
    Ok(Running { server, core })
}

impl Running {
    /// Returns the address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the handle that reads and changes its faults.
    #[must_use]
    pub const fn faults(&self) -> &Handle<Faults> {
        &self.core.faults
    }

    /// Returns the retained records of a stream.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<Record> {
        lock(&self.core.streams).all(stream)
    }

    /// Drops the records of a stream below an offset.
    pub fn truncate(&self, stream: &str, before: Offset) {
        lock(&self.core.streams).truncate(stream, before);
    }

    /// Appends a record directly, without HTTP and unaffected by faults.
    pub fn append(&self, stream: &str, body: Bytes) -> Offset {
        self.core.append_record(stream, body).offset
    }

    /// Aborts all connections and refuses new ones for `down_for`. Records are
    /// retained; an append that had not appended effect yet never does.
    pub fn crash(&self, down_for: Duration) {
        self.core.switch.down_for(down_for, || {});
    }

    /// Stops it and waits until its port is free.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

#[derive(Deserialize)]
struct Truncation {
    stream: String,
    before: Offset,
}

impl Core {
    async fn handle(self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        match (path.as_str(), request.method()) {
            ("/faults", _) => return answer::faults(&self.faults, request).await,
            ("/truncate", &Method::POST) => return self.truncate(request).await,
            _ => {}
        }
        let faults = self.faults.get();
        sleep(faults.slow).await;
        if faults.down {
            return Ok(answer::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "the log is down; try again later",
            ));
        }
        let Some(stream) = stream_name(&path) else {
            return Ok(answer::not_found());
        };
        match *request.method() {
            Method::POST => self.append(stream, request, &faults).await,
            Method::GET => self.read(stream, request.uri().query()).await,
            _ => Ok(answer::not_found()),
        }
    }

    async fn append(&self, stream: &str, request: Request<Incoming>, faults: &Faults) -> Answer {
        let body = answer::read(request.into_body()).await?;
        let allowed = lock(&self.streams).allow(self.clock.now(), faults.rate);
        if !allowed {
            return Ok(answer::error(
                StatusCode::TOO_MANY_REQUESTS,
                "over the rate of appends; slow down",
            ));
        }
        if self.faults.occurs(faults.late_effects) {
            self.append_late(stream.to_owned(), body, faults.late_by);
            return Err(ConnectionAborted);
        }
        let appended = self.append_record(stream, body);
        if self.faults.occurs(faults.lose_answers) {
            return Err(ConnectionAborted);
        }
        let time_ms = u64::try_from(appended.time.as_millis()).unwrap_or(u64::MAX);
        Ok(answer::json(
            StatusCode::CREATED,
            &json!({ "offset": appended.offset, "time_ms": time_ms }),
        ))
    }

    fn append_record(&self, stream: &str, body: Bytes) -> Appended {
        let appended = lock(&self.streams).append(stream, self.clock.now(), body);
        self.appended.send_modify(|count| *count += 1);
        appended
    }

    fn append_late(&self, stream: String, body: Bytes, late_by: Duration) {
        let core = self.clone();
        tokio::spawn(async move {
            sleep(late_by).await;
            core.append_record(&stream, body);
        });
    }

    async fn read(&self, stream: &str, query: Option<&str>) -> Answer {
        let from = answer::number(query, "from").unwrap_or(0);
        let limit = answer::number(query, "limit").unwrap_or(100);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let wait = Duration::from_millis(answer::number(query, "wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut appended = self.appended.subscribe();
        loop {
            appended.mark_unchanged();
            let page = self.page(stream, from, limit);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !page.is_empty() || page.first() > from || remaining.is_zero() {
                return Ok(answer::json(StatusCode::OK, &page));
            }
            // No signal is sent when a record becomes old enough for a stale
            // read, so the wait is limited to that time.
            let stale = self.faults.get().stale_reads;
            let pause = if stale.is_zero() {
                remaining
            } else {
                remaining.min(stale)
            };
            let _either = timeout(pause, appended.changed()).await;
        }
    }

    fn page(&self, stream: &str, from: Offset, limit: usize) -> Page {
        let faults = self.faults.get();
        let now = self.clock.now();
        let mut streams = lock(&self.streams);
        streams.expire(now.saturating_sub(faults.retention));
        let (first, records) =
            streams.page(stream, from, limit, now.saturating_sub(faults.stale_reads));
        Page::new(first, from, &records)
    }

    async fn truncate(&self, request: Request<Incoming>) -> Answer {
        let body = answer::read(request.into_body()).await?;
        match serde_json::from_slice::<Truncation>(&body) {
            Ok(truncation) => {
                lock(&self.streams).truncate(&truncation.stream, truncation.before);
                Ok(answer::empty(StatusCode::NO_CONTENT))
            }
            Err(reason) => Ok(answer::error(StatusCode::BAD_REQUEST, &reason.to_string())),
        }
    }
}

fn stream_name(path: &str) -> Option<&str> {
    path.strip_prefix("/v1/streams/")?
        .strip_suffix("/records")
        .filter(|stream| !stream.is_empty() && !stream.contains('/'))
}
