//! The configuration in force: routes, services, workspaces and limits.
//!
//! A version is replaced as a whole and never modified. Routes are looked up by
//! host and by the longest prefix of the path. A path has few slashes, so a
//! lookup among hundreds of routes costs no more than among a few.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use godwitpost_types::id::{RegionId, ServiceId, Version};
use serde::{Deserialize, Serialize};

pub mod check;

/// How a route's requests may be repeated, and the form of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// Requests may run more than once.
    Safe,
    /// Each request runs at most once.
    Unsafe,
    /// The response is an event stream. A request runs at most once, unless the
    /// stream may be resumed.
    Stream {
        /// Whether another endpoint may continue after a given event.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether a request may safely run more than once.
    #[must_use]
    pub const fn idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Returns whether the response is an event stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Returns the kind's name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Stream { resumable: true } => "resumable-stream",
            Self::Stream { resumable: false } => "stream",
        }
    }
}

/// A service that a route sends to, with its share of the route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// The weight among the route's targets.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name used in logs.
    pub name: String,
    /// The host that the route applies to, in lower case and without a port.
    pub host: String,
    /// The prefix of the route's paths; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub kind: Kind,
    /// The longest total time that a request may be kept waiting.
    pub timeout: Duration,
    /// The time within which a response is of full value.
    pub objective: Duration,
    /// The longest pause between the events of a stream that is of full value; `None` if
    /// pauses don't matter.
    pub max_pause: Option<Duration>,
    /// The maximum number of endpoints that one request may be sent to.
    pub attempts: u32,
    /// The urgency; 0 is the most urgent.
    pub rank: u8,
    /// Whether requests without a workspace's key are served.
    pub open: bool,
    /// Whether requests carry the parts of their prompt, and run best at
    /// endpoints that have processed these parts before.
    pub affinity: bool,
    /// The services that requests are sent to; never empty.
    pub targets: Vec<Target>,
    /// The regions whose endpoints may run the requests; empty if all may.
    pub homes: BTreeSet<RegionId>,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// The workspace's name.
    pub name: String,
    /// The urgency, which takes precedence over the route's.
    pub rank: Option<u8>,
    /// The regions whose endpoints may run the workspace's requests; empty if
    /// all may.
    pub homes: BTreeSet<RegionId>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// The number of connections that each endpoint accepts from all instances.
    pub connections: u32,
    /// The load that endpoints can take while warming up, if lower than later
    /// on.
    pub ramp: Option<Ramp>,
    /// What each endpoint can hold, if they are model engines.
    pub engine: Option<Engine>,
}

/// What an endpoint that runs a model can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// The number of tokens that its memory holds, of running requests and cached prompts
    /// together.
    pub memory_tokens: u64,
    /// The number of tokens in an event of a stream.
    pub event_tokens: u32,
}

/// The load that an endpoint can take while it is warming up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ramp {
    /// The duration of the warm-up.
    pub time: Duration,
    /// The shortest time between requests, from all instances together.
    pub spacing: Duration,
}

/// Limits on requests from callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest head in bytes.
    pub head_bytes: usize,
    /// The largest body in bytes.
    pub body_bytes: usize,
    /// The longest time that a head may take from its first byte on.
    pub head_time: Duration,
}

/// The content of a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// The version number; higher is newer.
    pub version: Version,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by id.
    pub services: BTreeMap<ServiceId, Service>,
    /// The workspaces by key; `None` if no key is required.
    pub keys: Option<BTreeMap<String, Arc<Workspace>>>,
    /// Limits on requests from callers.
    pub limits: Option<Limits>,
}

/// A version of the configuration, indexed for lookups.
#[derive(Clone, Debug)]
pub struct Policy {
    content: Content,
    routes: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            // Values that common servers allow.
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(10),
        }
    }
}

/// The sender of a request, identified by its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// A workspace.
    Known(Arc<Workspace>),
    /// An unidentified sender; the route requires no key.
    Anonymous,
    /// A sender without a known key on a route that requires one.
    Unknown,
}

/// Returns whether endpoints in `region` may run a request of this route and
/// workspace. Where both name regions, both restrictions apply. An unknown
/// region is in no such list.
#[must_use]
pub fn may_run(route: &Route, workspace: Option<&Workspace>, region: Option<RegionId>) -> bool {
    let allows = |homes: &BTreeSet<RegionId>| {
        homes.is_empty() || region.is_some_and(|region| homes.contains(&region))
    };
    allows(&route.homes) && workspace.is_none_or(|workspace| allows(&workspace.homes))
}

impl Policy {
    /// Indexes the content of a version.
    #[must_use]
    pub fn new(content: Content) -> Self {
        let mut routes = BTreeMap::<String, BTreeMap<String, Arc<Route>>>::new();
        for route in &content.routes {
            routes
                .entry(route.host.clone())
                .or_default()
                .insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        Self { content, routes }
    }

    /// Returns the version number.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.content.version
    }

    /// Returns the whole content.
    #[must_use]
    pub const fn content(&self) -> &Content {
        &self.content
    }

    /// Returns the longest time that one request may take whose stream can be taken up.
    #[must_use]
    pub fn longest_resumable(&self) -> Duration {
        let resumable = |route: &&Route| route.kind.is_stream() && route.kind.idempotent();
        let routes = self.content.routes.iter().filter(resumable);
        routes.map(|route| route.timeout).max().unwrap_or_default()
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn routes(&self) -> usize {
        self.routes.values().map(BTreeMap::len).sum()
    }

    /// Returns the limits on requests from callers.
    #[must_use]
    pub fn limits(&self) -> Limits {
        self.content.limits.unwrap_or_default()
    }

    /// Returns a service by its id.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.content.services.get(&id)
    }

    /// Returns the route for a host and path: among the host's routes, the one
    /// with the longest prefix of the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(&normalized_host(host))?;
        path.rmatch_indices('/')
            .find_map(|(slash, _)| routes.get(&path[..=slash]))
    }

    /// Returns the sender of a request with this key on this route.
    #[must_use]
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller {
        let Some(keys) = &self.content.keys else {
            return Caller::Anonymous;
        };
        let workspace = key.and_then(|key| keys.get(key));
        match workspace {
            Some(workspace) => Caller::Known(Arc::clone(workspace)),
            None if route.open => Caller::Anonymous,
            None => Caller::Unknown,
        }
    }
}

/// Returns a request's host in the form that routes are looked up by.
pub(crate) fn normalized_host(host: &str) -> String {
    strip_port(host).to_ascii_lowercase()
}

// Returns a host without its port. An IPv6 address keeps its brackets.
fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

#[cfg(test)]
mod tests;
