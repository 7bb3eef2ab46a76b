//! Random number generators, seeded by the operating system.
//!
//! Decision logic is passed a generator; they are created only here.

use rand::rngs::{StdRng, SysRng};
use rand::{SeedableRng as _, TryRng as _};

/// Returns a generator seeded by the operating system.
///
/// # Panics
///
/// Panics if the system provides no random bytes, because ids could collide.
pub(crate) fn generator() -> StdRng {
    let mut seed = [0; 32];
    SysRng
        .try_fill_bytes(&mut seed)
        .expect("the system provides random bytes");
    StdRng::from_seed(seed)
}
