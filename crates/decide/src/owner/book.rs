//! What an owner keeps on one of its endpoints.

use std::collections::VecDeque;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::Report;
use godwitpost_types::id::Incarnation;

use super::AttemptId;
use crate::health::{Access, Machine};
use crate::queue::Ticket;

/// How far back the owner's own counts are kept, to compare with reports.
const KEPT: Duration = Duration::from_secs(10);

/// How far a report's moment may be off the owner's clock.
///
/// A request is counted here before it reaches the endpoint, and clocks
/// differ by some milliseconds; the greatest own count about that moment is
/// what the report may contain of ours.
const SKEW: Duration = Duration::from_millis(50);

/// Evictions that the horizon is taken from.
const EVICTED: usize = 8;

/// Whether an endpoint is set aside for one suspect request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Solo {
    /// It takes requests side by side.
    Off,
    /// It takes no more until it is idle, for a waiting suspect.
    Draining(Ticket),
    /// It runs a suspect alone.
    Running(AttemptId),
}

/// What an owner keeps on one of its endpoints.
#[derive(Debug)]
pub struct Book {
    /// Its health.
    pub health: Machine,
    /// Estimated work that this owner has running on it, in tokens.
    pub work: u64,
    /// Requests that this owner has running on it.
    pub requests: u32,
    /// Whether it is set aside for a suspect.
    pub solo: Solo,
    /// When the last attempt broke on it without a sign of life since.
    pub broke: Option<Moment>,
    foreign: (u32, u64),
    reported: Moment,
    past: VecDeque<(Moment, u32)>,
    evicted: VecDeque<Moment>,
}

impl Book {
    /// Returns the book of an idle endpoint.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            health: Machine::new(incarnation),
            work: 0,
            requests: 0,
            solo: Solo::Off,
            broke: None,
            foreign: (0, 0),
            reported: Moment::ZERO,
            past: VecDeque::new(),
            evicted: VecDeque::new(),
        }
    }

    /// Returns all work on the endpoint: this owner's and what a report
    /// showed beyond it.
    #[must_use]
    pub const fn load(&self) -> u64 {
        self.work + self.foreign.1
    }

    /// Returns all requests on the endpoint.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.requests + self.foreign.0
    }

    /// Returns whether it may get one more request side by side with others,
    /// `slots` of which it runs at once.
    #[must_use]
    pub fn open(&self, slots: u32) -> bool {
        let slots = match self.health.access() {
            Access::Full => slots,
            Access::Trial => 1,
            Access::None => 0,
        };
        self.solo == Solo::Off && self.running() < slots
    }

    /// Counts a request that starts.
    pub fn begin(&mut self, now: Moment, work: u64) {
        self.work += work;
        self.requests += 1;
        self.remember(now);
    }

    /// Counts a request that ended.
    pub fn end(&mut self, now: Moment, work: u64) {
        self.work = self.work.saturating_sub(work);
        self.requests = self.requests.saturating_sub(1);
        self.remember(now);
    }

    /// Takes the endpoint to carry `work` of others until a report that was
    /// taken after `now`.
    pub const fn presume(&mut self, now: Moment, work: u64) {
        self.foreign = (0, work);
        self.reported = now;
    }

    /// Takes in a report: what it shows beyond this owner's own count at its
    /// moment is another owner's, who sees a different list of instances.
    pub fn compare(&mut self, report: &Report) {
        if report.taken <= self.reported {
            return;
        }
        self.reported = report.taken;
        let others = report.requests.saturating_sub(self.own_about(report.taken));
        let each = report.work / u64::from(report.requests.max(1));
        self.foreign = (others, each * u64::from(others));
    }

    /// Notes that a chat which last ran at `seen` was evicted.
    pub fn evicted(&mut self, seen: Moment) {
        self.evicted.push_back(seen);
        if self.evicted.len() > EVICTED {
            self.evicted.pop_front();
        }
    }

    /// Returns the moment before which chats that ran here are evicted.
    ///
    /// It is the earliest of the last few evictions', so that one out of
    /// order moves nothing.
    #[must_use]
    pub fn horizon(&self) -> Moment {
        if self.evicted.len() < EVICTED {
            return Moment::ZERO;
        }
        self.evicted.iter().min().copied().unwrap_or(Moment::ZERO)
    }

    // The greatest own count within the skew about a moment.
    fn own_about(&self, moment: Moment) -> u32 {
        let (from, to) = (moment.saturating_sub(SKEW), moment + SKEW);
        let before = self.past.iter().rev().find(|(at, _)| *at < from);
        let within = self.past.iter().filter(|(at, _)| *at >= from && *at <= to);
        let counts = before.into_iter().chain(within).map(|(_, count)| *count);
        counts.max().unwrap_or(0)
    }

    fn remember(&mut self, now: Moment) {
        self.past.push_back((now, self.requests));
        while self.past.len() > 1 && since(now, self.past[1].0) > KEPT {
            self.past.pop_front();
        }
    }
}
