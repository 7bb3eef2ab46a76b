//! Refusals: responses of the instance itself in place of an endpoint's.
//!
//! The status says what the caller may rely on: 408, 421, 429 and 503 promise that the
//! request has not run and never will, so they are used for nothing else. 502 and 504
//! promise nothing.

use std::ops::Range;
use std::time::Duration;

use godwitpost_types::outcome::Outcome;
use http::StatusCode;

/// Why a request gets no response of an endpoint.
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
    /// all endpoints of the service may be full, and crash if they are sent more; send it
    /// again later
    NoRoom,
    /// the endpoint refused the request; send it again later
    Refused,
    /// no endpoint could be reached; send it again
    Unreachable,
    /// the instance holds too many requests; send it again later
    Overloaded,
    /// the instance shuts down before an endpoint could answer; send it again
    Draining,
    /// the time allowed was over before an endpoint got the request
    Expired,
    /// the time allowed was over before an endpoint answered
    Timeout,
    /// the endpoint failed or its answer was lost; it may have run
    Broken,
    /// all endpoints that may run the request want none for now; send it again later
    Paused {
        /// The remaining pause, limited by the time that the caller has left.
        left: Duration,
    },
    /// it is not known which build of the endpoints began the stream; send it again
    UnknownOrigin {
        /// How long it takes until that is known, if it will be.
        left: Option<Duration>,
    },
    /// no endpoint of the build that began the stream is left; begin a new stream
    BuildGone,
    /// endpoints ended each time that they ran this request; send it later
    Held {
        /// How long the request is still held back.
        left: Duration,
    },
}

/// The retry delay of a request that no endpoint accepted. Another instance may be able
/// to route it already; half of the jitter spreads the retries.
///
/// It also applies at an instance that has just started or lost its configuration: it is
/// ready soon after it listens, and callers of an order have no time to spare.
const SHORT_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The random factor of the delay, drawn for each caller, so that callers refused
/// together don't retry together.
const RETRY_JITTER: Range<f64> = 0.7..1.3;

/// The factor where it is known that a retry before the delay has passed is in vain.
const RETRY_JITTER_NOT_EARLIER: Range<f64> = 1.0..1.3;

/// The retry delay while endpoints are full: a plain request takes 15 ms, so a queue of a
/// few times the slots is empty by then.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(400);

/// The retry delay while no zone may be used, which lasts for seconds or hours.
const NO_ZONE_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Reason {
    /// Returns the status of the response.
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
            | Self::NoRoom
            | Self::Refused
            | Self::Unreachable
            | Self::Overloaded
            | Self::UnknownOrigin { .. }
            | Self::BuildGone
            | Self::Held { .. }
            | Self::Paused { .. }
            | Self::Draining
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns what the caller may conclude about the request.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Timeout | Self::Broken => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Returns the retry delay before jitter, if a retry may help.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Starting
            | Self::Unconfirmed
            | Self::NoEndpoint
            | Self::Unreachable
            | Self::UnknownOrigin { left: None }
            | Self::Draining
            | Self::Expired => Some(SHORT_RETRY_DELAY),
            Self::Full | Self::NoRoom | Self::Refused | Self::Overloaded | Self::Warming => {
                Some(FULL_RETRY_DELAY)
            }
            Self::Evacuated | Self::NoHome => Some(NO_ZONE_RETRY_DELAY),
            Self::Held { left } => Some(left),
            Self::Paused { left } | Self::UnknownOrigin { left: Some(left) } => {
                Some(left.max(SHORT_RETRY_DELAY))
            }
            _ => None,
        }
    }

    /// Returns the range of the delay's random factor, drawn for each caller.
    #[must_use]
    pub const fn jitter(self) -> Range<f64> {
        match self {
            Self::Held { .. } | Self::Paused { .. } | Self::UnknownOrigin { left: Some(_) } => {
                RETRY_JITTER_NOT_EARLIER
            }
            _ => RETRY_JITTER,
        }
    }

    /// Returns the reason's name in logs and metrics.
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
            Self::NoRoom => "no-room",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Overloaded => "overloaded",
            Self::Draining => "draining",
            Self::Expired => "expired",
            Self::Timeout => "timeout",
            Self::Broken => "broken",
            Self::UnknownOrigin { .. } => "unknown-origin",
            Self::BuildGone => "build-gone",
            Self::Held { .. } => "held",
            Self::Paused { .. } => "paused",
        }
    }
}

#[cfg(test)]
mod tests;
