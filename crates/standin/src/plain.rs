//! The stand-in of a plain service: it executes any call and counts executions.
//!
//! A response is JSON with the digest of the request's body ([`crate::digest`])
//! and how often the same path and `Idempotency-Key` have been executed. The
//! service doesn't deduplicate keys: the fleet has to keep an order from
//! running twice, and [`Running::runs`] shows whether it did.

mod core;

use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_types::clock::Moment;
use serde::{Deserialize, Serialize};

use self::core::Core;
use crate::faults::{Handle, millis};
use crate::observe::Event;
use crate::serve::{Error, Server};

/// Faults of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The time that an execution takes.
    #[serde(rename = "slow_ms", with = "millis")]
    pub slow: Duration,
    /// Probability that a call is executed but its response is lost.
    pub lose_answers: f64,
    /// Probability that a response has no length and ends with its connection, as in HTTP/1.0.
    pub close_delimited: f64,
    /// Probability that a call is refused with 503, without execution.
    pub refuse: f64,
    /// Refuse new requests and report the standing `leaving`.
    pub leaving: bool,
    /// A call whose body contains this text crashes the service.
    pub crash_marker: Option<String>,
    /// How long the service is down after a crash.
    #[serde(rename = "down_for_ms", with = "millis")]
    pub down_for: Duration,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: Duration::ZERO,
            lose_answers: 0.0,
            close_delimited: 0.0,
            refuse: 0.0,
            leaving: false,
            crash_marker: None,
            down_for: Duration::from_secs(1),
        }
    }
}

/// One execution of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Execution {
    /// The method and path of the call.
    pub call: String,
    /// Its `Idempotency-Key`.
    pub key: Option<String>,
    /// The `X-Request-Id` it came with.
    pub request: Option<String>,
    /// The digest of its body.
    pub digest: String,
    /// When it began.
    pub started: Moment,
}

/// A plain service that is listening; it stops when dropped.
#[derive(Debug)]
pub struct Running {
    server: Server,
    core: Core,
}

/// Starts a plain service at an address; port 0 takes a free one.
///
/// # Errors
///
/// [`Error::Listen`] if the address can't be listened on.
pub async fn start(address: SocketAddr, faults: Faults) -> Result<Running, Error> {
    let core = Core::new(faults);
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

    /// Returns the current incarnation; each crash increases it.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.core.incarnation()
    }

    /// Returns all executions so far, in order of their start.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.core.executions()
    }

    /// Returns how often a key was executed on a call such as `POST /orders`.
    #[must_use]
    pub fn runs(&self, call: &str, key: &str) -> usize {
        self.core.runs(call, key)
    }

    /// Calls `callback` for each event from now on. Only the first observer is
    /// used; later calls have no effect.
    pub fn observe(&self, callback: impl Fn(Event) + Send + Sync + 'static) {
        self.core.observe(callback);
    }

    /// Aborts all connections and refuses new ones for `down_for`; then
    /// listens again under a new incarnation.
    pub fn crash(&self, down_for: Duration) {
        self.core.crash(down_for);
    }

    /// Stops it and waits until its port is free.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
