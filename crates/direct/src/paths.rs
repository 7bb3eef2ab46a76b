//! Detects network paths to other availability zones that stall responses.
//!
//! Packet loss shows in streams: an event whose packet was lost arrives with the next
//! resend, 200 ms late, and all events behind it at the same moment. An engine that
//! pauses continues one event at a time. So a pause followed by a burst is caused by the
//! path, and a path that stalls is better avoided for a while, if endpoints over other
//! paths have room.
//!
//! Nothing is known about a path that isn't used. It is tried again after a while, and
//! avoided for twice as long each time that it proves no better.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::ZoneId;

/// How long a path is avoided at first, and at most. One stalled response is enough: a
/// healthy link loses so few packets that a path is avoided without need once in minutes,
/// while on a link that loses three packets in a hundred every second stream is late.
const MIN_AVOIDANCE: Duration = Duration::from_secs(4);
const MAX_AVOIDANCE: Duration = Duration::from_secs(16);

/// How long a path has to go without a stall for its next one to count as the first.
const STALL_MEMORY: Duration = Duration::from_secs(10);

/// The network paths from this instance, by zone.
#[derive(Debug, Default)]
pub struct Paths {
    paths: BTreeMap<ZoneId, Path>,
}

#[derive(Debug, Default)]
struct Path {
    // When the path is used again, and for how long it was avoided.
    avoided_until: Moment,
    avoided_for: Duration,
}

impl Paths {
    /// Records that a response from an endpoint in `zone` was stalled on its path;
    /// returns whether the path is avoided from now on.
    pub fn record_stall(&mut self, zone: ZoneId, now: Moment) -> bool {
        let path = self.paths.entry(zone).or_default();
        if now < path.avoided_until {
            return false;
        }
        let again =
            path.avoided_for > Duration::ZERO && since(now, path.avoided_until) < STALL_MEMORY;
        path.avoided_for = if again {
            (path.avoided_for * 2).min(MAX_AVOIDANCE)
        } else {
            MIN_AVOIDANCE
        };
        path.avoided_until = now + path.avoided_for;
        true
    }

    /// Returns whether the path to endpoints in `zone` is not avoided.
    #[must_use]
    pub fn is_clear(&self, zone: ZoneId, now: Moment) -> bool {
        self.paths
            .get(&zone)
            .is_none_or(|path| now >= path.avoided_until)
    }
}

/// Detects from the arrival times of a stream's events that they were stalled.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    // The number of events since the last pause, if they arrived in a burst.
    burst: u32,
}

/// The minimum pause caused by a resend: it arrives 200 ms after the lost packet, which
/// followed the previous event immediately.
const MIN_STALL_PAUSE: Duration = Duration::from_millis(150);

/// The number of events in the burst after a stall, and the maximum interval between
/// them. An engine produces one event every 10 to 30 ms.
const STALL_BURST_EVENTS: u32 = 3;
const MAX_BURST_INTERVAL: Duration = Duration::from_millis(4);

impl StallDetector {
    /// Records an event that arrived `interval` after the previous one; returns whether
    /// it shows that events were stalled.
    pub fn observe_event(&mut self, interval: Duration) -> bool {
        self.burst = match self.burst {
            _ if interval >= MIN_STALL_PAUSE => 1,
            0 => 0,
            _ if interval > MAX_BURST_INTERVAL => 0,
            burst => burst + 1,
        };
        self.burst == STALL_BURST_EVENTS
    }
}

#[cfg(test)]
mod tests;
