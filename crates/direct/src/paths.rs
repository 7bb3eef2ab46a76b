//! Which ways to other availability zones hold up what is sent over them.
//!
//! Links that lose packets show in streams: an event whose packet was lost comes
//! with the next resend, 200 ms late, and all those behind it at the same moment.
//! An engine that pauses goes on one event at a time. So a pause with a burst at
//! its end is the way's, and of a way with several of them within a second the
//! next streams are better kept off, if endpoints over other ways have room.
//!
//! Nothing is known of a way that isn't used. It is tried again after a while,
//! and left for twice as long each time that it proves no better.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::ZoneId;

/// How long a way is left at first, and at the longest. One answer that was held
/// up is enough: a sound link loses so few packets that a way is left for nothing
/// once in minutes, while of a link that loses three in a hundred every second
/// stream is late.
const LEFT: Duration = Duration::from_secs(4);
const LONGEST: Duration = Duration::from_secs(16);

/// The time after which a way that held nothing up counts as any other.
const FORGIVEN: Duration = Duration::from_secs(10);

/// What is known of the ways from this instance.
#[derive(Debug, Default)]
pub struct Paths {
    paths: BTreeMap<ZoneId, Path>,
}

#[derive(Debug, Default)]
struct Path {
    // Until when it is left, and for how long that was.
    until: Moment,
    time: Duration,
}

impl Paths {
    /// Takes in that an answer from an endpoint in `zone` was held up on its way;
    /// returns whether the way is left from now on.
    pub fn record_stall(&mut self, zone: ZoneId, now: Moment) -> bool {
        let path = self.paths.entry(zone).or_default();
        if now < path.until {
            return false;
        }
        let again = path.time > Duration::ZERO && since(now, path.until) < FORGIVEN;
        path.time = if again {
            (path.time * 2).min(LONGEST)
        } else {
            LEFT
        };
        path.until = now + path.time;
        true
    }

    /// Returns whether the way to endpoints in `zone` is clear.
    #[must_use]
    pub fn is_clear(&self, zone: ZoneId, now: Moment) -> bool {
        self.paths.get(&zone).is_none_or(|path| now >= path.until)
    }
}

/// Finds out from when a stream's events come whether they were held up.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    // Events since the last pause, if they came at once.
    burst: u32,
}

/// The shortest pause that a resend makes: it comes 200 ms after the packet that
/// was lost, which followed the last event at once.
const PAUSE: Duration = Duration::from_millis(150);

/// Events that come at once when a way is through again, and how soon after each
/// other. An engine makes one every 10 to 30 ms.
const BURST: u32 = 3;
const AT_ONCE: Duration = Duration::from_millis(4);

impl StallDetector {
    /// Takes in an event that came so long after the one before; returns whether
    /// it shows that they were held up.
    pub fn observe_event(&mut self, after: Duration) -> bool {
        self.burst = match self.burst {
            _ if after >= PAUSE => 1,
            0 => 0,
            _ if after > AT_ONCE => 0,
            burst => burst + 1,
        };
        self.burst == BURST
    }
}

#[cfg(test)]
mod tests;
