//! Why the writer gave up on a record.

use crate::log::append;

/// Why an append has no offset.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// not appended: too many records wait for the log; try again later
    Full,
    /// not appended: no turn within the time allowed; allow more, or raise the budget
    NoSlot,
    /// not appended within the time allowed; the last try: {0}
    NotAppended(append::Error),
    /// may have been appended: {0}; look for the record's id in the stream
    Unknown(append::Error),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns whether the record may be on the log, or may yet appear there.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}
