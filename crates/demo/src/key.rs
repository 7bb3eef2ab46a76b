//! Idempotency keys as callers draw them: version 7 UUIDs.
//!
//! The first 48 bits are the time of issue in milliseconds (RFC 9562, section
//! 5.7), by which the fleet tells a new key from one it has forgotten.

use std::time::Duration;

use rand::{Rng, RngExt};

#[cfg(test)]
mod tests;

/// Returns a key issued at a time since the Unix epoch.
pub fn draw(issued: Duration, rng: &mut impl Rng) -> String {
    const VERSION: u128 = 0x7 << 76;
    const VARIANT: u128 = 0b10 << 62;
    const RANDOM: u128 = 0x0000_0000_0000_0fff_3fff_ffff_ffff_ffff;
    let time = (issued.as_millis() & 0xffff_ffff_ffff) << 80;
    let bits = time | VERSION | VARIANT | (rng.random::<u128>() & RANDOM);
    let hex = format!("{bits:032x}");
    let parts = [
        &hex[..8],
        &hex[8..12],
        &hex[12..16],
        &hex[16..20],
        &hex[20..],
    ];
    parts.join("-")
}
