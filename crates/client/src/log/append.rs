//! Errors of an append, and whether it may have taken effect.

use http::StatusCode;

use crate::connect;

/// The reason for which an append failed.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the name of the stream is not valid in a path ({0}); use letters and digits
    Stream(http::Error),
    /// not appended: {0}; the append may be tried again
    NotSent(connect::Error),
    /// not appended: the log's rate limit was exceeded; retry more slowly
    RateLimited,
    /// not appended: the log is unavailable; try again after a pause
    Unavailable,
    /// not appended: the log responded {0}; check the stream and the record
    Rejected(StatusCode),
    /// outcome unknown: {0}; read the stream back before another append
    ResponseLost(connect::Error),
    /// outcome unknown: the log responded {0}; read the stream back
    UnexpectedStatus(StatusCode),
    /// outcome unknown: invalid response ({0}); read the stream back
    InvalidResponse(connect::BoxError),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns whether the record may be in the log, or may still appear there.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::Stream(_)
            | Self::NotSent(_)
            | Self::RateLimited
            | Self::Unavailable
            | Self::Rejected(_) => false,
            Self::ResponseLost(_) | Self::UnexpectedStatus(_) | Self::InvalidResponse(_) => true,
        }
    }

    /// Returns whether retrying the same record would fail as well.
    #[must_use]
    pub const fn is_permanent(&self) -> bool {
        matches!(self, Self::Stream(_) | Self::Rejected(_))
    }
}

pub(super) fn from_connect(error: connect::Error) -> Error {
    if error.may_have_run() {
        Error::ResponseLost(error)
    } else {
        Error::NotSent(error)
    }
}

// Only statuses that PLATFORM.md defines as rejections, and those that mean
// that the server did not accept the request, count as no effect. A 500 or 504
// may come from an intermediary after the append took effect.
pub(super) fn from_status(status: StatusCode) -> Error {
    match status {
        StatusCode::TOO_MANY_REQUESTS => Error::RateLimited,
        StatusCode::SERVICE_UNAVAILABLE => Error::Unavailable,
        status if status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT => {
            Error::Rejected(status)
        }
        status => Error::UnexpectedStatus(status),
    }
}
