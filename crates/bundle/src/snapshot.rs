//! Snapshots and updates of the bundle in force, as peers and checkpoints
//! carry them.

use displaydoc::Display;
use godwitpost_types::clock::Moment;
use godwitpost_types::id::{Offset, Version};
use serde::{Deserialize, Serialize};

use crate::blob::{Blob, Digest, Signature};
use crate::entry::{self, Entries};
use crate::lineage::Link;
use crate::statement::Statement;

/// The bundle in force with the signatures that prove it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The first offset of the stream that the snapshot does not cover.
    pub next: Offset,
    /// Where a reader with no state has to start.
    pub anchor: Anchor,
    /// The signed statement of the version in force.
    pub statement: Statement,
    /// Its signature.
    pub signature: Signature,
    /// The versions that changed the operators, oldest first.
    pub lineage: Vec<Link>,
    /// All entries.
    pub entries: Entries,
}

/// The oldest record that a reader with no state needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Anchor {
    /// Its offset: the first one that the latest checkpoint does not cover.
    pub from: Offset,
    /// When it was appended, by the log's clock.
    pub since: Moment,
}

/// The latest changes, for a peer that is a few versions behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The first offset that the update does not cover.
    pub next: Offset,
    /// Where a reader with no state has to start.
    pub anchor: Anchor,
    /// The digest of the statement in force after the changes.
    pub statement: Digest,
    /// Encoded [`Record::Change`](crate::record::Record)s, oldest first.
    pub changes: Vec<Blob>,
}

/// Why bytes are not a snapshot or update.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the snapshot is ill-formed; ask another instance or update this program
    IllFormed,
}

impl std::error::Error for Error {}

impl Snapshot {
    /// Returns the version in force.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.statement.version
    }

    /// Encodes the snapshot.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        entry::encode(self).0
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`Error::IllFormed`] if the bytes are not a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        rmp_serde::from_slice(bytes).map_err(|_cause| Error::IllFormed)
    }
}
