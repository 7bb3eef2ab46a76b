//! Settings of one router, read from YAML at its start.
//!
//! Settings define where a router is and which addresses it uses; the bundle
//! defines how requests are handled. The whole file is checked before anything
//! starts: each mistake is reported with its line, key and remedy, and a
//! [`Settings`] is always valid.

use std::fmt::{self, Write as _};
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use godwitpost_types::id::{self, Incarnation, InstanceId, RegionId, ZoneId};
use godwitpost_wire::auth;
use log::LevelFilter;

mod read;

use godwitpost_process::settings;
pub use godwitpost_process::settings::Error;
pub use godwitpost_process::settings::low::Mistake;

/// Bytes of an Ed25519 public key.
const PUBLIC_KEY_BYTES: usize = 32;

/// The settings of one router, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The instance's name, as on the platform's list.
    pub name: String,
    /// The incarnation of the instance; by default its start time in milliseconds.
    pub incarnation: Incarnation,
    /// The name of its availability zone.
    pub zone: String,
    /// The name of the region that its zone is in.
    pub region: String,
    /// The fleet whose bundles it follows.
    pub fleet: String,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform's services are.
    pub platform: Platform,
    /// Public keys that may sign the fleet's first bundle.
    pub root_keys: Vec<[u8; PUBLIC_KEY_BYTES]>,
    /// The key with which instances of the fleet authenticate each other.
    pub fleet_key: auth::Key,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// How long the balancer may keep sending requests to an instance after its
    /// `/readyz` starts to fail.
    pub balancer_lag: Duration,
    /// Maximum duration of a graceful shutdown.
    pub drain: Duration,
    /// The most verbose level that is logged.
    pub log_level: LevelFilter,
    /// Number of traffic threads, besides the control thread.
    pub threads: usize,
}

/// Where a router listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers, behind the platform's balancer.
    pub callers: SocketAddr,
    /// For the fleet's other instances.
    pub peers: SocketAddr,
    /// For operators and their Prometheus.
    pub operators: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Platform {
    /// The append-only log service.
    pub log: SocketAddr,
    /// The list of instances.
    pub list: SocketAddr,
    /// The weight store.
    pub weights: Option<SocketAddr>,
    /// How long the log retains records; the bundle is renewed well before.
    pub retention: Duration,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of requests in flight on this instance.
    pub streams: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            // Common clients send heads of a few hundred bytes; 16 KiB leaves
            // room for headers that proxies add, and bounds the memory of
            // 10,000 idle connections to 160 MB.
            head_bytes: 16 << 10,
            // A prompt of 250,000 tokens is about a megabyte of JSON.
            body_bytes: 4 << 20,
            // 17,000 requests per second over 320 instances, each open for up
            // to 20 s, are about 1,100 per instance; this is four times that.
            streams: 4096,
        }
    }
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or one that names all mistakes
    /// in it.
    pub fn load(path: &std::path::Path) -> Result<Self, Error> {
        Self::parse(&settings::load(path)?)
    }

    /// Reads settings from YAML.
    ///
    /// # Errors
    ///
    /// Returns an error that names all mistakes.
    pub fn parse(text: &str) -> Result<Self, Error> {
        settings::parse(text, read::settings)
    }

    /// Returns the id of the instance.
    #[must_use]
    pub fn id(&self) -> InstanceId {
        id::from_name(&self.name)
    }

    /// Returns the id of its availability zone.
    #[must_use]
    pub fn zone_id(&self) -> ZoneId {
        id::from_name(&self.zone)
    }

    /// Returns the id of its region.
    #[must_use]
    pub fn region_id(&self) -> RegionId {
        id::from_name(&self.region)
    }

    /// Returns all values as YAML, with secrets hidden.
    ///
    /// # Panics
    ///
    /// Never: writing to a string can't fail.
    #[must_use]
    pub fn print(&self) -> String {
        let mut text = String::new();
        self.write(&mut text)
            .expect("writing to a string never fails");
        text
    }

    fn write(&self, to: &mut String) -> fmt::Result {
        writeln!(to, "name: {}", self.name)?;
        writeln!(to, "incarnation: {}", self.incarnation)?;
        writeln!(to, "zone: {}", self.zone)?;
        writeln!(to, "region: {}", self.region)?;
        writeln!(to, "fleet: {}", self.fleet)?;
        writeln!(to, "listen:")?;
        writeln!(to, "  callers: {}", self.listen.callers)?;
        writeln!(to, "  peers: {}", self.listen.peers)?;
        writeln!(to, "  operators: {}", self.listen.operators)?;
        writeln!(to, "platform:")?;
        writeln!(to, "  log: {}", self.platform.log)?;
        writeln!(to, "  list: {}", self.platform.list)?;
        if let Some(weights) = self.platform.weights {
            writeln!(to, "  weights: {weights}")?;
        }
        writeln!(to, "  retention: {}ms", self.platform.retention.as_millis())?;
        writeln!(to, "root_keys:")?;
        for key in &self.root_keys {
            writeln!(to, "  - {}", STANDARD.encode(key))?;
        }
        writeln!(to, "fleet_key: hidden")?;
        writeln!(to, "limits:")?;
        writeln!(to, "  head_bytes: {}", self.limits.head_bytes)?;
        writeln!(to, "  body_bytes: {}", self.limits.body_bytes)?;
        writeln!(to, "  streams: {}", self.limits.streams)?;
        writeln!(to, "balancer_lag: {}ms", self.balancer_lag.as_millis())?;
        writeln!(to, "drain: {}ms", self.drain.as_millis())?;
        writeln!(to, "log_level: {}", self.log_level.as_str().to_lowercase())?;
        writeln!(to, "threads: {}", self.threads)
    }
}

#[cfg(test)]
mod tests;
