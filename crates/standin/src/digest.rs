//! Digests that identify the request that a response belongs to.
//!
//! Engines and plain services put the digest of the request's body into each
//! response, and engines derive each generated word from it. A checker compares
//! them with its own request to detect truncated and misrouted responses.

/// Returns the digest of a request's body: 32 hexadecimal digits.
#[must_use]
pub fn body_digest(body: &[u8]) -> String {
    format!("{:032x}", xxhash_rust::xxh3::xxh3_128(body))
}

/// Returns the word that an engine generates at a zero-based position for the
/// request with this digest.
#[must_use]
pub fn word(digest: &str, position: u32) -> String {
    let short = digest.get(..8).unwrap_or(digest);
    format!("{short}.{position} ")
}
