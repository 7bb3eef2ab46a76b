//! A bundle prepared for decisions, with defaults filled in and names as ids.
//!
//! The bundle crate validates the bundle in force and builds a [`Policy`] from it, so
//! decision logic may rely on every cross-reference.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::{ClassId, ModelId, ServiceId, Version, WorkspaceId};

/// One bundle version, prepared for decisions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// The bundle's version.
    pub version: Version,
    /// How long an idempotency key is valid after it was issued.
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
    /// Strict priority between classes; 0 is the highest. Forwarded to engines.
    pub priority: u8,
    /// Share against other classes of the same priority.
    pub weight: f64,
    /// The time limit of requests that state none.
    pub deadline: Duration,
    /// Whether requests of this class may be queued.
    pub queue: bool,
}

/// The kind of endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Model engines, placed by chat and load.
    Engine,
    /// Plain services, placed by load alone.
    Plain,
}

/// A service and how requests are distributed over its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name in the bundle.
    pub name: String,
    /// The kind of its endpoints.
    pub kind: Kind,
    /// The multiple of the mean load that no endpoint may exceed.
    pub load_bound: f64,
    /// The weight of cache reuse against skew, from 0 (skew) to 1 (reuse).
    pub reuse: f64,
    /// Maximum number of requests that one endpoint runs at once.
    pub slots: u32,
    /// Whether its endpoints refuse orders with an old fencing number.
    pub checks_fencing: bool,
}

/// A model and its expected workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Its name in the bundle.
    pub name: String,
    /// The service whose engines load it.
    pub service: ServiceId,
    /// The version of the weights.
    pub weights: String,
    /// Number of engines that should have it loaded.
    pub replicas: u32,
    /// Expected number of output tokens if the caller sets no limit.
    pub answer_tokens: u32,
}

/// A customer of the marketplace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its name in the bundle.
    pub name: String,
    /// Share against other workspaces under contention.
    pub weight: f64,
    /// Maximum requests per second over the whole fleet.
    pub rate: f64,
    /// Maximum concurrent requests over the whole fleet.
    pub concurrency: u32,
    /// Services it may call.
    pub services: BTreeSet<ServiceId>,
}

/// How a path reaches a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The path prefix that it matches.
    pub path: String,
    /// The methods that it matches; empty for all.
    pub methods: BTreeSet<String>,
    /// The service that its requests are sent to.
    pub service: ServiceId,
    /// The class of its requests, unless the caller names another.
    pub class: ClassId,
    /// Whether its requests may run at most once and need a key.
    pub unrepeatable: bool,
}

impl Policy {
    /// Returns the route for a method and path: the longest matching prefix.
    ///
    /// A prefix matches whole path segments, so `/orders` matches `/orders/7` but not
    /// `/ordersheet`.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.methods.is_empty() || route.methods.contains(method))
            .filter(|route| matches_prefix(&route.path, path))
            .max_by_key(|route| route.path.len())
    }
}

fn matches_prefix(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
