//! Signatures of statements.

use ed25519_dalek::{Signer, VerifyingKey};

use crate::blob::{Digest, Signature};
use crate::key::PrivateKey;
use crate::statement::Statement;

/// Signs a statement.
#[must_use]
pub fn sign(statement: &Statement, key: &PrivateKey) -> Signature {
    Signature(key.0.sign(&statement.message()).to_bytes())
}

/// Returns whether `signature` on `statement` was made with `key`.
///
/// Strict verification rejects weak keys and malleable signatures, so that all
/// instances agree on whether a signature is valid.
#[must_use]
pub fn verify(statement: &Statement, signature: &Signature, key: Digest) -> bool {
    let signature = ed25519_dalek::Signature::from_bytes(&signature.0);
    VerifyingKey::from_bytes(&key.0)
        .is_ok_and(|key| key.verify_strict(&statement.message(), &signature).is_ok())
}
