//! The stand-in of the platform's list of instances.
//!
//! `PUT /v1/instances/{name}` with an entry's JSON and `DELETE` on the same
//! path exist only here: they replace the platform's registration when a fleet
//! is run by hand.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub use godwitpost_client::list::{Entry, Role};
use godwitpost_types::endpoint::Standing;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::answer::{self, Answer};
use crate::faults::{Handle, lock, millis};
use crate::serve::{Body, Error, Server, Switch};

/// Faults of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay until a change is visible.
    #[serde(rename = "lag_ms", with = "millis")]
    pub lag: Duration,
    /// Added to the time of each call.
    #[serde(rename = "slow_ms", with = "millis")]
    pub slow: Duration,
    /// Answer 503 to everything.
    pub down: bool,
}

/// The longest that a long poll waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// How often a long poll checks for a change.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Bound of the first revision of an incarnation. Readers that parse JSON numbers as
/// floating-point ones still tell these revisions, and those of later changes, apart.
const FIRST_REVISION_BOUND: u64 = 1 << 52;

/// A list that is listening; it stops when dropped.
#[derive(Debug)]
pub struct Running {
    server: Server,
    core: Core,
}

#[derive(Clone, Debug)]
struct Core {
    faults: Handle<Faults>,
    entries: Arc<Mutex<Entries>>,
}

#[derive(Debug)]
struct Entries {
    latest: BTreeMap<String, Entry>,
    // Visible changes: the last change of each name and its revision.
    visible: BTreeMap<String, (u64, Option<Entry>)>,
    // Changes hidden by the lag, oldest first: time, name and entry.
    pending: Vec<(Instant, String, Option<Entry>)>,
    // The revision before the first change of this incarnation.
    start: u64,
    revision: u64,
}

impl Default for Entries {
    fn default() -> Self {
        // A restarted list must not mistake a reader's revision of an earlier incarnation
        // for one of its own, so it starts at a random one. A clock can't replace this:
        // the list may change several times, or restart, within one tick.
        let start = rand::rng().random_range(..FIRST_REVISION_BOUND);
        Self {
            latest: BTreeMap::new(),
            visible: BTreeMap::new(),
            pending: Vec::new(),
            start,
            revision: start,
        }
    }
}

/// Starts a list at an address; port 0 takes a free one.
///
/// # Errors
///
/// [`Error::Listen`] if the address can't be listened on.
pub async fn start(address: SocketAddr, faults: Faults) -> Result<Running, Error> {
    let core = Core {
        faults: Handle::new(faults),
        entries: Arc::default(),
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

    /// Adds an entry or replaces the one of its name.
    pub fn set(&self, entry: Entry) {
        lock(&self.core.entries).change(entry.name.clone(), Some(entry));
    }

    /// Removes an entry.
    pub fn remove(&self, name: &str) {
        lock(&self.core.entries).change(name.to_owned(), None);
    }

    /// Marks an entry as leaving; ignores an unknown name.
    pub fn mark_leaving(&self, name: &str) {
        let mut entries = lock(&self.core.entries);
        if let Some(mut entry) = entries.latest.get(name).cloned() {
            entry.standing = Standing::Leaving;
            entries.change(name.to_owned(), Some(entry));
        }
    }

    /// Returns the current entries, without the lag.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        lock(&self.core.entries).latest.values().cloned().collect()
    }

    /// Stops it and waits until its port is free.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl Entries {
    fn change(&mut self, name: String, entry: Option<Entry>) {
        match entry.clone() {
            Some(entry) => self.latest.insert(name.clone(), entry),
            None => self.latest.remove(&name),
        };
        self.pending.push((Instant::now(), name, entry));
    }

    fn apply_due(&mut self, lag: Duration) {
        let now = Instant::now();
        let due = self
            .pending
            .partition_point(|(changed, ..)| now.saturating_duration_since(*changed) >= lag);
        for (_, name, entry) in self.pending.drain(..due) {
            self.revision += 1;
            self.visible.insert(name, (self.revision, entry));
        }
    }

    fn full_list(&self) -> serde_json::Value {
        let entries = self
            .visible
            .values()
            .filter_map(|(_, entry)| entry.as_ref());
        json!({ "revision": self.revision, "instances": entries.collect::<Vec<_>>() })
    }

    /// Returns the changes after a revision, or all entries if the revision is
    /// not from this incarnation.
    fn changes_after(&self, revision: u64) -> serde_json::Value {
        if revision < self.start || revision > self.revision {
            return self.full_list();
        }
        let later = self.visible.iter().filter(|(_, (at, _))| *at > revision);
        let (mut changed, mut removed) = (Vec::new(), Vec::new());
        for (name, (_, entry)) in later {
            match entry {
                Some(entry) => changed.push(entry),
                None => removed.push(name),
            }
        }
        json!({ "revision": self.revision, "changed": changed, "removed": removed })
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
                "the list is down; try again later",
            ));
        }
        if path == "/v1/instances" && request.method() == Method::GET {
            return Ok(self.read(&request, faults.lag).await);
        }
        match path.strip_prefix("/v1/instances/") {
            Some(name) => self.register(name, request).await,
            None => Ok(answer::not_found()),
        }
    }

    async fn read(&self, request: &Request<Incoming>, lag: Duration) -> http::Response<Body> {
        let query = request.uri().query();
        let Some(after) = answer::number(query, "after") else {
            let mut entries = lock(&self.entries);
            entries.apply_due(lag);
            return answer::json(StatusCode::OK, &entries.full_list());
        };
        let wait = Duration::from_millis(answer::number(query, "wait_ms").unwrap_or(0));
        let until = Instant::now() + wait.min(MAX_WAIT);
        while !self.has_other_revision(after, lag) && Instant::now() < until {
            sleep(POLL_INTERVAL).await;
        }
        answer::json(StatusCode::OK, &lock(&self.entries).changes_after(after))
    }

    fn has_other_revision(&self, revision: u64, lag: Duration) -> bool {
        let mut entries = lock(&self.entries);
        entries.apply_due(lag);
        entries.revision != revision
    }

    async fn register(&self, name: &str, request: Request<Incoming>) -> Answer {
        match *request.method() {
            Method::PUT => {
                let body = answer::read(request.into_body()).await?;
                Ok(self.put(name, &body))
            }
            Method::DELETE => {
                lock(&self.entries).change(name.to_owned(), None);
                Ok(answer::empty(StatusCode::NO_CONTENT))
            }
            _ => Ok(answer::not_found()),
        }
    }

    fn put(&self, name: &str, body: &[u8]) -> http::Response<Body> {
        match serde_json::from_slice::<Entry>(body) {
            Ok(entry) if entry.name == name => {
                lock(&self.entries).change(name.to_owned(), Some(entry));
                answer::empty(StatusCode::NO_CONTENT)
            }
            Ok(_) => answer::error(
                StatusCode::BAD_REQUEST,
                "the entry's name differs from the path's; make them equal",
            ),
            Err(reason) => answer::error(StatusCode::BAD_REQUEST, &reason.to_string()),
        }
    }
}
