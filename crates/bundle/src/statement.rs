//! The statement that an operator signs.

use godwitpost_types::id::Version;
use serde::{Deserialize, Serialize};

use crate::blob::Digest;
use crate::entry;
use crate::lineage::Operators;
use crate::schema::Bundle;

/// Separates signatures of statements from any other use of the same key.
const SIGNATURE_DOMAIN: &[u8] = b"godwitpost bundle statement 1\0";

/// A version and the digest of its entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The fleet that the version is for.
    pub fleet: String,
    /// One more than the version it replaces.
    pub version: Version,
    /// The root digest of the version it replaces; zero for the first.
    pub parent: Digest,
    /// The root digest of all entries after the change.
    pub root: Digest,
    /// The digest of the operators after the change.
    ///
    /// It lets an instance that starts from a peer's snapshot verify changes of
    /// keys from the root keys in its settings without the old versions.
    pub operators: Digest,
    /// The operator who signs.
    pub operator: String,
}

impl Statement {
    /// Returns the statement of `operator` about `bundle`, given the root
    /// digests of its parent and of the bundle.
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

    /// Returns the digest that identifies this statement.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&self.message())
    }
}
