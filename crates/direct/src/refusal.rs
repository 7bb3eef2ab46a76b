//! Answers of the instance's own, in place of an endpoint's.
//!
//! The status says what the caller may rely on: 408, 421, 429 and 503 promise
//! that the request has not run and never will, so they are used for nothing
//! else. 502 and 504 promise nothing.

use std::ops::Range;
use std::time::Duration;

use godwitpost_types::outcome::Outcome;
use http::StatusCode;

/// Why a request gets no answer of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Reason {
    /// the request's head is not well-formed; send it as the protocol says
    Malformed,
    /// the request's head is too large; send fewer or shorter headers
    HeadTooLarge,
    /// the request's body is too large; send less
    BodyTooLarge,
    /// the request's body did not arrive in time; send it faster
    BodyTimeout,
    /// no route for this host and path; check both
    NoRoute,
    /// the key is not known; check it
    UnknownKey,
    /// this instance has no configuration yet; send it again
    Starting,
    /// the configuration could not be confirmed lately; send it again
    Unconfirmed,
    /// no endpoint of the service is known; send it again
    NoEndpoint,
    /// all endpoints of the service are in evacuated availability zones; send it again later
    Evacuated,
    /// no endpoint of the service is in a region that may run the request; send it again later
    NoHome,
    /// all endpoints of the service are warming up; send it again later
    Warming,
    /// all endpoints of the service are full; send it again later
    Full,
    /// the endpoint refused the request; send it again later
    Refused,
    /// no endpoint could be reached; send it again
    Unreachable,
    /// the instance holds too many requests; send it again later
    Overloaded,
    /// the time allowed was over before an endpoint got the request
    Expired,
    /// the time allowed was over before an endpoint answered
    Timeout,
    /// the endpoint failed or its answer was lost; it may have run
    Broken,
    /// all endpoints that may run the request want none for now; send it again later
    Paused {
        /// How long that lasts, or what the caller can spare of its time.
        left: Duration,
    },
    /// endpoints ended each time that they ran this request; send it later
    Held {
        /// How long it is held back.
        left: Duration,
    },
}

/// The wait before a request that no endpoint took is sent again. Another
/// instance may know better at once; half of the jitter spreads the return.
///
/// It is also that of an instance that has just started or lost touch with its
/// configuration: such a one is informed soon after it listens, and callers of an
/// order have no time to spare.
const SOON: Duration = Duration::from_millis(150);

/// What a wait is multiplied by, drawn anew for each caller: those that were
/// refused together must not come back together.
const JITTER: Range<f64> = 0.7..1.3;

/// Likewise where it is known until when sending it again is in vain.
const NOT_BEFORE: Range<f64> = 1.0..1.3;

/// The wait that is asked of callers while endpoints are full: a plain request
/// takes 15 ms, so a queue of a few times the slots is gone by then.
const LATER: Duration = Duration::from_millis(400);

/// The wait that is asked of callers while no zone may be used, which lasts for
/// seconds or hours.
const AWAY: Duration = Duration::from_secs(1);

impl Reason {
    /// Returns the status of the answer.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::Broken => StatusCode::BAD_GATEWAY,
            Self::Starting
            | Self::Unconfirmed
            | Self::NoEndpoint
            | Self::Evacuated
            | Self::NoHome
            | Self::Warming
            | Self::Full
            | Self::Refused
            | Self::Unreachable
            | Self::Overloaded
            | Self::Held { .. }
            | Self::Paused { .. }
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns what the caller may conclude.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Timeout | Self::Broken => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Returns when sending again may help, before jitter.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Starting
            | Self::Unconfirmed
            | Self::NoEndpoint
            | Self::Unreachable
            | Self::Expired => Some(SOON),
            Self::Full | Self::Refused | Self::Overloaded | Self::Warming => Some(LATER),
            Self::Evacuated | Self::NoHome => Some(AWAY),
            Self::Held { left } => Some(left),
            Self::Paused { left } => Some(left.max(SOON)),
            _ => None,
        }
    }

    /// Returns what the wait is multiplied by, drawn anew for each caller.
    #[must_use]
    pub const fn jitter(self) -> Range<f64> {
        match self {
            Self::Held { .. } | Self::Paused { .. } => NOT_BEFORE,
            _ => JITTER,
        }
    }

    /// Returns its name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyTimeout => "body-timeout",
            Self::NoRoute => "no-route",
            Self::UnknownKey => "unknown-key",
            Self::Starting => "starting",
            Self::Unconfirmed => "unconfirmed",
            Self::NoEndpoint => "no-endpoint",
            Self::Evacuated => "evacuated",
            Self::NoHome => "no-home",
            Self::Warming => "warming",
            Self::Full => "full",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Overloaded => "overloaded",
            Self::Expired => "expired",
            Self::Timeout => "timeout",
            Self::Broken => "broken",
            Self::Held { .. } => "held",
            Self::Paused { .. } => "paused",
        }
    }
}

#[cfg(test)]
mod tests;
