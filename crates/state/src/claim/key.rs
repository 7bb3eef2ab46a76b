//! Idempotency keys and their issue times.
//!
//! The log retains records for a limited time, so each key needs an issue time.
//! Otherwise a key whose claim the log no longer has would look new, and its
//! request would run again. A version 7 UUID contains its time; any other key
//! needs the header [`ISSUED_HEADER`]. The time is part of the key's identity:
//! the same text with another time is another key.

use std::time::Duration;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{KeyDigest, WorkspaceId};

use super::MAX_CLOCK_SKEW;

/// The header with the issue time of a key that is not a version 7 UUID.
pub const ISSUED_HEADER: &str = "Godwitpost-Key-Issued";

/// The maximum length of a key; limits header sizes and memory use.
pub const MAX_KEY_BYTES: usize = 255;

/// An idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// The digest of the workspace, the text and the issue time.
    pub digest: KeyDigest,
    /// When the caller issued it, in whole milliseconds.
    pub issued: Moment,
}

/// Why a key is refused before it is claimed.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// the Idempotency-Key is empty; send a version 7 UUID
    Empty,
    /// the Idempotency-Key is longer than 255 bytes; send a version 7 UUID
    TooLong,
    /// the Idempotency-Key does not say when it was issued; send a version 7 UUID, or add Godwitpost-Key-Issued with unix seconds
    MissingIssueTime,
    /// Godwitpost-Key-Issued is not a number of unix seconds; send digits only
    InvalidIssueTime,
    /// the key is older than the claim window; find out whether it ran before you send the request with a new key
    Expired,
    /// the key's time of issue lies in the future; set the caller's clock and send a new key
    Future,
}

impl std::error::Error for Error {}

impl Key {
    /// Parses a key from its header and the optional header with its issue time.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] for a key that is empty, too long or has no valid
    /// issue time.
    pub fn parse(workspace: WorkspaceId, text: &str, issued: Option<&str>) -> Result<Self, Error> {
        if text.is_empty() {
            return Err(Error::Empty);
        }
        if text.len() > MAX_KEY_BYTES {
            return Err(Error::TooLong);
        }
        let issued = issue_time(text, issued)?;
        Ok(Self {
            digest: digest(workspace, text, issued),
            issued,
        })
    }

    /// Checks by the instance's clock that the key is neither too old nor issued
    /// too far in the future. The final decision is made by the log's clock.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Expired`] or [`Error::Future`].
    pub fn check_issue_time(&self, now: Moment, window: Duration) -> Result<(), Error> {
        if self.issued + window < now {
            return Err(Error::Expired);
        }
        if self.issued > now + MAX_CLOCK_SKEW {
            return Err(Error::Future);
        }
        Ok(())
    }
}

fn issue_time(text: &str, issued: Option<&str>) -> Result<Moment, Error> {
    match issued {
        Some(seconds) => unix_seconds(seconds),
        None => uuid_time(text).ok_or(Error::MissingIssueTime),
    }
}

fn unix_seconds(text: &str) -> Result<Moment, Error> {
    // Twelve digits reach the year 33,658 and cannot overflow as milliseconds.
    if text.is_empty() || text.len() > 12 || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(Error::InvalidIssueTime);
    }
    text.parse()
        .map(Duration::from_secs)
        .map_err(|_not_a_number| Error::InvalidIssueTime)
}

// The first 48 bits of a version 7 UUID are its Unix time in milliseconds
// (RFC 9562, section 5.7).
fn uuid_time(text: &str) -> Option<Moment> {
    let bytes = text.as_bytes();
    if bytes.len() != 36 || bytes[14] != b'7' {
        return None;
    }
    let well_formed = bytes.iter().enumerate().all(|(i, b)| match i {
        8 | 13 | 18 | 23 => *b == b'-',
        _ => b.is_ascii_hexdigit(),
    });
    if !well_formed {
        return None;
    }
    let high = u64::from_str_radix(&text[..8], 16).ok()?;
    let low = u64::from_str_radix(&text[9..13], 16).ok()?;
    Some(Duration::from_millis(high << 16 | low))
}

fn digest(workspace: WorkspaceId, text: &str, issued: Moment) -> KeyDigest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&workspace.to_le_bytes());
    hasher.update(&issued.as_millis().to_le_bytes());
    hasher.update(text.as_bytes());
    let mut digest = KeyDigest::default();
    hasher.finalize_xof().fill(&mut digest);
    digest
}

#[cfg(test)]
mod tests;
