//! Detects network paths to other availability zones that stall responses.
//!
//! Packet loss shows in streams: an event whose packet was lost arrives with the next
//! resend, 200 ms late, and all events behind it at the same moment. An engine that
//! pauses continues one event at a time. So a pause followed by a burst is caused by the
//! path, and a path that stalls is better avoided for a while, if endpoints over other
//! paths have room.
//!
//! All paths lose a packet now and then, some networks one in hundreds. Avoiding a path
//! helps only if another one loses less, and each prompt that leaves its path is read again
//! elsewhere. So the stalls of a path are weighed by a cumulative sum test against what the
//! best other path shows: one stall is enough where another path has had thousands of events
//! without any, two are needed before that is known, and more where all have some.
//!
//! Nothing is known about a path that isn't used. It is tried again after a while, and
//! avoided for twice as long each time that it proves no better.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::ZoneId;

/// How long a path is avoided at first, and at most.
const MIN_AVOIDANCE: Duration = Duration::from_secs(4);
const MAX_AVOIDANCE: Duration = Duration::from_secs(16);

/// If a path has to be avoided again within this time after its last avoidance, it is avoided
/// for twice as long.
const AVOIDANCE_MEMORY: Duration = Duration::from_secs(10);

/// The stall rate, per event, of a path that has to be avoided: every second stream of forty
/// events is late on it.
const LOSSY_STALL_RATE: f64 = 0.02;

/// The stall rate that is assumed of a path without observations, and the number of events
/// that it counts for.
const PRIOR_STALL_RATE: f64 = 0.000_1;
const PRIOR_EVENTS: f64 = 1_000.0;

/// The time in which the weight of an observation falls to 1/e. A path has some hundred events
/// a second, so a network that loses one packet in a thousand shows a stall every ten seconds.
const OBSERVATION_DECAY: Duration = Duration::from_mins(2);

/// The log-likelihood ratio between a path that has to be avoided and one that is as good as
/// the best other, above which it is avoided: 1,000 to 1.
const AVOIDANCE_THRESHOLD: f64 = 6.9;

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
    // Events and stalls, decayed by their age at `observed_at`.
    events: f64,
    stalls: f64,
    observed_at: Moment,
    // The cumulative log-likelihood ratio, never below zero.
    evidence: f64,
}

impl Path {
    fn decay(&mut self, now: Moment) {
        let age = since(now, self.observed_at).as_secs_f64();
        let weight = (-age / OBSERVATION_DECAY.as_secs_f64()).exp();
        self.events *= weight;
        self.stalls *= weight;
        self.observed_at = self.observed_at.max(now);
    }

    fn stall_rate(&self) -> f64 {
        let stalls = PRIOR_STALL_RATE.mul_add(PRIOR_EVENTS, self.stalls);
        stalls / (PRIOR_EVENTS + self.events)
    }
}

impl Paths {
    /// Records that `events` events of responses from endpoints in `zone` arrived since the
    /// last stall.
    pub fn record_events(&mut self, zone: ZoneId, events: u32, now: Moment) {
        let best_other = self.best_other_stall_rate(zone);
        let path = self.paths.entry(zone).or_default();
        path.decay(now);
        let events = f64::from(events);
        path.events += events;
        let per_event = ((1.0 - LOSSY_STALL_RATE) / (1.0 - best_other))
            .ln()
            .min(0.0);
        path.evidence = (path.evidence + events * per_event).max(0.0);
    }

    // Returns the lowest stall rate, per event, of the paths to other zones than `zone`. It is
    // at most that of a path to avoid, where a stall then adds no evidence.
    fn best_other_stall_rate(&self, zone: ZoneId) -> f64 {
        let others = self.paths.iter().filter(|(other, _)| **other != zone);
        others
            .map(|(_, path)| path.stall_rate())
            .reduce(f64::min)
            .unwrap_or(PRIOR_STALL_RATE)
            .min(LOSSY_STALL_RATE)
    }

    /// Records that a response from an endpoint in `zone` was stalled on its path;
    /// returns whether the path is avoided from now on.
    pub fn record_stall(&mut self, zone: ZoneId, now: Moment) -> bool {
        let best_other = self.best_other_stall_rate(zone);
        let path = self.paths.entry(zone).or_default();
        path.decay(now);
        path.stalls += 1.0;
        if now < path.avoided_until {
            return false;
        }
        path.evidence += (LOSSY_STALL_RATE / best_other).ln();
        if path.evidence < AVOIDANCE_THRESHOLD {
            return false;
        }
        path.evidence = 0.0;
        let is_repeated =
            path.avoided_for > Duration::ZERO && since(now, path.avoided_until) < AVOIDANCE_MEMORY;
        path.avoided_for = if is_repeated {
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
