//! What one instance is told at its start, in YAML.
//!
//! Settings say where the instance is, whom it talks to and within what bounds
//! it has to act. What it does with requests is the configuration's to say.
//! The file is checked as a whole: each mistake is reported with its line, key
//! and remedy, and a [`Settings`] can't be invalid.

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

/// The settings of one instance, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The instance's name.
    pub name: String,
    /// The name of its availability zone.
    pub zone: String,
    /// The region of each availability zone.
    pub regions: BTreeMap<ZoneId, RegionId>,
    /// Where it listens.
    pub listen: Listen,
    /// The path on which it says whether it is ready.
    pub ready_path: String,
    /// Where the log is that the configuration is followed from.
    pub log: SocketAddr,
    /// Instances that read the log and may be asked instead of it. One that
    /// finds itself among them reads the log, and asks the others only while it
    /// can't.
    pub seeds: Vec<SocketAddr>,
    /// Within what time a key that is taken away stops working; `None` if
    /// that has no bound.
    pub revocation: Option<Duration>,
    /// Within what time a version has to be in force after it was accepted.
    pub versions: Duration,
    /// Within what time an endpoint that says it is leaving gets no more.
    pub leaving: Duration,
    /// Within what time a zone that is evacuated gets no more.
    pub evacuation: Duration,
    /// How often endpoints renew their entries.
    pub heartbeat: Duration,
    /// How often the list of endpoints is read. A leaving endpoint gets new
    /// work for as long at most.
    pub refresh: Duration,
    /// How long the balancer may go on sending callers to an instance that
    /// says it is not ready.
    pub balancer_lag: Duration,
    /// How long a graceful shutdown may take in all.
    pub grace: Duration,
    /// How much may be repeated.
    pub retries: Rate,
    /// The greatest load that an endpoint may have, as a multiple of the mean
    /// of its service.
    pub load_bound: f64,
    /// Bytes of memory that the process may use.
    pub memory_bytes: usize,
    /// Threads that carry traffic, beside the one of control state.
    pub threads: usize,
    /// How much is logged.
    pub log_level: LevelFilter,
}

/// Where an instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers, behind the balancer.
    pub callers: SocketAddr,
    /// For the balancer's question whether it is ready.
    pub ready: SocketAddr,
    /// For whoever collects metrics.
    pub metrics: SocketAddr,
    /// For other instances that ask what the log says; `None` if nobody does.
    pub peers: Option<SocketAddr>,
}

const TOP: [&str; 20] = [
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
    "heartbeat",
    "refresh",
    "balancer_lag",
    "grace",
    "retries",
    "load_bound",
    "memory_mb",
    "threads",
    "log_level",
];
const LISTEN: [&str; 4] = ["callers", "ready", "metrics", "peers"];
const RETRIES: [&str; 3] = ["ratio", "allowance", "window"];

const NAME: &str = "a name, such as otaru-1";
const ADDRESS: &str = "an IP number and a port, such as 10.0.0.5:8080";
const DURATION: &str = "a number with ms, s, m or h, such as 90s";
const PATH: &str = "a path that begins with a slash, such as /readyz";
const RATIO: &str = "a number of 0 or more, such as 0.2";
const MULTIPLE: &str = "a number above 1, such as 2";
const COUNT: &str = "a whole number above 0";
const LEVEL: &str = "one of error, warn, info, debug, trace, off";

/// How often the list of endpoints is read unless the settings say otherwise:
/// half of the two seconds within which a leaving endpoint must get no more.
const REFRESH: Duration = Duration::from_secs(1);

/// Within what time news of the log is acted on unless the settings say
/// otherwise: what the smallest of the users' deployments ask for.
const NEWS: Duration = Duration::from_secs(2);

/// The balancer's lag unless the settings say otherwise: two missed probes, a
/// second apart, and the answer to the second.
const BALANCER_LAG: Duration = Duration::from_millis(2_500);

/// The greatest load as a multiple of the mean unless the settings say
/// otherwise: a step of an engine with twice the requests takes about a third
/// longer, which callers don't notice.
const LOAD_BOUND: f64 = 2.0;

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, is no YAML, or has
    /// mistakes; all of them are listed.
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

    /// Returns whether others ask this instance instead of the log, so that it
    /// reads the log for as long as it can.
    #[must_use]
    pub fn is_seed(&self) -> bool {
        self.listen
            .peers
            .is_some_and(|own| self.seeds.contains(&own))
    }

    /// Returns whether this instance asks others in place of the log.
    #[must_use]
    pub fn polls_peers(&self) -> bool {
        !self.is_seed() && !self.other_seeds().is_empty()
    }

    /// Returns within what time all news of the log has to be acted on.
    #[must_use]
    pub fn max_update_delay(&self) -> Duration {
        self.versions.min(self.leaving)
    }

    /// Returns the instances that can be asked instead of the log.
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
        id::of(&self.zone)
    }
}

fn read(mut top: Level, mistakes: &mut Vec<Mistake>) -> Option<Settings> {
    let name = top.required("name", NAME, text, mistakes);
    let zone = top.required("zone", NAME, text, mistakes);
    let regions = regions(top.level("regions", mistakes), mistakes);
    let listen = listen(top.level("listen", mistakes), mistakes);
    let ready_path = top.required("ready_path", PATH, path, mistakes);
    let log = top.required("log", ADDRESS, parsed::<SocketAddr>, mistakes);
    let seeds = top.list("seeds", ADDRESS, parsed::<SocketAddr>, mistakes);
    let revocation = top.optional("revocation", DURATION, duration, mistakes);
    let versions = top.optional("versions", DURATION, duration, mistakes);
    let leaving = top.optional("leaving", DURATION, duration, mistakes);
    let evacuation = top.optional("evacuation", DURATION, duration, mistakes);
    let heartbeat = top.required("heartbeat", DURATION, duration, mistakes);
    let refresh = top.optional("refresh", DURATION, period, mistakes);
    let balancer_lag = top.optional("balancer_lag", DURATION, duration, mistakes);
    let grace = top.required("grace", DURATION, duration, mistakes);
    let retries = retries(top.level("retries", mistakes), mistakes);
    let load_bound = top.optional("load_bound", MULTIPLE, multiple, mistakes);
    let memory = top.required("memory_mb", COUNT, positive, mistakes);
    let threads = top.optional("threads", COUNT, positive, mistakes);
    let log_level = top.optional("log_level", LEVEL, parsed::<LevelFilter>, mistakes);
    top.finish(&TOP, mistakes);
    Some(Settings {
        name: name?.value,
        zone: zone?.value,
        regions,
        listen: listen?,
        ready_path: ready_path?.value,
        log: log?.value,
        seeds,
        revocation: revocation.map(|taken| taken.value),
        versions: versions.map_or(NEWS, |taken| taken.value),
        leaving: leaving.map_or(NEWS, |taken| taken.value),
        evacuation: evacuation.map_or(NEWS, |taken| taken.value),
        heartbeat: heartbeat?.value,
        refresh: refresh.map_or(REFRESH, |taken| taken.value),
        balancer_lag: balancer_lag.map_or(BALANCER_LAG, |taken| taken.value),
        grace: grace?.value,
        retries: retries?,
        load_bound: load_bound.map_or(LOAD_BOUND, |taken| taken.value),
        memory_bytes: memory?.value << 20,
        threads: threads.map_or(1, |taken| taken.value),
        log_level: log_level.map_or(LevelFilter::Info, |taken| taken.value),
    })
}

// The region of each zone, by the zone's name.
fn regions(mut level: Level, mistakes: &mut Vec<Mistake>) -> BTreeMap<ZoneId, RegionId> {
    let zones = level.keys().into_iter();
    zones
        .filter_map(|zone| {
            let region = level.required(&zone, NAME, text, mistakes)?;
            Some((id::of(&zone), id::of(&region.value)))
        })
        .collect()
}

fn listen(mut level: Level, mistakes: &mut Vec<Mistake>) -> Option<Listen> {
    let callers = level.required("callers", ADDRESS, parsed::<SocketAddr>, mistakes);
    let ready = level.required("ready", ADDRESS, parsed::<SocketAddr>, mistakes);
    let metrics = level.required("metrics", ADDRESS, parsed::<SocketAddr>, mistakes);
    let peers = level.optional("peers", ADDRESS, parsed::<SocketAddr>, mistakes);
    level.finish(&LISTEN, mistakes);
    Some(Listen {
        callers: callers?.value,
        ready: ready?.value,
        metrics: metrics?.value,
        peers: peers.map(|taken| taken.value),
    })
}

fn retries(mut level: Level, mistakes: &mut Vec<Mistake>) -> Option<Rate> {
    let of_requests = level.required("ratio", RATIO, ratio, mistakes);
    let allowance = level.required("allowance", RATIO, ratio, mistakes);
    let window = level.required("window", DURATION, period, mistakes);
    level.finish(&RETRIES, mistakes);
    Some(Rate {
        ratio: of_requests?.value,
        allowance: allowance?.value,
        window: window?.value,
    })
}

fn text(text: &str) -> Option<String> {
    (!text.is_empty()).then(|| text.to_owned())
}

fn path(text: &str) -> Option<String> {
    text.starts_with('/').then(|| text.to_owned())
}

fn parsed<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

fn period(text: &str) -> Option<Duration> {
    duration(text).filter(|period| !period.is_zero())
}

fn ratio(text: &str) -> Option<f64> {
    parsed(text).filter(|value: &f64| value.is_finite() && *value >= 0.0)
}

fn multiple(text: &str) -> Option<f64> {
    ratio(text).filter(|value| *value > 1.0)
}

fn positive(text: &str) -> Option<usize> {
    parsed(text).filter(|value| *value > 0)
}

#[cfg(test)]
mod tests;
