//! Checks a configuration before it is rolled out.
//!
//! The checks are pure functions of a [`Document`] and of the document in force, if it is
//! known. They return [`Finding`]s in an order that doesn't depend on the order of the
//! document's entries. Keys are secrets: findings state how many there are, never which.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use godwitpost_types::id::Version;
use http::uri::{Authority, PathAndQuery};

use super::{Content, Ramp, Route, Target, Workspace, normalized_host};

mod diff;
mod finding;
mod report;

pub use diff::changes;
pub use finding::{Finding, Limit, Place, Problem, Severity};
pub use report::text;

/// The greatest number of endpoints that a request may be sent to if it must run at most
/// once.
const MAX_ATTEMPTS_AT_MOST_ONCE: u32 = 1;

/// A configuration as it was written.
///
/// [`Content`] has one service for each name and one workspace for each key. The document
/// also has the entries that are lost there because others replace them, and the
/// workspaces without a key.
#[derive(Clone, Default)]
pub struct Document {
    /// What an instance uses.
    pub content: Content,
    /// All workspaces in their order.
    pub workspaces: Vec<ListedWorkspace>,
    /// The names of all services, each as often as it is listed.
    pub service_names: Vec<String>,
    /// The names of services and regions by id.
    pub names: BTreeMap<u64, String>,
}

/// A workspace with its keys.
#[derive(Clone)]
pub struct ListedWorkspace {
    /// The workspace.
    pub workspace: Workspace,
    /// Its keys, which are secret.
    pub keys: BTreeSet<String>,
}

// Written by hand, since the derived output would contain keys.
impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Document")
            .field("version", &self.content.version)
            .field("routes", &self.content.routes)
            .field("services", &self.content.services)
            .field("workspaces", &self.workspaces)
            .finish_non_exhaustive()
    }
}

impl fmt::Debug for ListedWorkspace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ListedWorkspace")
            .field("workspace", &self.workspace)
            .field("keys", &self.keys.len())
            .finish()
    }
}

impl Document {
    /// Returns the name of a service or region, or its id in hexadecimal if the document
    /// doesn't name it.
    #[must_use]
    pub fn name(&self, id: u64) -> String {
        let name = self.names.get(&id).cloned();
        name.unwrap_or_else(|| format!("#{id:016x}"))
    }
}

/// Returns everything that is found in a document, and its differences from the document
/// in force if that is given. The findings are sorted by severity, place and problem.
#[must_use]
pub fn check(document: &Document, in_force: Option<&Document>) -> Vec<Finding> {
    let mut findings = check_routes(document);
    findings.extend(check_hidden_routes(&document.content.routes));
    findings.extend(check_services(document));
    findings.extend(check_workspaces(document));
    findings.extend(check_shared_keys(&document.workspaces));
    findings.extend(check_limits(document));
    if let Some(in_force) = in_force {
        let versions = (document.content.version, in_force.content.version);
        findings.extend(check_version(versions.0, versions.1));
        findings.extend(changes(in_force, document));
    }
    findings.sort();
    findings
}

fn check_version(version: Version, in_force: Version) -> Option<Finding> {
    let problem = Problem::VersionNotAbove { version, in_force };
    (version <= in_force).then(|| Finding::new(Place::Configuration, problem))
}

fn check_routes(document: &Document) -> Vec<Finding> {
    let routes = &document.content.routes;
    if routes.is_empty() {
        return vec![Finding::new(Place::Configuration, Problem::NoRoutes)];
    }
    let check_route = |route| {
        let mut problems = target_problems(route, document);
        problems.extend(lookup_problems(route));
        problems.extend(region_problem(route, &document.workspaces));
        problems.extend(time_problems(route));
        problems.extend(attempts_problem(route));
        at(&Place::Route(route.name.clone()), problems)
    };
    routes.iter().flat_map(check_route).collect()
}

fn at(place: &Place, problems: Vec<Problem>) -> Vec<Finding> {
    let problems = problems.into_iter();
    problems
        .map(|problem| Finding::new(place.clone(), problem))
        .collect()
}

fn target_problems(route: &Route, document: &Document) -> Vec<Problem> {
    let services = &document.content.services;
    let is_unknown = |target: &&Target| !services.contains_key(&target.service);
    let unknown: BTreeSet<String> = route
        .targets
        .iter()
        .filter(is_unknown)
        .map(|target| document.name(target.service))
        .collect();
    let mut problems: Vec<Problem> = unknown
        .into_iter()
        .map(|service| Problem::UnknownService { service })
        .collect();
    if route.targets.iter().all(|target| target.weight == 0) {
        problems.push(Problem::ZeroWeight);
    }
    problems
}

fn lookup_problems(route: &Route) -> Vec<Problem> {
    let mut problems = Vec::new();
    if !can_match_host(&route.host) {
        problems.push(Problem::UnmatchableHost {
            host: route.host.clone(),
        });
    }
    if !can_match_prefix(&route.prefix) {
        problems.push(Problem::UnmatchablePrefix {
            prefix: route.prefix.clone(),
        });
    }
    problems
}

// Returns whether a valid request may have this host after normalization. An asterisk is
// valid in a host, but no caller sends one; it is taken for a wildcard, which routes don't
// have.
fn can_match_host(host: &str) -> bool {
    let parsed = host.parse::<Authority>();
    normalized_host(host) == host
        && !host.contains('*')
        && parsed.is_ok_and(|authority| authority.host() == host)
}

// Returns whether the path of a request may begin with this prefix. Lookups compare it
// with the parts of the path up to and including each slash.
fn can_match_prefix(prefix: &str) -> bool {
    let parsed = prefix.parse::<PathAndQuery>();
    prefix.starts_with('/')
        && prefix.ends_with('/')
        && parsed.is_ok_and(|target| target.path() == prefix)
}

fn region_problem(route: &Route, workspaces: &[ListedWorkspace]) -> Option<Problem> {
    let has_none = |workspace: &&Workspace| {
        !route.homes.is_empty()
            && !workspace.homes.is_empty()
            && route.homes.is_disjoint(&workspace.homes)
    };
    let names: BTreeSet<String> = workspaces
        .iter()
        .map(|listed| &listed.workspace)
        .filter(has_none)
        .map(|workspace| workspace.name.clone())
        .collect();
    (!names.is_empty()).then_some(Problem::NoCommonRegion { workspaces: names })
}

// Any other time contradicts a time-out of zero, so that one alone is reported.
fn time_problems(route: &Route) -> Vec<Problem> {
    let timeout = route.timeout;
    if timeout.is_zero() {
        return vec![Problem::ZeroTimeout];
    }
    let objective = route.objective;
    let is_longer = |time: &Duration| *time > timeout;
    let late = Some(objective).filter(is_longer);
    let late = late.map(|objective| Problem::ObjectiveAboveTimeout { objective, timeout });
    let pause = route.max_pause.filter(is_longer);
    let pause = pause.map(|pause| Problem::PauseAboveTimeout { pause, timeout });
    late.into_iter().chain(pause).collect()
}

fn attempts_problem(route: &Route) -> Option<Problem> {
    let attempts = route.attempts;
    let too_many = !route.kind.idempotent() && attempts > MAX_ATTEMPTS_AT_MOST_ONCE;
    too_many.then_some(Problem::TooManyAttempts { attempts })
}

// Of several routes with one host and prefix, the last one is used.
fn check_hidden_routes(routes: &[Route]) -> Vec<Finding> {
    let mut used = BTreeMap::<(&str, &str), &Route>::new();
    let mut hidden = Vec::new();
    for route in routes.iter().rev() {
        let by = *used
            .entry((&route.host, &route.prefix))
            .or_insert_with(|| route);
        if !std::ptr::eq(by, route) {
            let problem = Problem::HiddenRoute {
                by: by.name.clone(),
            };
            hidden.push(Finding::new(Place::Route(route.name.clone()), problem));
        }
    }
    hidden
}

fn check_services(document: &Document) -> Vec<Finding> {
    let routes = &document.content.routes;
    let used: BTreeSet<_> = routes
        .iter()
        .flat_map(|route| &route.targets)
        .map(|target| target.service)
        .collect();
    let services = document.content.services.iter();
    let problems = services.flat_map(|(id, service)| {
        let mut problems = Vec::new();
        if !used.contains(id) {
            problems.push(Problem::NoRoute);
        }
        problems.extend(service.ramp.and_then(ramp_problem));
        at(&Place::Service(service.name.clone()), problems)
    });
    problems
        .chain(check_repeated_services(&document.service_names))
        .collect()
}

fn ramp_problem(ramp: Ramp) -> Option<Problem> {
    let Ramp { time, spacing } = ramp;
    (spacing > time).then_some(Problem::NoWarmUpRequest { time, spacing })
}

fn check_repeated_services(names: &[String]) -> Vec<Finding> {
    let mut counts = BTreeMap::<&String, usize>::new();
    for name in names {
        *counts.entry(name).or_default() += 1;
    }
    let repeated = counts.into_iter().filter(|(_, entries)| *entries > 1);
    repeated
        .map(|(name, entries)| {
            let problem = Problem::RepeatedService { entries };
            Finding::new(Place::Service(name.clone()), problem)
        })
        .collect()
}

fn check_workspaces(document: &Document) -> Vec<Finding> {
    let without_key = document.workspaces.iter().filter(|w| w.keys.is_empty());
    without_key
        .map(|listed| {
            let place = Place::Workspace(listed.workspace.name.clone());
            Finding::new(place, Problem::NoKey)
        })
        .collect()
}

// Reports each group of workspaces that have keys in common once, at the first by name.
fn check_shared_keys(workspaces: &[ListedWorkspace]) -> Vec<Finding> {
    let mut holders = BTreeMap::<&str, Vec<&str>>::new();
    for listed in workspaces {
        for key in &listed.keys {
            let names = holders.entry(key).or_default();
            names.push(&listed.workspace.name);
        }
    }
    let mut groups = BTreeMap::<Vec<&str>, usize>::new();
    for mut names in holders.into_values().filter(|names| names.len() > 1) {
        names.sort_unstable();
        *groups.entry(names).or_default() += 1;
    }
    let groups = groups.into_iter();
    groups
        .map(|(names, keys)| {
            let place = Place::Workspace(names[0].to_owned());
            let others = names[1..].iter().map(ToString::to_string).collect();
            Finding::new(place, Problem::SharedKeys { keys, others })
        })
        .collect()
}

fn check_limits(document: &Document) -> Vec<Finding> {
    let limits = document.content.limits.unwrap_or_default();
    let sizes = [
        (Limit::Body, limits.body_bytes),
        (Limit::Head, limits.head_bytes),
    ];
    let zero = sizes.into_iter().filter(|(_, bytes)| *bytes == 0);
    zero.map(|(limit, _)| Finding::new(Place::Limits, Problem::ZeroLimit { limit }))
        .collect()
}

#[cfg(test)]
mod tests;
