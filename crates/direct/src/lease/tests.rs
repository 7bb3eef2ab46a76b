use std::time::Duration;

use super::Lease;

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A key is revoked while the log refuses this instance. Its callers must be
/// refused before the bound, although the instance never saw a newer version.
#[test]
fn keys_stop_working_before_the_bound() {
    let lease = Lease::new(Some(at(5_000)));
    assert!(lease.is_valid(Some(at(1_000)), at(5_600)));
    assert!(!lease.is_valid(Some(at(1_000)), at(5_800)));
}

#[test]
fn keys_are_refused_before_the_first_confirmation() {
    assert!(!Lease::new(None).is_valid(None, at(1)));
    assert!(Lease::new(None).is_valid(Some(at(0)), at(1_000_000)));
}
