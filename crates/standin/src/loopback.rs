//! Addresses that no other process of tests uses.

use std::net::Ipv4Addr;

/// The first two bytes of the addresses; the lowest six bits of the second are free.
const PREFIX: [u8; 2] = [127, 64];

/// Returns a loopback address of this process's own.
///
/// Tests keep ports free for instances that are down for a while. On an address that all
/// processes share, the instances of another run may take them meanwhile, and get the
/// requests.
#[must_use]
pub fn own_address() -> Ipv4Addr {
    // Process ids have 22 bits at most.
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(PREFIX[0], PREFIX[1] | (high & 0x3f), middle, low)
}
