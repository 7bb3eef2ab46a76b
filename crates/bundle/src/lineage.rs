//! Who may sign, and how that changed since the first version.
//!
//! A reader of the whole log checks each version against the operators of
//! its parent. An instance that starts from a peer's snapshot has no parent
//! to look at; it follows the *lineage*, the signed statements of just those
//! versions that changed the operators, from the root keys in its settings.

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

/// One version that changed the operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// Its statement.
    pub statement: Statement,
    /// The signature by an operator of its parent.
    pub signature: Signature,
    /// The operators after it.
    pub operators: Operators,
}

/// Who may sign the next version.
#[derive(Clone, Copy, Debug)]
pub enum Signers<'a> {
    /// Nothing is in force: the holder of a key that the settings name.
    Roots(&'a [Digest]),
    /// An operator of the version in force.
    Operators(&'a Operators),
}

impl Operators {
    /// Returns the operators that a bundle names.
    #[must_use]
    pub fn of(bundle: &Bundle) -> Self {
        let operators = bundle.operators.iter();
        Self(
            operators
                .map(|(name, operator)| (name.clone(), operator.key))
                .collect(),
        )
    }

    /// Returns the digest that statements carry.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&entry::encode(self).0)
    }
}

impl Signers<'_> {
    /// Returns whether one of them signed the statement.
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

/// Returns whether `statement` follows by `links` from `signers`, who may
/// sign the version after `version`.
///
/// Links up to `version` are what the caller has checked before.
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
