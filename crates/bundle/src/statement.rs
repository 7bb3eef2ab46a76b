//! What an operator signs.

use godwitpost_types::id::Version;
use serde::{Deserialize, Serialize};

use crate::blob::Digest;
use crate::entry;
use crate::lineage::Operators;
use crate::schema::Bundle;

/// Parts signatures of statements from any other use of the same key.
const SIGNATURE_DOMAIN: &[u8] = b"godwitpost bundle statement 1\0";

/// One version's claim on what the entries are after it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The fleet that it is for.
    pub fleet: String,
    /// One more than the version it replaces.
    pub version: Version,
    /// The root digest of the version it replaces; zero for the first.
    pub parent: Digest,
    /// The root digest of all entries after the change.
    pub root: Digest,
    /// The digest of the operators after the change.
    ///
    /// It lets an instance that starts from a peer's word follow the change
    /// of keys from the settings' root keys without the old versions.
    pub operators: Digest,
    /// Who signs.
    pub operator: String,
}

impl Statement {
    /// Returns the statement on `bundle` by `operator`, given its parent's
    /// root digest and its own.
    #[must_use]
    pub fn new(bundle: &Bundle, parent: Digest, root: Digest, operator: &str) -> Self {
        Self {
            fleet: bundle.fleet.name.clone(),
            version: bundle.version,
            parent,
            root,
            operators: Operators::of(bundle).digest(),
            operator: operator.to_owned(),
        }
    }

    /// Returns the bytes that are signed.
    #[must_use]
    pub fn message(&self) -> Vec<u8> {
        let mut message = SIGNATURE_DOMAIN.to_vec();
        message.extend(entry::encode(self).0);
        message
    }

    /// Returns the digest that stands for this statement.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&self.message())
    }
}
