//! The typed bundle, with all defaults filled in.
//!
//! The structs also define the canonical form of entries: `rmp-serde` encodes
//! them as arrays, so the order of fields is part of the format. New fields
//! go at the end, and routers must be updated before the first bundle that
//! uses one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_types::id::Version;
use serde::{Deserialize, Serialize};

use crate::blob::Digest;

/// A whole bundle.
#[derive(Clone, Debug, PartialEq)]
pub struct Bundle {
    /// The version; the first is 1.
    pub version: Version,
    /// Fleet-wide settings.
    pub fleet: Fleet,
    /// Who may sign the next version.
    pub operators: BTreeMap<String, Operator>,
    /// Classes of requests.
    pub classes: BTreeMap<String, Class>,
    /// Services that endpoints serve.
    pub services: BTreeMap<String, Service>,
    /// Models that engines load.
    pub models: BTreeMap<String, Model>,
    /// Customers.
    pub workspaces: BTreeMap<String, Workspace>,
    /// The mapping of paths to services.
    pub routes: Vec<Route>,
}

/// Fleet-wide settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The fleet's name; it must match the routers' settings.
    pub name: String,
    /// How long an idempotency key stays valid.
    pub claim_window: Duration,
}

/// A person who may sign the next version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// The Ed25519 public key.
    pub key: Digest,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Strict priority between classes; 0 is served first.
    pub priority: u8,
    /// Weight relative to other classes of the same priority.
    pub weight: f64,
    /// The deadline of requests that state none.
    pub deadline: Duration,
    /// Whether requests may wait in a queue.
    pub queue: bool,
}

/// The kind of endpoints that serve a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines.
    Engine,
    /// Plain services.
    Plain,
}

/// A service and how requests are distributed over its endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The kind of its endpoints.
    pub kind: Kind,
    /// The multiple of the mean load that no endpoint may exceed.
    pub load_bound: f64,
    /// The weight of cache reuse relative to load skew, from 0 to 1.
    pub reuse: f64,
    /// The number of requests that one endpoint runs concurrently.
    pub slots: u32,
    /// Whether its endpoints reject requests with an old fencing number.
    pub checks_fencing: bool,
}

/// A model and its expected load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// The service whose engines load it.
    pub service: String,
    /// The version of the weights.
    pub weights: String,
    /// The number of engines that should have it loaded.
    pub replicas: u32,
    /// The answer tokens expected if the caller sets no limit.
    pub answer_tokens: u32,
}

/// A customer of the marketplace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Weight relative to other workspaces under contention.
    pub weight: f64,
    /// Requests per second across the fleet.
    pub rate: f64,
    /// Concurrent requests across the fleet.
    pub concurrency: u32,
    /// Services it may call.
    pub services: BTreeSet<String>,
}

/// A mapping of a path to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The path prefix that it matches.
    pub path: String,
    /// The methods that it matches; empty for all.
    pub methods: BTreeSet<String>,
    /// The target service.
    pub service: String,
    /// The class of its requests.
    pub class: String,
    /// Whether its requests may run at most once, which requires a key.
    pub unrepeatable: bool,
}
