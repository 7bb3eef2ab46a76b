//! What a check finds, in words and for scripts.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use godwitpost_types::id::Version;
use serde::{Serialize, Serializer};

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Requests are refused or confused, or instances don't apply the configuration.
    Error,
    /// An entry has no effect, or limits contradict each other.
    Warning,
    /// A difference from the configuration in force.
    Change,
}

impl Severity {
    /// Returns the severity's name in reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warning => "warning",
            Self::Change => "change",
        }
    }
}

/// The entry of a configuration that a finding is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(tag = "place", content = "name", rename_all = "lowercase")]
pub enum Place {
    /// The configuration as a whole.
    Configuration,
    /// The limits on requests from callers.
    Limits,
    /// The route of this name.
    Route(String),
    /// The service of this name.
    Service(String),
    /// The workspace of this name.
    Workspace(String),
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Configuration => f.write_str("configuration"),
            Self::Limits => f.write_str("limits"),
            Self::Route(name) => write!(f, "route {name}"),
            Self::Service(name) => write!(f, "service {name}"),
            Self::Workspace(name) => write!(f, "workspace {name}"),
        }
    }
}

/// A limit on the size of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Limit {
    /// The largest body.
    Body,
    /// The largest head.
    Head,
}

/// What was found. Its name in reports for scripts is the variant's in kebab case.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(tag = "code", rename_all = "kebab-case")]
pub enum Problem {
    /// The configuration has no routes.
    NoRoutes,
    /// The version is not above the one in force.
    VersionNotAbove {
        /// The version.
        version: Version,
        /// The version in force.
        in_force: Version,
    },
    /// A route sends to a service that isn't listed.
    UnknownService {
        /// The service's name.
        service: String,
    },
    /// The weights of all targets of a route are zero.
    ZeroWeight,
    /// Workspaces have keys in common.
    SharedKeys {
        /// The number of these keys.
        keys: usize,
        /// The names of the other workspaces.
        others: Vec<String>,
    },
    /// A later route has the same host and prefix.
    HiddenRoute {
        /// The name of the later route.
        by: String,
    },
    /// No request has the host of a route.
    UnmatchableHost {
        /// The host.
        host: String,
    },
    /// No request has a path with the prefix of a route.
    UnmatchablePrefix {
        /// The prefix.
        prefix: String,
    },
    /// A route and workspaces restrict their requests to different regions.
    NoCommonRegion {
        /// The names of the workspaces.
        workspaces: BTreeSet<String>,
    },
    /// Several services have one name.
    RepeatedService {
        /// The number of entries.
        entries: usize,
    },
    /// No route sends to a service.
    NoRoute,
    /// A workspace has no key.
    NoKey,
    /// A route's time-out is zero.
    ZeroTimeout,
    /// A response may be of no full value any more before its time is up.
    ObjectiveAboveTimeout {
        /// The objective.
        #[serde(rename = "objective_ms", serialize_with = "as_millis")]
        objective: Duration,
        /// The time-out.
        #[serde(rename = "timeout_ms", serialize_with = "as_millis")]
        timeout: Duration,
    },
    /// A pause of a stream may be longer than the whole request.
    PauseAboveTimeout {
        /// The longest pause.
        #[serde(rename = "pause_ms", serialize_with = "as_millis")]
        pause: Duration,
        /// The time-out.
        #[serde(rename = "timeout_ms", serialize_with = "as_millis")]
        timeout: Duration,
    },
    /// Requests that must run at most once may be sent to several endpoints.
    TooManyAttempts {
        /// The number of endpoints.
        attempts: u32,
    },
    /// The time between two requests is longer than the warm-up.
    NoWarmUpRequest {
        /// The duration of the warm-up.
        #[serde(rename = "time_ms", serialize_with = "as_millis")]
        time: Duration,
        /// The time between requests.
        #[serde(rename = "spacing_ms", serialize_with = "as_millis")]
        spacing: Duration,
    },
    /// A limit on the size of requests is zero.
    ZeroLimit {
        /// The limit.
        limit: Limit,
    },
    /// The entry is not in force yet.
    Added,
    /// The entry is in force and no longer in the configuration.
    Removed,
    /// A field of the entry differs from the one in force.
    Changed {
        /// The field.
        field: &'static str,
        /// Its value in force.
        before: String,
        /// Its value in the configuration.
        after: String,
    },
    /// Keys of the workspace differ from those in force.
    KeysChanged {
        /// The number of keys that are not in force yet.
        added: usize,
        /// The number of keys that are no longer in the configuration.
        removed: usize,
    },
}

impl Problem {
    /// Returns how serious the problem is.
    #[must_use]
    pub const fn severity(&self) -> Severity {
        match self {
            Self::NoRoutes
            | Self::VersionNotAbove { .. }
            | Self::UnknownService { .. }
            | Self::ZeroWeight
            | Self::SharedKeys { .. } => Severity::Error,
            Self::Added | Self::Removed | Self::Changed { .. } | Self::KeysChanged { .. } => {
                Severity::Change
            }
            _ => Severity::Warning,
        }
    }

    /// Returns what can be done about the problem; `None` for a difference from the
    /// configuration in force.
    #[must_use]
    pub const fn remedy(&self) -> Option<&'static str> {
        Some(match self {
            Self::NoRoutes => "add a route",
            Self::VersionNotAbove { .. } => "raise the version above the one in force",
            Self::UnknownService { .. } => "list the service or remove the target",
            Self::ZeroWeight => "give a target a weight of 1 or more",
            Self::SharedKeys { .. } => "give each workspace keys of its own",
            Self::HiddenRoute { .. } => "remove one of them or change its host or prefix",
            Self::UnmatchableHost { .. } => {
                "write a host in lower case, without a port or wildcard"
            }
            Self::UnmatchablePrefix { .. } => {
                "write a path without a query that begins and ends with a slash"
            }
            Self::NoCommonRegion { .. } => "allow a common region or none in particular",
            Self::RepeatedService { .. } => "keep one entry",
            Self::NoRoute => "add a route to it or remove it",
            Self::NoKey => "add a key or remove the workspace",
            Self::ZeroTimeout => "set a time-out above 0",
            Self::ObjectiveAboveTimeout { .. } | Self::PauseAboveTimeout { .. } => {
                "lower it or raise the time-out"
            }
            Self::TooManyAttempts { .. } => {
                "set it to 1, unless such a request may go elsewhere after a refusal"
            }
            Self::NoWarmUpRequest { .. } => "raise the rate or shorten the warm-up",
            Self::ZeroLimit { .. } => "set a limit above 0 bytes",
            Self::Added | Self::Removed | Self::Changed { .. } | Self::KeysChanged { .. } => {
                return None;
            }
        })
    }

    fn write_unmatched(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HiddenRoute { by } => write!(
                f,
                "is never used: the later route {by} has the same host and prefix"
            ),
            Self::UnmatchableHost { host } => write!(f, "no request has the host {host:?}"),
            Self::UnmatchablePrefix { prefix } => {
                write!(f, "no request has the prefix {prefix:?}")
            }
            Self::NoCommonRegion { workspaces } => {
                let names = join(workspaces);
                write!(f, "allows none of the regions of workspaces {names}")
            }
            Self::RepeatedService { entries } => {
                write!(f, "is listed {entries} times; only the last entry counts")
            }
            Self::NoRoute => f.write_str("no route sends to it"),
            Self::NoKey => f.write_str("has no key, so no request counts as its own"),
            other => other.write_contradiction(f),
        }
    }

    fn write_contradiction(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ZeroTimeout => f.write_str("time-out is 0, so each request is late at once"),
            Self::ObjectiveAboveTimeout { objective, timeout } => {
                write!(
                    f,
                    "objective {objective:?} is above the time-out {timeout:?}"
                )
            }
            Self::PauseAboveTimeout { pause, timeout } => {
                write!(
                    f,
                    "longest pause {pause:?} is above the time-out {timeout:?}"
                )
            }
            Self::TooManyAttempts { attempts } => write!(
                f,
                "attempts is {attempts}, although a request must run at most once"
            ),
            Self::NoWarmUpRequest { time, spacing } => {
                let spacing = display_time(*spacing);
                write!(
                    f,
                    "warm-up of {time:?} admits no request: the time between requests is {spacing}"
                )
            }
            Self::ZeroLimit { limit: Limit::Body } => {
                f.write_str("largest body is 0 bytes, so no request may have one")
            }
            Self::ZeroLimit { limit: Limit::Head } => {
                f.write_str("largest head is 0 bytes, so each request is refused")
            }
            other => other.write_change(f),
        }
    }

    fn write_change(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Changed {
                field,
                before,
                after,
            } => write!(f, "{field} changed from {before} to {after}"),
            Self::KeysChanged { added, removed } => {
                write!(f, "keys changed: {added} added, {removed} removed")
            }
            Self::Removed => f.write_str("removed"),
            _ => f.write_str("added"),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoRoutes => f.write_str("has no routes, so each request is refused"),
            Self::VersionNotAbove { version, in_force } => write!(
                f,
                "version {version} is not above {in_force}, the version in force"
            ),
            Self::UnknownService { service } => {
                write!(f, "sends to service {service}, which is not listed")
            }
            Self::ZeroWeight => f.write_str("weights of its targets add up to 0"),
            Self::SharedKeys { keys, others } => {
                let others = join(others);
                write!(f, "shares {keys} of its keys with workspaces {others}")
            }
            other => other.write_unmatched(f),
        }
    }
}

/// Something that a check found.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// Where it is.
    pub place: Place,
    /// What it is.
    pub problem: Problem,
}

impl Finding {
    /// Returns a finding with the severity of its problem.
    #[must_use]
    pub const fn new(place: Place, problem: Problem) -> Self {
        Self {
            severity: problem.severity(),
            place,
            problem,
        }
    }
}

// A finding as scripts read it.
#[derive(Serialize)]
struct Record<'a> {
    severity: Severity,
    #[serde(flatten)]
    place: &'a Place,
    #[serde(flatten)]
    problem: &'a Problem,
    message: String,
    remedy: Option<&'static str>,
}

impl Serialize for Finding {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let record = Record {
            severity: self.severity,
            place: &self.place,
            problem: &self.problem,
            message: self.problem.to_string(),
            remedy: self.problem.remedy(),
        };
        record.serialize(serializer)
    }
}

// Returns a time as reports show it.
pub(super) fn display_time(time: Duration) -> String {
    if time == Duration::MAX {
        "unlimited".to_owned()
    } else {
        format!("{time:?}")
    }
}

fn join<'a>(names: impl IntoIterator<Item = &'a String>) -> String {
    let names: Vec<&str> = names.into_iter().map(String::as_str).collect();
    names.join(", ")
}

fn as_millis<S: Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_f64(time.as_secs_f64() * 1_000.0)
}
