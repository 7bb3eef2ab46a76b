//! Limits the retries that this instance may send to a service.
//!
//! All instances share one budget for each service: a ratio of its requests plus a fixed
//! number, in any window. Instances don't tell each other what they use. Each takes the
//! ratio of its own requests, which adds up to the ratio of all, plus a small allowance;
//! the allowances of a fleet of the configured size add up to no more than the fixed
//! number.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::ServiceId;

/// The number of buckets per window in which requests are counted.
const BUCKETS_PER_WINDOW: u32 = 10;

/// The fraction of the ratio that is used. Whoever checks the budget may count a caller's
/// request and a retry of the same moment in different windows.
const USED_RATIO_FRACTION: f64 = 0.8;

/// The limit of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Retries per request within the window.
    pub ratio: f64,
    /// Retries of this instance in any window, regardless of its requests.
    pub allowance: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The retry budgets of all services.
#[derive(Debug)]
pub struct Budget {
    rate: Rate,
    services: BTreeMap<ServiceId, Window>,
}

#[derive(Debug, Default)]
struct Window {
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Moment,
    requests: u32,
    retries: u32,
}

impl Window {
    fn bucket(&mut self, now: Moment, window: Duration) -> &mut Bucket {
        while self
            .buckets
            .front()
            .is_some_and(|bucket| since(now, bucket.start) >= window)
        {
            self.buckets.pop_front();
        }
        let current = self
            .buckets
            .back()
            .is_some_and(|bucket| since(now, bucket.start) < window / BUCKETS_PER_WINDOW);
        if !current {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        self.buckets
            .back_mut()
            .expect("a bucket was pushed if there was none")
    }
}

impl Budget {
    /// Returns unused budgets.
    #[must_use]
    pub const fn new(rate: Rate) -> Self {
        Self {
            rate,
            services: BTreeMap::new(),
        }
    }

    /// Counts a caller's request for a service.
    pub fn record_request(&mut self, service: ServiceId, now: Moment) {
        self.bucket(service, now).requests += 1;
    }

    /// Takes one retry from the service's budget; returns false if none is left.
    pub fn try_take(&mut self, service: ServiceId, now: Moment) -> bool {
        let granted = self.remaining(service, now) >= 1.0;
        if granted {
            self.bucket(service, now).retries += 1;
        }
        granted
    }

    /// Returns the number of retries left in the service's budget.
    pub fn remaining(&mut self, service: ServiceId, now: Moment) -> f64 {
        self.bucket(service, now);
        let Rate {
            ratio, allowance, ..
        } = self.rate;
        let window = self.services.entry(service).or_default();
        let requests: u32 = window.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = window.buckets.iter().map(|bucket| bucket.retries).sum();
        let max_retries = f64::from(requests) * ratio * USED_RATIO_FRACTION + allowance;
        max_retries - f64::from(retries)
    }

    fn bucket(&mut self, service: ServiceId, now: Moment) -> &mut Bucket {
        let window = self.rate.window;
        self.services
            .entry(service)
            .or_default()
            .bucket(now, window)
    }
}

#[cfg(test)]
mod tests;
