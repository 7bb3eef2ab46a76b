//! How one attempt at an endpoint ended, and what that proves.
//!
//! The ending alone decides whether a request may be sent again and what its
//! caller is told. Only an ending that proves that the endpoint never started
//! the work allows the outcome *not run*.

use serde::{Deserialize, Serialize};

/// How one attempt at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Ending {
    /// The endpoint sent a complete answer.
    Done,
    /// No byte was sent to the endpoint: the connection attempt failed, or no
    /// instance dispatched the request.
    NotSent,
    /// The endpoint answered that it refused the request and ran nothing.
    Refused,
    /// The endpoint answered that it is leaving and ran nothing.
    Leaving,
    /// The endpoint answered that it has no room and ran nothing.
    Overloaded,
    /// The connection broke after the first byte of the head had been written.
    Broken,
    /// The deadline passed while the endpoint had the request.
    Timeout,
    /// The caller went away and the attempt was cancelled at the endpoint.
    Abandoned,
}

impl Ending {
    /// Returns whether the ending proves that the endpoint ran nothing.
    #[must_use]
    pub const fn proves_not_run(self) -> bool {
        matches!(
            self,
            Self::NotSent | Self::Refused | Self::Leaving | Self::Overloaded
        )
    }

    /// Returns whether the ending counts against the endpoint's health.
    #[must_use]
    pub const fn counts_against_health(self) -> bool {
        matches!(self, Self::NotSent | Self::Broken | Self::Timeout)
    }
}
