//! Ed25519 keys.

use std::fmt;

use ed25519_dalek::{SigningKey, VerifyingKey};
use rand::CryptoRng;

use crate::blob::Digest;

/// A private key; its `Debug` output shows only the public key.
#[derive(Clone)]
pub struct PrivateKey(pub(crate) SigningKey);

impl PrivateKey {
    /// Generates a random key.
    pub fn generate(rng: &mut impl CryptoRng) -> Self {
        Self(SigningKey::generate(rng))
    }

    /// Returns the key of a 32-byte seed.
    #[must_use]
    pub fn from_seed(seed: &[u8; 32]) -> Self {
        Self(SigningKey::from_bytes(seed))
    }

    /// Returns the seed, which is the secret.
    #[must_use]
    pub fn seed(&self) -> [u8; 32] {
        self.0.to_bytes()
    }

    /// Returns the public key.
    #[must_use]
    pub fn public(&self) -> Digest {
        Digest(self.0.verifying_key().to_bytes())
    }
}

impl fmt::Debug for PrivateKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Private(redacted, public {})", self.public())
    }
}

/// Returns whether `key` is a public key that signatures can be verified with.
///
/// Weak keys are rejected: a signature by one may be valid for many messages.
#[must_use]
pub fn valid(key: Digest) -> bool {
    VerifyingKey::from_bytes(&key.0).is_ok_and(|key| !key.is_weak())
}
