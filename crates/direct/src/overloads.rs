//! Endpoints near or above the load bound, of which all instances are told at once.
//!
//! Loads are exchanged every second or so. A prompt in sudden demand fills its endpoint in
//! less time, and where instances are many, each sends it too few requests to notice: all
//! went on to send there until they heard of it, and then moved on to the next endpoint
//! together. So the first instance that finds an endpoint near the bound tells the others
//! at once, and so does the first that finds one which begins no responses, and so reports no
//! load. Loads within the bound wait for the next exchange.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::EndpointId;

use crate::stats::Overload;

/// The fraction of the load bound from which on others are told. It is below 1 since requests
/// arrive until they know. With a small one, they would be told of most endpoints of a service
/// that has little to do.
const TOLD_FRACTION: f64 = 0.75;

/// The shortest and the longest time for which overloads wait for more.
const DELAY_LIMITS: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(200)];

/// The shortest time between two early answers, to all polling instances together.
const ANSWER_SPACING: Duration = Duration::from_millis(5);

/// Returns whether the load that an endpoint reported after a request placed by its prompt
/// is news to all: near the bound, and not expected there. `expected` is the load that was
/// believed before the report; `None` if the endpoint was silent, so that nobody knew it. No
/// endpoint of the service should have more than `limit`.
///
/// After other requests, others are not told: these go to the endpoint with the least
/// load, and if all instances learned of one that is full at the same time, all would send
/// to the same other one.
#[must_use]
pub fn is_news(load: u32, limit: f64, expected: Option<f64>) -> bool {
    let told_above = TOLD_FRACTION * limit;
    expected.is_none_or(|expected| f64::from(load) > told_above && expected <= told_above)
}

/// Returns how long overloads wait for more before they are sent to this many polling
/// instances.
#[must_use]
pub fn answer_delay(pollers: u32) -> Duration {
    let [min, max] = DELAY_LIMITS;
    (ANSWER_SPACING * pollers).clamp(min, max)
}

/// The overloads that were not sent to the seeds yet.
#[derive(Debug, Default)]
pub struct Overloads {
    unsent: BTreeMap<EndpointId, (Option<u32>, Moment)>,
}

impl Overloads {
    /// Adds the load that an endpoint reported, or that it was found to be silent.
    pub fn add(&mut self, endpoint: EndpointId, requests: Option<u32>, at: Moment) {
        self.unsent.insert(endpoint, (requests, at));
    }

    /// Takes what was added since the last call.
    pub fn take_unsent(&mut self, now: Moment) -> Vec<Overload> {
        std::mem::take(&mut self.unsent)
            .into_iter()
            .map(|(endpoint, (requests, at))| Overload {
                endpoint,
                requests,
                age: since(now, at),
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
