//! A bundle resolved for decisions: every default filled in, names as ids.
//!
//! The bundle crate builds a [`Policy`] from the bundle in force and checks
//! it whole before; decision logic may rely on each cross-reference.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::{ClassId, ModelId, ServiceId, Version, WorkspaceId};

/// One bundle version, ready to decide on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// The bundle's version.
    pub version: Version,
    /// How long an idempotency key is honoured after it was issued.
    pub claim_window: Duration,
    /// Classes of requests.
    pub classes: BTreeMap<ClassId, Class>,
    /// Services that endpoints serve.
    pub services: BTreeMap<ServiceId, Service>,
    /// Models that engines load.
    pub models: BTreeMap<ModelId, Model>,
    /// Workspaces that may send requests.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Routes, the most specific path first.
    pub routes: Vec<Route>,
}

/// A class of requests, such as orders or drafts.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name in the bundle.
    pub name: String,
    /// Strict priority between classes; 0 goes first. Passed on to engines.
    pub priority: u8,
    /// Share against other classes of the same priority.
    pub weight: f64,
    /// The time a caller waits when it states none.
    pub deadline: Duration,
    /// Whether requests of this class may wait in a queue at all.
    pub queue: bool,
}

/// What kind of endpoints serve a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Model engines, placed by chat and load.
    Engine,
    /// Plain services, placed by load alone.
    Plain,
}

/// A service and how work is spread over its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name in the bundle.
    pub name: String,
    /// The kind of its endpoints.
    pub kind: Kind,
    /// The set multiple of the mean load that no endpoint may exceed.
    pub load_bound: f64,
    /// The weight of cache reuse against skew, from 0 (skew) to 1 (reuse).
    pub reuse: f64,
    /// Requests that one endpoint runs at once.
    pub slots: u32,
    /// Whether its endpoints refuse orders with an old fencing number.
    pub checks_fencing: bool,
}

/// A model and its steady shape of work.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Its name in the bundle.
    pub name: String,
    /// The service whose engines load it.
    pub service: ServiceId,
    /// The version of the weights.
    pub weights: String,
    /// Engines that should have it loaded.
    pub replicas: u32,
    /// Answer tokens expected when the caller sets no limit.
    pub answer_tokens: u32,
}

/// A customer of the marketplace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its name in the bundle.
    pub name: String,
    /// Share against other workspaces under contention.
    pub weight: f64,
    /// Requests a second over the whole fleet.
    pub rate: f64,
    /// Requests at once over the whole fleet.
    pub concurrency: u32,
    /// Services it may call.
    pub services: BTreeSet<ServiceId>,
}

/// How a path reaches a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The prefix of paths that it takes.
    pub path: String,
    /// Methods that it takes; empty for all.
    pub methods: BTreeSet<String>,
    /// The service it leads to.
    pub service: ServiceId,
    /// The class of its requests, unless the caller names another.
    pub class: ClassId,
    /// Whether its requests may run at most once and need a key.
    pub unrepeatable: bool,
}

impl Policy {
    /// Returns the route for a method and path: the longest matching prefix.
    ///
    /// A prefix matches whole path segments, so `/orders` takes `/orders/7`
    /// and not `/ordersheet`.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.methods.is_empty() || route.methods.contains(method))
            .filter(|route| covers(&route.path, path))
            .max_by_key(|route| route.path.len())
    }
}

fn covers(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
