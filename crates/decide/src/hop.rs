//! The metadata that travels with a request between instances.

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{EndpointId, InstanceId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::quarantine::Evidence;

/// Maximum number of forwards of a request after its entry.
///
/// One to the owner of the home endpoint, one to where the chat is cached or
/// to the first spill target, one more spill, and the last to the least loaded
/// endpoint seen.
pub const MAX_FORWARDS: u8 = 4;

/// The metadata that travels with a request between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// The zone of the entry instance.
    pub zone: ZoneId,
    /// The endpoint that the sender selected.
    pub endpoint: EndpointId,
    /// Number of forwards between owners so far.
    pub count: u8,
    /// Whether the load bound has already moved it away from the chat's
    /// endpoint.
    pub spilled: bool,
    /// Prompt tokens that the sender assumes to be cached at `endpoint`.
    pub cached: u32,
    /// When the chat last ran there, as far as the sender knows.
    pub seen: Moment,
    /// The owner of the chat's home endpoint, which must be told where the
    /// chat ran.
    pub home: Option<InstanceId>,
    /// Endpoints that failed the request or had no room for it.
    pub tried: Vec<EndpointId>,
    /// The least loaded endpoint without room so far, and its work in tokens.
    pub least: Option<(EndpointId, u64)>,
    /// The evidence known about the request's digest.
    pub evidence: Vec<Evidence>,
}

impl Hop {
    /// Returns the hop from the entry instance to the owner of `endpoint`.
    #[must_use]
    pub const fn first(zone: ZoneId, endpoint: EndpointId) -> Self {
        Self {
            zone,
            endpoint,
            count: 0,
            spilled: false,
            cached: 0,
            seen: Moment::ZERO,
            home: None,
            tried: Vec::new(),
            least: None,
            evidence: Vec::new(),
        }
    }

    /// Returns whether the request must stay at the instance that has it now.
    #[must_use]
    pub const fn forwards_exhausted(&self) -> bool {
        self.count >= MAX_FORWARDS
    }
}
