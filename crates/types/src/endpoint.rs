//! Endpoints as the platform's list and their own reports describe them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Moment;
use crate::id::{EndpointId, Incarnation, ModelId, RegionId, ServiceId, ZoneId};

/// A back end that requests are placed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The id of its name.
    pub id: EndpointId,
    /// Its name on the platform's list.
    pub name: String,
    /// Its life on that name; a restart has a greater one.
    pub incarnation: Incarnation,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Models it has loaded; empty for a plain service.
    pub models: BTreeSet<ModelId>,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The region its zone is in.
    pub region: RegionId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it may get new work.
    pub standing: Standing,
}

/// Whether an endpoint or instance may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It may get new work.
    Live,
    /// It finishes what it has; sticky for its incarnation.
    Leaving,
}

/// An endpoint's own lagging report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// When the endpoint took the figures.
    pub taken: Moment,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its own word on whether it leaves.
    pub standing: Standing,
    /// Requests running or queued on it.
    pub requests: u32,
    /// Estimated work on it, in tokens still to be computed.
    pub work: u64,
}
