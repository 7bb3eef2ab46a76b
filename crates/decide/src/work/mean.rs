//! The mean load of one request of a service.

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};

use super::Load;

/// The time constant of the exponential decay of observations.
///
/// Longer than most requests take, so that an instance with few requests
/// averages over several, and shorter than the 15 s in which demand varies.
const TIME_CONSTANT: Duration = Duration::from_secs(10);

/// The least decayed number of requests that a mean is computed from: that of
/// one request which was in flight for a tenth of a second just now.
const MIN_REQUESTS: f64 = 0.01;

/// The mean load of one of this instance's requests to a service, over the
/// time that they are in flight.
///
/// A request counts as long as it is in flight, so long ones count more. That
/// is also how requests of other instances are met at an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    total: Load,
    current: Load,
    updated: Option<Moment>,
}

impl Mean {
    /// Records the load of all of this instance's requests to the service
    /// from `now` on.
    ///
    /// It has to be called whenever a request starts or ends, or several times
    /// a second: the load is taken as constant until the next call.
    pub fn record(&mut self, load: &Load, now: Moment) {
        self.total = self.total_at(now);
        self.current = load.sanitized();
        self.updated = self.updated.max(Some(now));
    }

    /// Returns the mean load of a request, or `None` if there were too few.
    #[must_use]
    pub fn expected(&self, now: Moment) -> Option<Load> {
        let total = self.total_at(now);
        let known = total.requests >= MIN_REQUESTS;
        known.then(|| total * (1.0 / total.requests))
    }

    fn total_at(&self, now: Moment) -> Load {
        let kept = self.updated.map_or(1.0, |updated| decay(now, updated));
        self.total * kept + self.current * (1.0 - kept)
    }
}

fn decay(now: Moment, then: Moment) -> f64 {
    (-since(now, then).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
}

#[cfg(test)]
mod tests;
