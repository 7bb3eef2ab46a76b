//! Why an append failed, and whether it may have taken effect.

use http::StatusCode;

use crate::connect;

/// Why an append has no offset.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the stream's name is no part of a path ({0}); use letters and digits
    Stream(http::Error),
    /// not appended: {0}; the append may be tried again
    NotSent(connect::Error),
    /// not appended: over the log's rate; try again more slowly
    RateLimited,
    /// not appended: the log is down; try again after a pause
    Unavailable,
    /// not appended: the log answered {0}; check the stream and the record
    Rejected(StatusCode),
    /// fate unknown: {0}; read the stream back before another append
    ResponseLost(connect::Error),
    /// fate unknown: the log answered {0}; read the stream back
    UnexpectedStatus(StatusCode),
    /// fate unknown: unreadable answer ({0}); read the stream back
    InvalidResponse(connect::BoxError),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns whether the record may be on the log, or may yet appear there.
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

    /// Returns whether another try of the same record must fail as well.
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

// Only the answers that PLATFORM.md defines as refusals, and those by which a
// server says that it didn't take the request, count as no effect. A 500 or a
// 504 may come from something between us and the log after the append.
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
