//! The state that an owner keeps for one of its endpoints.

use std::collections::VecDeque;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::Report;
use godwitpost_types::id::Incarnation;

use super::AttemptId;
use crate::health::{Access, Machine};
use crate::queue::Ticket;

/// How long the owner's own request counts are kept, to compare them with
/// reports.
const REQUEST_HISTORY: Duration = Duration::from_secs(10);

/// Maximum difference between a report's time and the owner's clock.
///
/// A request is counted here before it reaches the endpoint, and clocks differ
/// by some milliseconds. The highest own count within this distance of the
/// report's time is what the report may include of this owner's requests.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(50);

/// Number of recent evictions that the eviction horizon is computed from.
const EVICTION_SAMPLES: usize = 8;

/// Whether an endpoint is reserved for one suspect request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Isolation {
    /// It runs requests concurrently.
    Off,
    /// It accepts no new requests until it is idle; the suspect with this
    /// ticket waits for it.
    Draining(Ticket),
    /// It runs a suspect and nothing else.
    Running(AttemptId),
}

/// The state that an owner keeps for one of its endpoints.
#[derive(Debug)]
pub struct EndpointState {
    /// The endpoint's health.
    pub health: Machine,
    /// Estimated work of this owner's running requests, in tokens.
    pub work: u64,
    /// Number of this owner's running requests.
    pub requests: u32,
    /// Whether the endpoint is reserved for a suspect.
    pub isolation: Isolation,
    /// When the last attempt's connection broke, unless the endpoint has been
    /// seen alive since.
    pub broken_at: Option<Moment>,
    others: (u32, u64),
    last_report: Moment,
    request_history: VecDeque<(Moment, u32)>,
    evictions: VecDeque<Moment>,
}

impl EndpointState {
    /// Returns the state of an idle endpoint.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            health: Machine::new(incarnation),
            work: 0,
            requests: 0,
            isolation: Isolation::Off,
            broken_at: None,
            others: (0, 0),
            last_report: Moment::ZERO,
            request_history: VecDeque::new(),
            evictions: VecDeque::new(),
        }
    }

    /// Returns all work on the endpoint: this owner's work plus what a report
    /// showed beyond it.
    #[must_use]
    pub const fn load(&self) -> u64 {
        self.work + self.others.1
    }

    /// Returns the number of all requests on the endpoint.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.requests + self.others.0
    }

    /// Returns whether the endpoint accepts one more concurrent request when
    /// it runs `slots` requests at once.
    #[must_use]
    pub fn accepts(&self, slots: u32) -> bool {
        let slots = match self.health.access() {
            Access::Full => slots,
            Access::Trial => 1,
            Access::None => 0,
        };
        self.isolation == Isolation::Off && self.running() < slots
    }

    /// Counts a request that starts to run.
    pub fn add_request(&mut self, now: Moment, work: u64) {
        self.work += work;
        self.requests += 1;
        self.record_request_count(now);
    }

    /// Counts a request that ended.
    pub fn remove_request(&mut self, now: Moment, work: u64) {
        self.work = self.work.saturating_sub(work);
        self.requests = self.requests.saturating_sub(1);
        self.record_request_count(now);
    }

    /// Assumes that the endpoint carries `work` of other owners until a report
    /// taken after `now` arrives.
    pub const fn assume_others_work(&mut self, now: Moment, work: u64) {
        self.others = (0, work);
        self.last_report = now;
    }

    /// Applies a report. Requests beyond this owner's own count at the
    /// report's time belong to another owner, which has a different list of
    /// instances.
    pub fn apply_report(&mut self, report: &Report) {
        if report.taken <= self.last_report {
            return;
        }
        self.last_report = report.taken;
        let others = report
            .requests
            .saturating_sub(self.max_own_requests_near(report.taken));
        let each = report.work / u64::from(report.requests.max(1));
        self.others = (others, each * u64::from(others));
    }

    /// Records the eviction of a chat that last ran at `seen`.
    pub fn record_eviction(&mut self, seen: Moment) {
        self.evictions.push_back(seen);
        if self.evictions.len() > EVICTION_SAMPLES {
            self.evictions.pop_front();
        }
    }

    /// Returns the time at or before which chats that ran here count as
    /// evicted.
    ///
    /// This is the earliest `seen` of the last few evictions, so a single
    /// eviction out of order does not move it.
    #[must_use]
    pub fn eviction_horizon(&self) -> Moment {
        if self.evictions.len() < EVICTION_SAMPLES {
            return Moment::ZERO;
        }
        self.evictions.iter().min().copied().unwrap_or(Moment::ZERO)
    }

    // Returns the highest own count within the clock skew of `moment`.
    fn max_own_requests_near(&self, moment: Moment) -> u32 {
        let (from, to) = (
            moment.saturating_sub(MAX_CLOCK_SKEW),
            moment + MAX_CLOCK_SKEW,
        );
        let before = self.request_history.iter().rev().find(|(at, _)| *at < from);
        let within = self
            .request_history
            .iter()
            .filter(|(at, _)| *at >= from && *at <= to);
        let counts = before.into_iter().chain(within).map(|(_, count)| *count);
        counts.max().unwrap_or(0)
    }

    fn record_request_count(&mut self, now: Moment) {
        self.request_history.push_back((now, self.requests));
        while self.request_history.len() > 1
            && since(now, self.request_history[1].0) > REQUEST_HISTORY
        {
            self.request_history.pop_front();
        }
    }
}
