//! The stand-in of the rate-limited weight store.
//!
//! It has every version of every model except those in [`Faults::missing`]; the
//! weights are a short text that names the version.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::answer::{self, Answer};
use crate::faults::{Handle, lock, millis};
use crate::serve::{Error, Server, Switch};

/// Faults of the weight store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Added to the time of each call.
    #[serde(rename = "slow_ms", with = "millis")]
    pub slow: Duration,
    /// Answer 503 to everything.
    pub down: bool,
    /// Pulls per second; more get 429.
    pub rate: f64,
    /// Versions that it doesn't have, each as `model/weights`.
    pub missing: BTreeSet<String>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: Duration::ZERO,
            down: false,
            rate: 10.0,
            missing: BTreeSet::new(),
        }
    }
}

/// A weight store that is listening; it stops when dropped.
#[derive(Debug)]
pub struct Running {
    server: Server,
    core: Core,
}

#[derive(Clone, Debug)]
struct Core {
    faults: Handle<Faults>,
    // When the next pull is within the rate, and the pulls answered so far.
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    free_from: Option<Instant>,
    pulls: Vec<String>,
}

/// Starts a weight store at an address; port 0 takes a free one.
///
/// # Errors
///
/// [`Error::Listen`] if the address can't be listened on.
pub async fn start(address: SocketAddr, faults: Faults) -> Result<Running, Error> {
    let core = Core {
        faults: Handle::new(faults),
        state: Arc::default(),
    };
    let handler = core.clone();
    let server = Server::start(address, Switch::new(), move |request| {
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

    /// Returns the versions pulled so far, each as `model/weights`.
    #[must_use]
    pub fn pulls(&self) -> Vec<String> {
        lock(&self.core.state).pulls.clone()
    }

    /// Stops it and waits until its port is free.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl Core {
    async fn handle(self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        if path == "/faults" {
            return answer::faults(&self.faults, request).await;
        }
        let faults = self.faults.get();
        sleep(faults.slow).await;
        if faults.down {
            return Ok(answer::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "the weight store is down; try again later",
            ));
        }
        let Some(version) = path.strip_prefix("/v1/weights/") else {
            return Ok(answer::not_found());
        };
        if faults.missing.contains(version) {
            return Ok(answer::not_found());
        }
        if !self.allow(faults.rate) {
            let mut busy = answer::error(StatusCode::TOO_MANY_REQUESTS, "over the rate of pulls");
            let pause = HeaderValue::from_static("1");
            busy.headers_mut().insert(RETRY_AFTER, pause);
            return Ok(busy);
        }
        lock(&self.state).pulls.push(version.to_owned());
        let body = Bytes::from(format!("weights of {version}"));
        Ok(answer::bytes(
            StatusCode::OK,
            "application/octet-stream",
            body,
        ))
    }

    // Allows a burst of a second's worth of pulls.
    fn allow(&self, rate: f64) -> bool {
        if rate <= 0.0 {
            return false;
        }
        let now = Instant::now();
        let mut state = lock(&self.state);
        let free_from = state.free_from.map_or(now, |free| free.max(now));
        if free_from > now + Duration::from_secs(1) {
            return false;
        }
        state.free_from = Some(free_from + Duration::from_secs_f64(1.0 / rate));
        true
    }
}
