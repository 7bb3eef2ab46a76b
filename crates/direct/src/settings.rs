//! The settings that an instance reads at its start, in YAML.
//!
//! Settings define where an instance runs, whom it communicates with and within
//! what bounds it must act. The configuration defines what it does with
//! requests. The file is checked as a whole: each mistake is reported with its
//! line, key and remedy, and a [`Settings`] value is always valid.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use godwitpost_process::settings;
pub use godwitpost_process::settings::Error;
use godwitpost_process::settings::low::{Level, Mistake, duration};
use godwitpost_types::id::{self, RegionId, ZoneId};
use log::LevelFilter;

use crate::budget::Rate;

/// The checked settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The instance's name.
    pub name: String,
    /// The name of its availability zone.
    pub zone: String,
    /// The region of each availability zone.
    pub regions: BTreeMap<ZoneId, RegionId>,
    /// The addresses that the instance listens on.
    pub listen: Listen,
    /// The path that reports readiness.
    pub ready_path: String,
    /// The address of the log that the configuration is followed from.
    pub log: SocketAddr,
    /// Instances that read the log and may be polled instead of it. An instance
    /// that finds its own address among them reads the log, and polls the
    /// others only while it can't.
    pub seeds: Vec<SocketAddr>,
    /// The time within which a revoked key stops working; `None` if unbounded.
    pub revocation: Option<Duration>,
    /// The time within which an accepted version has to be in force.
    pub versions: Duration,
    /// The time within which an endpoint that announces it is leaving gets no
    /// more requests.
    pub leaving: Duration,
    /// The time within which an evacuated zone gets no more requests.
    pub evacuation: Duration,
    /// Whether the whole system starts for the first time, so that no endpoint can have served
    /// before.
    pub first_start: bool,
    /// The interval at which endpoints renew their entries.
    pub heartbeat: Duration,
    /// The interval at which the list of endpoints is read. A leaving endpoint
    /// gets new requests for at most this long.
    pub refresh: Duration,
    /// How long the balancer may continue to send callers to an instance that
    /// reports that it is not ready.
    pub balancer_lag: Duration,
    /// The longest total time of a graceful shutdown.
    pub grace: Duration,
    /// The limit on retries.
    pub retries: Rate,
    /// The highest load that an endpoint may have, as a multiple of the mean of
    /// its service.
    pub load_bound: f64,
    /// How endpoints of services with engines are compared.
    pub placement: Placement,
    /// The memory that the process may use.
    pub memory_bytes: usize,
    /// How many bytes a second the machine's link carries.
    pub link_rate: u64,
    /// The number of threads that handle requests, in addition to the control
    /// thread.
    pub threads: usize,
    /// The level of the log messages that are written.
    pub log_level: LevelFilter,
}

/// How endpoints that run models are compared for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// By the number of their requests.
    #[default]
    Count,
    /// By the time that the request is expected to take there, where that is known.
    Work,
}

/// The addresses that an instance listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers, behind the balancer.
    pub callers: SocketAddr,
    /// For the balancer's readiness probe.
    pub ready: SocketAddr,
    /// For the collector of metrics.
    pub metrics: SocketAddr,
    /// For other instances that poll this one; `None` if none do.
    pub peers: Option<SocketAddr>,
    /// For requests of other instances that can't reach their endpoints; `None` if it takes
    /// none.
    pub forwards: Option<SocketAddr>,
}

const TOP_LEVEL_KEYS: [&str; 23] = [
    "name",
    "zone",
    "regions",
    "listen",
    "ready_path",
    "log",
    "seeds",
    "revocation",
    "versions",
    "leaving",
    "evacuation",
    "first_start",
    "heartbeat",
    "refresh",
    "balancer_lag",
    "grace",
    "retries",
    "load_bound",
    "placement",
    "memory_mb",
    "link_mbps",
    "threads",
    "log_level",
];
const LISTEN_KEYS: [&str; 5] = ["callers", "ready", "metrics", "peers", "forwards"];
const RETRIES_KEYS: [&str; 3] = ["ratio", "allowance", "window"];

const NAME_HINT: &str = "a name, such as otaru-1";
const ADDRESS_HINT: &str = "an IP number and a port, such as 10.0.0.5:8080";
const DURATION_HINT: &str = "a number with ms, s, m or h, such as 90s";
const PATH_HINT: &str = "a path that begins with a slash, such as /readyz";
const RATIO_HINT: &str = "a number of 0 or more, such as 0.2";
const MULTIPLE_HINT: &str = "a number above 1, such as 2";
const RATE_HINT: &str = "a number of Mbit/s above 0, such as 20";
const SWITCH_HINT: &str = "true or false";
const COUNT_HINT: &str = "a whole number above 0";
const PLACEMENT_HINT: &str = "count or work";
const LEVEL_HINT: &str = "one of error, warn, info, debug, trace, off";

/// The default of `refresh`: half of the two seconds within which a leaving
/// endpoint must get no more requests.
const DEFAULT_REFRESH: Duration = Duration::from_secs(1);

/// The default of `versions`, `leaving` and `evacuation`, as the smallest
/// deployments require.
const DEFAULT_MAX_UPDATE_DELAY: Duration = Duration::from_secs(2);

/// The default of `balancer_lag`: two missed probes, a second apart, and the
/// answer to the second.
const DEFAULT_BALANCER_LAG: Duration = Duration::from_millis(2_500);

/// The default of `load_bound`. A step of an engine with twice the requests
/// takes about a third longer, which callers don't notice.
const DEFAULT_LOAD_BOUND: f64 = 2.0;

/// The default of `link_mbps`: the slowest links that instances are run on.
const DEFAULT_LINK_MBPS: f64 = 10.0;

/// Bytes a second in one Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, is not valid YAML, or has
    /// mistakes, all of which are listed.
    pub fn load(path: &Path) -> Result<Self, Error> {
        Self::parse(&settings::load(path)?)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// As [`Settings::load`].
    pub fn parse(text: &str) -> Result<Self, Error> {
        settings::parse(text, read)
    }

    /// Returns whether this instance is one of the seeds, which read the log
    /// for as long as they can.
    #[must_use]
    pub fn is_seed(&self) -> bool {
        self.listen
            .peers
            .is_some_and(|own| self.seeds.contains(&own))
    }

    /// Returns whether this instance polls others instead of reading the log.
    #[must_use]
    pub fn polls_peers(&self) -> bool {
        !self.is_seed() && !self.other_seeds().is_empty()
    }

    /// Returns the time within which any update in the log has to be acted on.
    #[must_use]
    pub fn max_update_delay(&self) -> Duration {
        self.versions.min(self.leaving)
    }

    /// Returns the seeds other than this instance.
    #[must_use]
    pub fn other_seeds(&self) -> Vec<SocketAddr> {
        let own = self.listen.peers;
        let mut others = self.seeds.clone();
        others.retain(|seed| Some(*seed) != own);
        others
    }

    /// Returns the id of its availability zone.
    #[must_use]
    pub fn zone_id(&self) -> ZoneId {
        id::from_name(&self.zone)
    }
}

fn read(mut top: Level, mistakes: &mut Vec<Mistake>) -> Option<Settings> {
    let name = top.required("name", NAME_HINT, non_empty, mistakes);
    let zone = top.required("zone", NAME_HINT, non_empty, mistakes);
    let regions = regions(top.level("regions", mistakes), mistakes);
    let listen = listen(top.level("listen", mistakes), mistakes);
    let ready_path = top.required("ready_path", PATH_HINT, absolute_path, mistakes);
    let log = top.required("log", ADDRESS_HINT, parse_value::<SocketAddr>, mistakes);
    let seeds = top.list("seeds", ADDRESS_HINT, parse_value::<SocketAddr>, mistakes);
    let revocation = top.optional("revocation", DURATION_HINT, duration, mistakes);
    let versions = top.optional("versions", DURATION_HINT, duration, mistakes);
    let leaving = top.optional("leaving", DURATION_HINT, duration, mistakes);
    let evacuation = top.optional("evacuation", DURATION_HINT, duration, mistakes);
    let first_start = top.optional("first_start", SWITCH_HINT, parse_value::<bool>, mistakes);
    let heartbeat = top.required("heartbeat", DURATION_HINT, duration, mistakes);
    let refresh = top.optional("refresh", DURATION_HINT, positive_duration, mistakes);
    let balancer_lag = top.optional("balancer_lag", DURATION_HINT, duration, mistakes);
    let grace = top.required("grace", DURATION_HINT, duration, mistakes);
    let retries = retries(top.level("retries", mistakes), mistakes);
    let load_bound = top.optional("load_bound", MULTIPLE_HINT, above_one, mistakes);
    let placement = top.optional("placement", PLACEMENT_HINT, placement, mistakes);
    let memory = top.required("memory_mb", COUNT_HINT, positive_count, mistakes);
    let link = top.optional("link_mbps", RATE_HINT, positive_number, mistakes);
    let threads = top.optional("threads", COUNT_HINT, positive_count, mistakes);
    let log_level = top.optional(
        "log_level",
        LEVEL_HINT,
        parse_value::<LevelFilter>,
        mistakes,
    );
    top.finish(&TOP_LEVEL_KEYS, mistakes);
    Some(Settings {
        name: name?.value,
        zone: zone?.value,
        regions,
        listen: listen?,
        ready_path: ready_path?.value,
        log: log?.value,
        seeds,
        revocation: revocation.map(|setting| setting.value),
        versions: versions.map_or(DEFAULT_MAX_UPDATE_DELAY, |setting| setting.value),
        leaving: leaving.map_or(DEFAULT_MAX_UPDATE_DELAY, |setting| setting.value),
        evacuation: evacuation.map_or(DEFAULT_MAX_UPDATE_DELAY, |setting| setting.value),
        first_start: first_start.is_some_and(|setting| setting.value),
        heartbeat: heartbeat?.value,
        refresh: refresh.map_or(DEFAULT_REFRESH, |setting| setting.value),
        balancer_lag: balancer_lag.map_or(DEFAULT_BALANCER_LAG, |setting| setting.value),
        grace: grace?.value,
        retries: retries?,
        load_bound: load_bound.map_or(DEFAULT_LOAD_BOUND, |setting| setting.value),
        placement: placement.map_or_else(Placement::default, |setting| setting.value),
        memory_bytes: memory?.value << 20,
        link_rate: bytes_per_second(link.map_or(DEFAULT_LINK_MBPS, |setting| setting.value)),
        threads: threads.map_or(1, |setting| setting.value),
        log_level: log_level.map_or(LevelFilter::Info, |setting| setting.value),
    })
}

// Returns the region of each zone, by the zone's id.
fn regions(mut level: Level, mistakes: &mut Vec<Mistake>) -> BTreeMap<ZoneId, RegionId> {
    let zones = level.keys().into_iter();
    zones
        .filter_map(|zone| {
            let region = level.required(&zone, NAME_HINT, non_empty, mistakes)?;
            Some((id::from_name(&zone), id::from_name(&region.value)))
        })
        .collect()
}

fn listen(mut level: Level, mistakes: &mut Vec<Mistake>) -> Option<Listen> {
    let callers = level.required("callers", ADDRESS_HINT, parse_value::<SocketAddr>, mistakes);
    let ready = level.required("ready", ADDRESS_HINT, parse_value::<SocketAddr>, mistakes);
    let metrics = level.required("metrics", ADDRESS_HINT, parse_value::<SocketAddr>, mistakes);
    let peers = level.optional("peers", ADDRESS_HINT, parse_value::<SocketAddr>, mistakes);
    let forwards = level.optional(
        "forwards",
        ADDRESS_HINT,
        parse_value::<SocketAddr>,
        mistakes,
    );
    level.finish(&LISTEN_KEYS, mistakes);
    Some(Listen {
        callers: callers?.value,
        ready: ready?.value,
        metrics: metrics?.value,
        peers: peers.map(|setting| setting.value),
        forwards: forwards.map(|setting| setting.value),
    })
}

fn retries(mut level: Level, mistakes: &mut Vec<Mistake>) -> Option<Rate> {
    let retry_ratio = level.required("ratio", RATIO_HINT, non_negative, mistakes);
    let allowance = level.required("allowance", RATIO_HINT, non_negative, mistakes);
    let window = level.required("window", DURATION_HINT, positive_duration, mistakes);
    level.finish(&RETRIES_KEYS, mistakes);
    Some(Rate {
        ratio: retry_ratio?.value,
        allowance: allowance?.value,
        window: window?.value,
    })
}

fn placement(text: &str) -> Option<Placement> {
    match text {
        "count" => Some(Placement::Count),
        "work" => Some(Placement::Work),
        _ => None,
    }
}

fn non_empty(text: &str) -> Option<String> {
    (!text.is_empty()).then(|| text.to_owned())
}

fn absolute_path(text: &str) -> Option<String> {
    text.starts_with('/').then(|| text.to_owned())
}

fn parse_value<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

fn positive_duration(text: &str) -> Option<Duration> {
    duration(text).filter(|period| !period.is_zero())
}

fn non_negative(text: &str) -> Option<f64> {
    parse_value(text).filter(|value: &f64| value.is_finite() && *value >= 0.0)
}

fn positive_number(text: &str) -> Option<f64> {
    non_negative(text).filter(|value| *value > 0.0)
}

// Returns the bytes a second of a link of this many Mbit/s, at least one.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a positive number, cut to whole bytes"
)]
fn bytes_per_second(mbps: f64) -> u64 {
    (mbps * BYTES_PER_MBIT).max(1.0) as u64
}

fn above_one(text: &str) -> Option<f64> {
    non_negative(text).filter(|value| *value > 1.0)
}

fn positive_count(text: &str) -> Option<usize> {
    parse_value(text).filter(|value| *value > 0)
}

#[cfg(test)]
mod tests;
