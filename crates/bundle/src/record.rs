//! Records of the `bundles` stream.

#[cfg(test)]
mod tests;

use displaydoc::Display;
use godwitpost_types::id::Offset;
use serde::{Deserialize, Serialize};

use crate::blob::{Blob, Digest, Signature};
use crate::delta::Delta;
use crate::entry;
use crate::key::PrivateKey;
use crate::root::Tree;
use crate::schema::Bundle;
use crate::signature;
use crate::snapshot::Snapshot;
use crate::statement::Statement;

/// The name of the stream on the log service.
pub const STREAM: &str = "bundles";

/// Larger snapshots are split into several records. The log accepts a single
/// record of this size in one round trip without delaying others.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;

/// Space reserved for the encoding around the bytes of a part.
const PART_OVERHEAD_BYTES: usize = 256;

/// A record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A new version.
    Change(Change),
    /// A part of a checkpoint.
    Checkpoint(Part),
}

/// A new version: its changes and the signed statement about the result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The signed statement.
    pub statement: Statement,
    /// Its signature by an operator of the parent.
    pub signature: Signature,
    /// Entries put and removed.
    pub delta: Delta,
}

/// A part of an encoded snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The digest of the whole snapshot.
    pub whole: Digest,
    /// The index of this part; the first is 0.
    pub index: u32,
    /// The number of parts.
    pub count: u32,
    /// The bytes of this part.
    pub bytes: Blob,
}

/// Why bytes are not a record.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the record is ill-formed; write records with godwitpost-bundle only
    IllFormed,
    /// the record has {0} bytes, above {1}; roll the change in several versions
    TooLarge(usize, usize),
}

impl std::error::Error for Error {}

impl Change {
    /// Returns the signed change from the entries in force to `bundle`.
    #[must_use]
    pub fn sign(parent: Option<&Tree>, bundle: &Bundle, operator: &str, key: &PrivateKey) -> Self {
        let empty = Tree::new(entry::Entries::new());
        let entries = entry::split(bundle);
        let delta = Delta::between(parent.unwrap_or(&empty).entries(), &entries);
        let parent = parent.map_or(Digest::ZERO, Tree::root);
        let root = crate::root::of(&entries);
        let statement = Statement::new(bundle, parent, root, operator);
        Self {
            signature: signature::sign(&statement, key),
            statement,
            delta,
        }
    }
}

impl Record {
    /// Returns the bytes to append.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLarge`] for more than [`MAX_RECORD_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes = entry::encode(self).0;
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(Error::TooLarge(bytes.len(), MAX_RECORD_BYTES));
        }
        Ok(bytes)
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns [`Error::IllFormed`] if the bytes are not a record, and
    /// [`Error::TooLarge`] for more than [`MAX_RECORD_BYTES`].
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(Error::TooLarge(bytes.len(), MAX_RECORD_BYTES));
        }
        rmp_serde::from_slice(bytes).map_err(|_cause| Error::IllFormed)
    }
}

/// Splits a snapshot into checkpoint records, to be appended in this order.
#[must_use]
pub fn checkpoint(snapshot: &Snapshot) -> Vec<Record> {
    let bytes = snapshot.encode();
    let whole = Digest::of(&bytes);
    let chunks = bytes.chunks(MAX_RECORD_BYTES - PART_OVERHEAD_BYTES);
    let count = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    (0..)
        .zip(chunks)
        .map(|(index, chunk)| {
            Record::Checkpoint(Part {
                whole,
                index,
                count,
                bytes: Blob(chunk.to_vec()),
            })
        })
        .collect()
}

/// A change that was read from the log but not folded yet.
#[derive(Clone, Debug)]
pub struct BufferedChange {
    /// Its offset.
    pub offset: Offset,
    /// The encoded change.
    pub bytes: Blob,
}
