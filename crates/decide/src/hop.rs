//! What travels with a request from one instance to the next.

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{EndpointId, InstanceId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::quarantine::Evidence;

/// Forwards that a request may see after its entry.
///
/// One to the home's owner, one to where the chat is warm or to the first
/// spill, one more spill, and the last to the least loaded seen.
pub const MAX_FORWARDS: u8 = 4;

/// What travels with a request from one instance to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// The zone of the entry instance.
    pub zone: ZoneId,
    /// The endpoint that the sender means.
    pub endpoint: EndpointId,
    /// Forwards between owners so far.
    pub count: u8,
    /// Whether the load bound already sent it away from a chat's endpoint.
    pub spilled: bool,
    /// Prompt tokens that the sender takes to be cached at `endpoint`.
    pub cached: u32,
    /// When the chat last ran there, as far as the sender knows.
    pub seen: Moment,
    /// The owner of the chat's home, to be told where the chat went.
    pub home: Option<InstanceId>,
    /// Endpoints that failed the request or had no room for it.
    pub tried: Vec<EndpointId>,
    /// The least loaded endpoint without room so far, and its work.
    pub least: Option<(EndpointId, u64)>,
    /// What is known of the request's digest.
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

    /// Returns whether the request has to stay with who holds it now.
    #[must_use]
    pub const fn forwards_exhausted(&self) -> bool {
        self.count >= MAX_FORWARDS
    }
}
