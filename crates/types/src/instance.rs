//! Instances of the router fleet.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::endpoint::Standing;
use crate::id::{Incarnation, InstanceId, RegionId, ZoneId};

/// One router of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The id of its name.
    pub id: InstanceId,
    /// Its name on the platform's list.
    pub name: String,
    /// Its incarnation under that name; greater after each restart.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The region its zone is in.
    pub region: RegionId,
    /// The address on which it listens for its peers.
    pub peer_address: SocketAddr,
    /// The address on which it listens for operators.
    pub operators_address: SocketAddr,
    /// Whether it may receive new requests.
    pub standing: Standing,
}
