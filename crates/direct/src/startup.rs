//! Decides whether a newly started instance may rely on the log.
//!
//! A log restored from a copy may lack the newest version until the operator
//! writes it again. An instance that was already running knows the newer
//! version and notices that. A newly started one doesn't, and would accept keys
//! that have been revoked. It therefore relies only on an up-to-date peer, or
//! on a second read of the log a moment after the first. A log that was never
//! restored lacks nothing.

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::Era;

/// How long the operator may take to write a version again. This is shorter
/// than the time for which starting instances wait for a peer that is starting
/// as well.
const OPERATOR_REWRITE_TIME: Duration = Duration::from_millis(500);

/// What an instance has learned since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StartupState {
    /// Nothing.
    #[default]
    Unread,
    /// The content of the log in this era, first read by a call sent at this
    /// moment.
    FirstRead(Era, Moment),
    /// Enough to detect that the log lacks a version.
    Verified,
}

impl StartupState {
    /// Records that a peer sent a version.
    pub const fn record_peer_answer(&mut self) {
        *self = Self::Verified;
    }

    /// Records that a read of the log's version was sent at `sent_at`. Returns
    /// whether the log may be relied on.
    pub fn record_read(&mut self, era: Era, sent_at: Moment) -> bool {
        *self = match *self {
            Self::Unread | Self::FirstRead(..) if era == 0 => Self::Verified,
            Self::FirstRead(before, first)
                if before == era && since(sent_at, first) >= OPERATOR_REWRITE_TIME =>
            {
                Self::Verified
            }
            Self::FirstRead(before, first) if before == era => Self::FirstRead(era, first),
            Self::Unread | Self::FirstRead(..) => Self::FirstRead(era, sent_at),
            Self::Verified => Self::Verified,
        };
        *self == Self::Verified
    }
}

#[cfg(test)]
mod tests;
