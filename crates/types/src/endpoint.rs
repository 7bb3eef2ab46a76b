//! Endpoints, as described by the platform's list and by their own reports.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Moment;
use crate::id::{EndpointId, Incarnation, ModelId, RegionId, ServiceId, ZoneId};

/// A back end that requests are sent to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The id of its name.
    pub id: EndpointId,
    /// Its name on the platform's list.
    pub name: String,
    /// Its incarnation under that name; greater after each restart.
    pub incarnation: Incarnation,
    /// The service it belongs to.
    pub service: ServiceId,
    /// The models it has loaded; empty for a plain service.
    pub models: BTreeSet<ModelId>,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The region its zone is in.
    pub region: RegionId,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Whether it may receive new requests.
    pub standing: Standing,
}

/// Whether an endpoint or instance may receive new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It may receive new requests.
    Live,
    /// It only finishes its current requests. This is final for its incarnation.
    Leaving,
}

/// An endpoint's report of its own load, which lags behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// When the endpoint measured the load.
    pub taken: Moment,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its standing, as reported by itself.
    pub standing: Standing,
    /// Requests running or queued on the endpoint.
    pub requests: u32,
    /// Estimated remaining work on the endpoint, in tokens.
    pub work: u64,
}
