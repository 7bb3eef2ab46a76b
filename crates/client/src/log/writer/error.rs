//! Errors of the writer.

use crate::log::append;

/// The reason for which an append failed.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// not appended: too many records wait for the log; try again later
    Full,
    /// not appended: no slot in the append budget before the deadline; extend the deadline or raise the budget
    NoSlot,
    /// not appended before the deadline; last attempt: {0}
    NotAppended(append::Error),
    /// may have been appended: {0}; look for the record's id in the stream
    Unknown(append::Error),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns whether the record may be in the log, or may still appear there.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}
