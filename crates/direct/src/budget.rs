//! How many repeats this instance may send to a service.
//!
//! All instances share one budget for each service: a part of its requests,
//! and a fixed number beside, in any window. Instances don't tell each other
//! what they spend. Each takes the part of its own requests, which adds up to
//! the part of all, and a small allowance, of which a fleet of the size named
//! in the settings has no more than the fixed number together.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::ServiceId;

/// Parts of a window in which requests are counted together.
const PARTS: u32 = 10;

/// The part of the budget that is spent: callers' requests and repeats of the
/// same moment are counted in different windows by whoever checks.
const SPENT: f64 = 0.8;

/// How much may be repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Repeats for each request of the window.
    pub ratio: f64,
    /// Repeats of this instance in any window, whatever the requests.
    pub allowance: f64,
    /// The window.
    pub window: Duration,
}

/// The budgets of all services.
#[derive(Debug)]
pub struct Budget {
    rate: Rate,
    services: BTreeMap<ServiceId, Window>,
}

#[derive(Debug, Default)]
struct Window {
    parts: VecDeque<Part>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    begin: Moment,
    requests: u32,
    repeats: u32,
}

impl Window {
    fn part(&mut self, now: Moment, window: Duration) -> &mut Part {
        while self
            .parts
            .front()
            .is_some_and(|part| since(now, part.begin) >= window)
        {
            self.parts.pop_front();
        }
        let current = self
            .parts
            .back()
            .is_some_and(|part| since(now, part.begin) < window / PARTS);
        if !current {
            self.parts.push_back(Part {
                begin: now,
                requests: 0,
                repeats: 0,
            });
        }
        self.parts
            .back_mut()
            .expect("a part was pushed if there was none")
    }
}

impl Budget {
    /// Returns budgets of which nothing is spent.
    #[must_use]
    pub const fn new(rate: Rate) -> Self {
        Self {
            rate,
            services: BTreeMap::new(),
        }
    }

    /// Counts a caller's request for a service.
    pub fn record_request(&mut self, service: ServiceId, now: Moment) {
        self.part(service, now).requests += 1;
    }

    /// Takes one repeat out of the service's budget; returns whether there
    /// was one.
    pub fn try_take(&mut self, service: ServiceId, now: Moment) -> bool {
        let granted = self.remaining(service, now) >= 1.0;
        if granted {
            self.part(service, now).repeats += 1;
        }
        granted
    }

    /// Returns how many repeats are left of the service's budget.
    pub fn remaining(&mut self, service: ServiceId, now: Moment) -> f64 {
        self.part(service, now);
        let Rate {
            ratio, allowance, ..
        } = self.rate;
        let window = self.services.entry(service).or_default();
        let requests: u32 = window.parts.iter().map(|part| part.requests).sum();
        let repeats: u32 = window.parts.iter().map(|part| part.repeats).sum();
        let most = f64::from(requests) * ratio * SPENT + allowance;
        most - f64::from(repeats)
    }

    fn part(&mut self, service: ServiceId, now: Moment) -> &mut Part {
        let window = self.rate.window;
        self.services.entry(service).or_default().part(now, window)
    }
}

#[cfg(test)]
mod tests;
