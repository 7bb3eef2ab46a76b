//! The stand-in of a model engine.
//!
//! Continuous batching is modelled simply: up to [`Settings::slots`] requests
//! run at once, the others wait by `X-Priority`. A request takes the time of
//! its uncached prompt tokens at the prefill speed, then generates at a set
//! speed whatever else runs. Prompt tokens are a quarter of the body's bytes.
//! A prefix cache of limited size, keyed by `X-Prefix-Key`, takes prompt
//! tokens off and evicts what was used longest ago.
//!
//! Each answer says whose it is: the head repeats `X-Request-Id`, and each
//! event (or the whole JSON) has the request id as `id`, the digest of the
//! request's body as `digest`, and words made from that digest by
//! [`crate::digest::word`]. A checker tells from them whether an answer is
//! whole and its own.
//!
//! A request whose caller goes away is cancelled after [`Settings::hold`]
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
pub use self::orders::{Order, Wanted};
use crate::faults::{Handle, millis};
use crate::observe::Event;
use crate::serve::{Error, Server};

/// How an engine works when nothing is wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The engine's first life; each crash begins a greater one.
    pub incarnation: u64,
    /// Models loaded at the start, each as `name@weights`.
    pub models: BTreeSet<String>,
    /// Requests that run at once.
    pub slots: usize,
    /// Prompt tokens computed a second for one request.
    pub prefill: f64,
    /// Tokens generated a second for one request.
    pub decode: f64,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: u32,
    /// Tokens generated for a request that sets no limit.
    pub answer_tokens: u32,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// How long a stream is held for a caller that went away.
    #[serde(rename = "hold_ms", with = "millis")]
    pub hold: Duration,
    /// How long loading a model takes once its weights are there.
    #[serde(rename = "load_time_ms", with = "millis")]
    pub load_time: Duration,
    /// The weight store to pull from; without one, weights are just there.
    pub weights: Option<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            incarnation: 1,
            models: BTreeSet::new(),
            slots: 16,
            prefill: 20_000.0,
            // The users' aim is 36 ms between tokens, 28 a second; tests and
            // the demo can't wait as long.
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

/// What can go wrong with an engine.
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
    /// Refuse new work and say so in the report.
    pub leaving: bool,
    /// Probability that an answer breaks off in the middle.
    pub truncate: f64,
    /// Broken-off answers end as if they were whole.
    pub truncate_cleanly: bool,
    /// Streams break off in the middle of their second event, not between two.
    pub truncate_within: bool,
    /// Resumed streams don't break off.
    pub truncate_once: bool,
    /// Probability that a request gets the answer to the one before it.
    pub cross: f64,
    /// A request whose body holds this text crashes the engine when it runs.
    pub crash_marker: Option<String>,
    /// How long the engine is down after a crash.
    #[serde(rename = "down_for_ms", with = "millis")]
    pub down_for: Duration,
    /// Obey orders with an old fencing number.
    pub ignore_fencing: bool,
    /// How old the report is.
    #[serde(rename = "report_lag_ms", with = "millis")]
    pub report_lag: Duration,
    /// How late cache events are published.
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
            truncate_once: false,
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
    /// Its prompt's tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens that the prefix cache took off.
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
    /// Its answer was generated whole.
    Finished,
    /// It was cancelled, or its caller went away.
    Cancelled,
    /// The engine crashed under it.
    Crashed,
}

/// An engine that listens; it stops when dropped.
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
    /// Returns where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the handle of its faults.
    #[must_use]
    pub const fn faults(&self) -> &Handle<Faults> {
        self.core.faults()
    }

    /// Returns its present life.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.core.incarnation()
    }

    /// Returns every request accepted so far, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.core.runs()
    }

    /// Returns the models loaded now, each as `name@weights`.
    #[must_use]
    pub fn models(&self) -> BTreeSet<String> {
        self.core.models()
    }

    /// Returns every order so far, in order.
    #[must_use]
    pub fn orders(&self) -> Vec<Order> {
        self.core.orders()
    }

    /// Tells `told` what it does from now on; the first observer stays.
    pub fn observe(&self, told: impl Fn(Event) + Send + Sync + 'static) {
        self.core.observer.set(told);
    }

    /// Breaks all connections off and refuses new ones for a time; then it is
    /// back in a new life with an empty cache.
    pub fn crash(&self, down_for: Duration) {
        self.core.crash(down_for);
    }

    /// Stops it and frees its port.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
