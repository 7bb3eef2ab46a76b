//! The configuration in force: routes, services, workspaces and limits.
//!
//! A version is replaced as a whole and never changed. Routes are found by
//! host and by the longest prefix of the path; a path has few slashes, so
//! hundreds of routes cost no more than one.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use godwitpost_types::id::{RegionId, ServiceId, Version};
use serde::{Deserialize, Serialize};

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// They may run more than once.
    Safe,
    /// Each runs once at most.
    Unsafe,
    /// The answer is an event stream. The request runs once at most, unless
    /// the stream may be resumed.
    Stream {
        /// Whether another endpoint may go on after a given event.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether running a request twice does no harm.
    #[must_use]
    pub const fn idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is an event stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Returns its name in logs and metrics.
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

/// A service that a route sends to, and its share of the route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that it belongs to, in lower case and without a port.
    pub host: String,
    /// The beginning of its paths; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// How long a request may be kept waiting in all.
    pub timeout: Duration,
    /// Within what time an answer is of full value.
    pub objective: Duration,
    /// How many endpoints one request may be sent to.
    pub attempts: u32,
    /// Its urgency; 0 goes first.
    pub rank: u8,
    /// Whether it is served without a workspace's key.
    pub open: bool,
    /// Whether requests carry the parts of their prompt, and do best where
    /// those were read before.
    pub affinity: bool,
    /// Where its requests go; never empty.
    pub targets: Vec<Target>,
    /// The regions whose endpoints may run its requests; empty if all may.
    pub homes: BTreeSet<RegionId>,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// Its urgency; goes before the route's.
    pub rank: Option<u8>,
    /// The regions whose endpoints may run its requests; empty if all may.
    pub homes: BTreeSet<RegionId>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that each of its endpoints accepts from all instances.
    pub connections: u32,
    /// What its endpoints bear while they are warming up, if that is less than
    /// later on.
    pub ramp: Option<Ramp>,
}

/// What an endpoint bears while it is warming up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ramp {
    /// How long it takes to warm up.
    pub time: Duration,
    /// The time between requests, of all instances together, that it bears.
    pub spacing: Duration,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a head.
    pub head_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// How long a head may take from its first byte on.
    pub head_time: Duration,
}

/// All that a version says.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// Its number; greater is newer.
    pub version: Version,
    /// Its routes.
    pub routes: Vec<Route>,
    /// Its services by id.
    pub services: BTreeMap<ServiceId, Service>,
    /// Its workspaces by key; `None` if nobody needs a key.
    pub keys: Option<BTreeMap<String, Arc<Workspace>>>,
    /// Bounds on what callers may send.
    pub limits: Option<Limits>,
}

/// One version of the configuration, ready to be asked.
#[derive(Clone, Debug)]
pub struct Policy {
    content: Content,
    routes: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            // What common servers allow.
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(10),
        }
    }
}

/// Who sends a request, by its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// A workspace.
    Known(Arc<Workspace>),
    /// Nobody in particular; the route asks for no key.
    Anonymous,
    /// Somebody who should have a key and has none that is known.
    Unknown,
}

/// Returns whether endpoints in `region` may run a request of this route and workspace:
/// where both name regions, both bind. An unknown region is nobody's.
#[must_use]
pub fn may_run(route: &Route, workspace: Option<&Workspace>, region: Option<RegionId>) -> bool {
    let allows = |homes: &BTreeSet<RegionId>| {
        homes.is_empty() || region.is_some_and(|region| homes.contains(&region))
    };
    allows(&route.homes) && workspace.is_none_or(|workspace| allows(&workspace.homes))
}

impl Policy {
    /// Arranges a version's content.
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

    /// Returns its number.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.content.version
    }

    /// Returns all that it says.
    #[must_use]
    pub const fn content(&self) -> &Content {
        &self.content
    }

    /// Returns how many routes it has.
    #[must_use]
    pub fn routes(&self) -> usize {
        self.routes.values().map(BTreeMap::len).sum()
    }

    /// Returns the bounds on what callers may send.
    #[must_use]
    pub fn limits(&self) -> Limits {
        self.content.limits.unwrap_or_default()
    }

    /// Returns a service by its id.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.content.services.get(&id)
    }

    /// Returns the route of a host and path: among the host's, the one with
    /// the longest prefix that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = bare(host).to_ascii_lowercase();
        let routes = self.routes.get(&host)?;
        path.rmatch_indices('/')
            .find_map(|(at, _)| routes.get(&path[..=at]))
    }

    /// Returns who sends a request with this key on this route.
    #[must_use]
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller {
        let Some(keys) = &self.content.keys else {
            return Caller::Anonymous;
        };
        let known = key.and_then(|key| keys.get(key));
        match known {
            Some(workspace) => Caller::Known(Arc::clone(workspace)),
            None if route.open => Caller::Anonymous,
            None => Caller::Unknown,
        }
    }
}

// A host without its port. An IPv6 address keeps its brackets.
fn bare(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

#[cfg(test)]
mod tests;
