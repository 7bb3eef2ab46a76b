//! Decides whether an instance may rely on the log to confirm its configuration.
//!
//! A log restored from a copy may lack the newest version until the operator
//! writes it again. An instance that knows that version notices. One that
//! doesn't, because it has just started or couldn't reach anyone when the
//! version was written, would accept keys that have been revoked. So in each
//! era an instance relies only on a second read, sent a moment after the first,
//! or on a peer that did so. A log that was never restored lacks nothing.

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::Era;

/// How long the operator may take to write a version again. This is shorter
/// than the time for which starting instances wait for a peer that is starting
/// as well.
const OPERATOR_REWRITE_TIME: Duration = Duration::from_millis(500);

/// In which era of the log this instance's configuration was verified.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Verification {
    /// In none: nothing was read.
    #[default]
    Unread,
    /// Not yet in this one, which was first read by a call sent at this moment.
    FirstRead(Era, Moment),
    /// In this one: the operator had time to write again what its log lacks.
    Verified(Era),
}

impl Verification {
    /// Records that a peer sent a configuration that it verified in this era.
    pub fn record_peer_answer(&mut self, era: Era) {
        *self = match *self {
            Self::Verified(known) => Self::Verified(known.max(era)),
            Self::Unread | Self::FirstRead(..) => Self::Verified(era),
        };
    }

    /// Records that a read of the log's version was sent at `sent_at`. Returns
    /// whether the log may be relied on.
    pub fn record_read(&mut self, era: Era, sent_at: Moment) -> bool {
        *self = match *self {
            Self::Verified(known) if era <= known => Self::Verified(known),
            _ if era == 0 => Self::Verified(era),
            Self::FirstRead(before, first) if before == era => {
                if since(sent_at, first) >= OPERATOR_REWRITE_TIME {
                    Self::Verified(era)
                } else {
                    *self
                }
            }
            Self::Unread | Self::FirstRead(..) | Self::Verified(_) => Self::FirstRead(era, sent_at),
        };
        matches!(self, Self::Verified(_))
    }
}

/// Returns the era in which a peer's configuration was verified, where the peer
/// knows the log in `era`, learned at `restored_at` that it was restored, and
/// confirmed its configuration by a read sent at `confirmed_at`.
///
/// A read sent before the peer learned of the restore belongs to an earlier
/// era.
#[must_use]
pub fn verified_era(era: Era, restored_at: Option<Moment>, confirmed_at: Moment) -> Era {
    if restored_at.is_some_and(|restored_at| confirmed_at <= restored_at) {
        era.saturating_sub(1)
    } else {
        era
    }
}

#[cfg(test)]
mod tests;
