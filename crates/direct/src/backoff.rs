//! The pauses after calls to the log that failed.

use std::time::Duration;

/// The pause after a failed call, before jitter. It doubles up to
/// `MAX_BACKOFF`, or up to `MAX_BACKOFF_WITH_PEERS` at an instance that polls
/// peers meanwhile.
///
/// A lost answer is soon requested again, and a log service in trouble gets at
/// most one call a second from each instance, or two from those that serve
/// peers. They notice the log's return within 0.6 s, which the grace period of
/// expired entries relies on.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF_WITH_PEERS: Duration = Duration::from_secs(2);

/// Returns the pause, before jitter, after a call that failed after `failures`
/// others in a row. `has_peers` tells whether the instance polls peers meanwhile
/// and none of them polls it.
#[must_use]
pub fn pause(failures: u32, has_peers: bool) -> Duration {
    let longest = if has_peers {
        MAX_BACKOFF_WITH_PEERS
    } else {
        MAX_BACKOFF
    };
    (INITIAL_BACKOFF * 2_u32.pow(failures.min(8))).min(longest)
}
