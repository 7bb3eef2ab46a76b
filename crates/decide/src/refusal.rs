//! Refusals: a request that was not run, the reason, and when to retry it.

use std::time::Duration;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// A request that was not run and will not be run by the instance that refuses
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why it was refused.
    pub reason: Reason,
    /// How long to wait before sending it again; goes into `Retry-After`.
    pub retry_after: Duration,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reason {
    /// the workspace is not in the bundle; have an operator add it
    UnknownWorkspace,
    /// the service is not in the bundle; check the path
    UnknownService,
    /// the workspace may not call this service; have an operator allow it
    Forbidden,
    /// no live endpoint serves this service and model; try again later
    NoEndpoint,
    /// the deadline passed before an endpoint had room; allow more time
    Deadline,
    /// the queue is full; try again later
    QueueFull,
    /// every endpoint is busy and this class does not queue; try again later
    Busy,
    /// the workspace sends more requests a second than its limit; slow down
    Rate,
    /// the workspace has more requests at once than its limit; wait for answers
    Concurrency,
    /// this request crashed the endpoints that ran it; change it
    Quarantined,
    /// this instance is shutting down; send the request again
    Leaving,
}

impl std::error::Error for Reason {}

impl Refusal {
    /// Returns a refusal with the delay suitable for its reason.
    #[must_use]
    pub const fn new(reason: Reason) -> Self {
        // Delays in seconds. Excess load passes within a second or two. What
        // an operator has to fix takes longer, so frequent retries do not
        // help.
        let secs = match reason {
            Reason::Busy | Reason::Concurrency | Reason::Leaving | Reason::Rate => 1,
            Reason::Deadline | Reason::QueueFull | Reason::NoEndpoint => 2,
            Reason::UnknownWorkspace | Reason::UnknownService | Reason::Forbidden => 60,
            Reason::Quarantined => 600,
        };
        Self {
            reason,
            retry_after: Duration::from_secs(secs),
        }
    }
}
