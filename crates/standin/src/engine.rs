//! The stand-in of a model engine.
//!
//! Continuous batching is simplified: up to [`Settings::slots`] requests run at
//! once, the others wait in order of `X-Priority`. A request takes the time of
//! its uncached prompt tokens at the prefill speed, then generates at a fixed
//! speed, independent of other requests. Prompt tokens are a quarter of the body's bytes.
//! A prefix cache of limited size, keyed by `X-Prefix-Key`, reduces the
//! prompt tokens to compute and evicts the least recently used entries.
//!
//! Each response identifies its request: its head repeats `X-Request-Id`, and each
//! event (or the complete JSON) has the request id as `id`, the digest of the
//! request's body as `digest`, and words made from that digest by
//! [`crate::digest::word`]. A checker uses them to detect
//! truncated and misrouted responses.
//!
//! A request whose caller disconnects is cancelled after [`Settings::hold`]
//! unless the stream is resumed by `Last-Event-ID` before that.

mod cache;
mod chat;
mod core;
mod job;
mod kv;
mod load;
mod orders;
mod reply;
mod slots;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_types::clock::Moment;
use serde::{Deserialize, Serialize};

use self::core::Core;
pub use self::orders::{Order, OrderAction};
use crate::faults::{Handle, millis};
use crate::observe::Event;
use crate::serve::{Error, Server};

/// How an engine works without faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The first incarnation; each crash increases it.
    pub incarnation: u64,
    /// Models loaded at the start, each as `name@weights`.
    pub models: BTreeSet<String>,
    /// Requests that run at once.
    pub slots: usize,
    /// Prompt tokens computed per second for one request.
    pub prefill: f64,
    /// Tokens generated per second for one request.
    pub decode: f64,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u32,
    /// Tokens generated for a request that sets no limit.
    pub answer_tokens: u32,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// How long a stream can be resumed after its caller disconnected.
    #[serde(rename = "hold_ms", with = "millis")]
    pub hold: Duration,
    /// How long loading a model takes once its weights are available.
    #[serde(rename = "load_time_ms", with = "millis")]
    pub load_time: Duration,
    /// The weight store to pull from; without one, weights are available at once.
    pub weights: Option<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            incarnation: 1,
            models: BTreeSet::new(),
            slots: 16,
            prefill: 20_000.0,
            // Real engines target 36 ms between tokens, or 28 per second, which is
            // too slow for tests and the demo.
            decode: 200.0,
            cache_tokens: 200_000,
            answer_tokens: 32,
            event_tokens: 1,
            hold: Duration::from_secs(2),
            load_time: Duration::from_millis(200),
            weights: None,
        }
    }
}

/// Faults of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is switched on its own, and its JSON is flat"
)]
pub struct Faults {
    /// Added to the time before the first token.
    #[serde(rename = "slow_ms", with = "millis")]
    pub slow: Duration,
    /// Probability that a request is refused with 503, not run.
    pub refuse: f64,
    /// Refuse new requests and report the standing `leaving`.
    pub leaving: bool,
    /// Probability that a response is truncated.
    pub truncate: f64,
    /// Truncated responses end as if they were complete.
    pub truncate_cleanly: bool,
    /// Streams are truncated within their second event, not between two events.
    pub truncate_within: bool,
    /// Streams are truncated after this many bytes, wherever that is.
    pub truncate_after: Option<usize>,
    /// Resumed streams are not truncated.
    pub truncate_once: bool,
    /// Probability that a response has neither a length nor chunks and ends with its
    /// connection, as in HTTP/1.0.
    pub close_delimited: f64,
    /// Probability that a request gets the response to the previous one.
    pub cross: f64,
    /// A request whose body contains this text crashes the engine when it runs.
    pub crash_marker: Option<String>,
    /// How long the engine is down after a crash.
    #[serde(rename = "down_for_ms", with = "millis")]
    pub down_for: Duration,
    /// Accept orders with an outdated fencing number.
    pub ignore_fencing: bool,
    /// Age of the load report.
    #[serde(rename = "report_lag_ms", with = "millis")]
    pub report_lag: Duration,
    /// Delay of the publication of cache events.
    #[serde(rename = "event_lag_ms", with = "millis")]
    pub event_lag: Duration,
    /// Probability that a cache event is never published.
    pub event_gaps: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: Duration::ZERO,
            refuse: 0.0,
            leaving: false,
            truncate: 0.0,
            truncate_cleanly: false,
            truncate_within: false,
            truncate_after: None,
            truncate_once: false,
            close_delimited: 0.0,
            cross: 0.0,
            crash_marker: None,
            down_for: Duration::from_secs(1),
            ignore_fencing: false,
            report_lag: Duration::ZERO,
            event_lag: Duration::ZERO,
            event_gaps: 0.0,
        }
    }
}

/// One request that an engine accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Run {
    /// Its `X-Request-Id`.
    pub request: String,
    /// The digest of its body.
    pub digest: String,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// When it got a slot; `None` while it waits.
    pub started: Option<Moment>,
    /// When it ended.
    pub ended: Option<Moment>,
    /// How it ended; `None` while it runs.
    pub end: Option<End>,
}

/// How a request ended at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// Its answer was generated completely.
    Finished,
    /// It was cancelled, or its caller disconnected.
    Cancelled,
    /// The engine crashed while it ran.
    Crashed,
}

/// An engine that is listening; it stops when dropped.
#[derive(Debug)]
pub struct Running {
    server: Server,
    core: Core,
}

/// Starts an engine at an address; port 0 takes a free one.
///
/// # Errors
///
/// [`Error::Listen`] if the address can't be listened on.
pub async fn start(
    address: SocketAddr,
    settings: Settings,
    faults: Faults,
) -> Result<Running, Error> {
    let core = Core::new(settings, faults);
    let handler = core.clone();
    let server = Server::start(address, core.switch(), move |request| {
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
        self.core.faults()
    }

    /// Returns the current incarnation.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.core.incarnation()
    }

    /// Returns all requests accepted so far, oldest first.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.core.runs()
    }

    /// Returns the models loaded now, each as `name@weights`.
    #[must_use]
    pub fn models(&self) -> BTreeSet<String> {
        self.core.models()
    }

    /// Returns all orders received so far, oldest first.
    #[must_use]
    pub fn orders(&self) -> Vec<Order> {
        self.core.orders()
    }

    /// Calls `callback` for each event from now on. Only the first observer is
    /// used; later calls have no effect.
    pub fn observe(&self, callback: impl Fn(Event) + Send + Sync + 'static) {
        self.core.observer.set(callback);
    }

    /// Aborts all connections and refuses new ones for `down_for`; then
    /// listens again under a new incarnation with an empty cache.
    pub fn crash(&self, down_for: Duration) {
        self.core.crash(down_for);
    }

    /// Stops it and waits until its port is free.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
