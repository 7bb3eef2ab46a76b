//! The log that all instances read, with a link and a rate that they share.

use std::time::Duration;

use godwitpost_types::clock::Moment;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::faults::{Faults, LOSS_TIME, LOST_FRACTION, SLOW_FACTOR};

/// How long a call takes at least.
const LATENCY: Duration = Duration::from_millis(4);

/// How long an instance waits for an answer beyond the wait that it asked for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Bytes a second that the log's link carries, and calls a second that are not turned away.
const LINK_RATE: f64 = 80e6;
const CALLS_PER_SEC: f64 = 16_000.0;

/// The size of an entry in a list, as the log encodes it.
pub(crate) const ENTRY_BYTES: usize = 330;

/// Entries on a page.
pub(crate) const PAGE_ENTRIES: usize = 200;

/// The size of the configuration.
pub(crate) const POLICY_BYTES: usize = 100_000;

/// The log.
#[derive(Debug)]
pub(crate) struct Log {
    link_free_at: Moment,
    // Calls that may still be made now.
    calls_left: f64,
    counted_at: Moment,
    calls: usize,
}

/// The end of a call, at the instance that made it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reply {
    pub(crate) at: Moment,
    pub(crate) is_ok: bool,
}

impl Log {
    pub(crate) const fn new() -> Self {
        Self {
            link_free_at: Moment::ZERO,
            calls_left: CALLS_PER_SEC,
            counted_at: Moment::ZERO,
            calls: 0,
        }
    }

    pub(crate) const fn calls(&self) -> usize {
        self.calls
    }

    /// Answers a call with this many bytes.
    pub(crate) fn call(
        &mut self,
        bytes: usize,
        turned_away: bool,
        faults: Faults,
        now: Moment,
        rng: &mut ChaCha8Rng,
    ) -> Reply {
        self.calls += 1;
        let elapsed = (now.saturating_sub(self.counted_at)).as_secs_f64();
        self.counted_at = now;
        self.calls_left = (self.calls_left + elapsed * CALLS_PER_SEC).min(CALLS_PER_SEC) - 1.0;
        let latency = LATENCY * if faults.slow { SLOW_FACTOR } else { 1 };
        if turned_away || self.calls_left < 0.0 {
            self.calls_left = self.calls_left.max(0.0);
            return Reply {
                at: now + latency,
                is_ok: false,
            };
        }
        let size = u32::try_from(bytes).map_or(f64::MAX, f64::from);
        let carried = Duration::from_secs_f64(size / LINK_RATE);
        self.link_free_at = self.link_free_at.max(now) + carried;
        let at = self.link_free_at + latency;
        let is_lost = faults.loses && now < LOSS_TIME && rng.random_bool(LOST_FRACTION);
        if is_lost || at > now + ANSWER_TIMEOUT {
            return Reply {
                at: now + ANSWER_TIMEOUT,
                is_ok: false,
            };
        }
        Reply { at, is_ok: true }
    }
}
