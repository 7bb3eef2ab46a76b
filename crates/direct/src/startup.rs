//! Whether an instance that has just started may rely on what the log says.
//!
//! A log that has come back from a copy may lack the newest version until the operator
//! writes it again. Who ran before knows a newer one and sees that. Who starts doesn't,
//! and would act on keys that were taken away. So it relies on a peer that is up to date,
//! or on a second read, a moment after its first one. A log that never came back lacks
//! nothing.

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::Era;

/// How long the operator has to write a version again: less than instances that start
/// wait for one that starts as well.
const REWRITTEN: Duration = Duration::from_millis(500);

/// What an instance has heard since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StartupState {
    /// Nothing yet.
    #[default]
    Unread,
    /// What the log says in this era, since a read sent at this moment.
    FirstRead(Era, Moment),
    /// Enough to see what the log lacks.
    Verified,
}

impl StartupState {
    /// Takes in that a peer told a version.
    pub const fn record_peer_answer(&mut self) {
        *self = Self::Verified;
    }

    /// Takes in a read of the log's version, sent at `asked`; returns whether it may be
    /// relied on.
    pub fn record_read(&mut self, era: Era, asked: Moment) -> bool {
        *self = match *self {
            Self::Unread | Self::FirstRead(..) if era == 0 => Self::Verified,
            Self::FirstRead(before, first) if before == era && since(asked, first) >= REWRITTEN => {
                Self::Verified
            }
            Self::FirstRead(before, first) if before == era => Self::FirstRead(era, first),
            Self::Unread | Self::FirstRead(..) => Self::FirstRead(era, asked),
            Self::Verified => Self::Verified,
        };
        *self == Self::Verified
    }
}

#[cfg(test)]
mod tests;
