//! Endpoints that begin no responses.
//!
//! An endpoint reports its load with the head of each response. While it reads a long prompt it
//! begins none, so nobody learns its load, and the requests that all instances send it pile up.

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};

/// How long an endpoint counts as silent after it was found to be. Long enough for those that
/// wait for it to find it again.
const SILENCE_LIFETIME: Duration = Duration::from_millis(400);

/// The shortest time between two messages that an endpoint is silent, of one instance.
pub const SILENCE_TOLD_INTERVAL: Duration = Duration::from_millis(200);

/// A response is late if it takes this many times as long to begin as others of its service.
const LATE_HEAD_FACTOR: f64 = 2.0;

/// The shortest time after which a response is late. A short prompt's first event takes some
/// 30 ms.
const MIN_LATE_HEAD: Duration = Duration::from_millis(100);

/// The time that responses are assumed to take to begin before any has.
const DEFAULT_HEAD_SECONDS: f64 = 0.25;

/// The weight of a response in the mean time that responses take to begin. One of many
/// instances gets a few a second, so the mean covers some ten seconds.
const HEAD_TIME_SMOOTHING: f64 = 0.05;

/// When an endpoint was last found to begin no responses.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Silence {
    at: Option<Moment>,
}

impl Silence {
    /// Records that it was found at `at`. Returns whether others have to be told.
    pub(super) fn record(&mut self, at: Moment) -> bool {
        let before = self.at;
        self.at = before.max(Some(at));
        before.is_none_or(|before| since(at, before) >= SILENCE_TOLD_INTERVAL)
    }

    /// Returns whether it lasts at `now`, after the last report at `reported_at`.
    pub(super) fn lasts(self, reported_at: Option<Moment>, now: Moment) -> bool {
        self.at > reported_at && self.at.is_some_and(|at| since(now, at) < SILENCE_LIFETIME)
    }
}

/// How long responses of a service take to begin.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeadTimes {
    mean_seconds: f64,
}

impl Default for HeadTimes {
    fn default() -> Self {
        Self {
            mean_seconds: DEFAULT_HEAD_SECONDS,
        }
    }
}

impl HeadTimes {
    pub(super) fn add(&mut self, time: Duration) {
        self.mean_seconds += (time.as_secs_f64() - self.mean_seconds) * HEAD_TIME_SMOOTHING;
    }

    /// Returns the time after which a response is late.
    pub(super) fn late(self) -> Duration {
        Duration::from_secs_f64(self.mean_seconds * LATE_HEAD_FACTOR).max(MIN_LATE_HEAD)
    }
}

#[cfg(test)]
mod tests;
