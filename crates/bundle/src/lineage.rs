//! Who may sign, and how that changed since the first version.
//!
//! A reader of the whole log verifies each version against the operators of
//! its parent. An instance that starts from a peer's snapshot has no parent
//! to verify against. It follows the *lineage* from the root keys in its
//! settings: the signed statements of only those versions that changed the
//! operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::blob::{Digest, Signature};
use crate::entry;
use crate::schema::Bundle;
use crate::signature;
use crate::statement::Statement;

/// Operators and their public keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operators(pub BTreeMap<String, Digest>);

/// A version that changed the operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// Its statement.
    pub statement: Statement,
    /// The signature by an operator of its parent.
    pub signature: Signature,
    /// The operators of this version.
    pub operators: Operators,
}

/// Who may sign the next version.
#[derive(Clone, Copy, Debug)]
pub enum Signers<'a> {
    /// Root keys from the settings, while nothing is in force.
    Roots(&'a [Digest]),
    /// The operators of the version in force.
    Operators(&'a Operators),
}

impl Operators {
    /// Returns the operators of a bundle.
    #[must_use]
    pub fn of(bundle: &Bundle) -> Self {
        let operators = bundle.operators.iter();
        Self(
            operators
                .map(|(name, operator)| (name.clone(), operator.key))
                .collect(),
        )
    }

    /// Returns the digest of the operators that statements contain.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&entry::encode(self).0)
    }
}

impl Signers<'_> {
    /// Returns whether one of the signers made this signature on the statement.
    #[must_use]
    pub fn verify(&self, statement: &Statement, signature: &Signature) -> bool {
        match self {
            Self::Roots(keys) => keys
                .iter()
                .any(|key| signature::verify(statement, signature, *key)),
            Self::Operators(operators) => operators
                .0
                .get(&statement.operator)
                .is_some_and(|key| signature::verify(statement, signature, *key)),
        }
    }
}

/// Returns whether `links` form a valid chain of signatures from `signers`,
/// who may sign the version after `version`, to `statement`.
///
/// Links up to `version` are skipped; the caller has verified them before.
#[must_use]
pub fn verify_chain(
    signers: Signers<'_>,
    version: u64,
    links: &[Link],
    statement: &Statement,
    signature: &Signature,
) -> bool {
    let mut signers = signers;
    let mut latest = version;
    for link in links.iter().filter(|link| link.statement.version > version) {
        let is_newer = link.statement.version > latest;
        let operators_match = link.operators.digest() == link.statement.operators;
        let signed = signers.verify(&link.statement, &link.signature);
        if !(is_newer && operators_match && signed) {
            return false;
        }
        latest = link.statement.version;
        signers = Signers::Operators(&link.operators);
    }
    match links.last() {
        Some(last) if last.statement == *statement => true,
        Some(last) => {
            statement.version > latest
                && statement.operators == last.statement.operators
                && signers.verify(statement, signature)
        }
        None => false,
    }
}
