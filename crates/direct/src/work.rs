//! What this instance learns of the cost of requests to model engines, and the work that its
//! own requests still have at each engine.
//!
//! All of it is learned from the instance's own requests and responses. After a start nothing
//! is known, and until enough was observed no time is expected; requests are then placed by
//! counts alone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_decide::cost::{Class, Estimator, Stated};
use godwitpost_decide::work::{
    Capacity, Demand, Expectation, Ledger, Load, Mean, Pace, Request, Situation, Speed, expect,
};
use godwitpost_types::clock::Moment;
use godwitpost_types::hash;
use godwitpost_types::id::{EndpointId, ServiceId};

use crate::dialect::Slowdown;
use crate::policy::Engine;

/// A slowdown of this many percent is the usual time.
const USUAL_PERCENT: f64 = 100.0;

/// The number of values of a 32-bit half of a draw.
const HALF_DRAW_VALUES: f64 = 4_294_967_296.0;

/// What is learned, and this instance's requests in flight.
#[derive(Debug, Default)]
pub struct Work {
    estimator: Estimator,
    ledger: Ledger,
    services: BTreeMap<ServiceId, Observations>,
    paces: BTreeMap<EndpointId, Pace>,
    // Services of which an endpoint stated a slowdown that can't be used.
    invalid: BTreeSet<ServiceId>,
}

// What was observed of a service, and which of its endpoints have requests of this instance.
#[derive(Debug, Default)]
struct Observations {
    speed: Speed,
    mean: Mean,
    requests: BTreeMap<EndpointId, u32>,
}

/// A request in flight, with what was known when it was sent.
#[derive(Clone, Copy, Debug)]
pub struct Tracked {
    request: Request,
    service: ServiceId,
    endpoint: EndpointId,
    demand: Demand,
    engine: Engine,
    // Prompt tokens of this instance's earlier requests that the endpoint had not read yet when
    // this one was sent.
    tokens_ahead: f64,
    // Requests that the endpoint was estimated to run then, this one included.
    running: f64,
}

/// An endpoint, and what the time of a request there depends on.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The estimated number of requests of other instances that it runs or queues.
    pub others: f64,
    /// The capacity of its engine.
    pub engine: Engine,
}

impl Work {
    /// Records that a request is sent to an endpoint.
    pub fn start(&mut self, target: &Target, demand: Demand, now: Moment) -> Tracked {
        let own = self.own_load(target.endpoint, now);
        let request = self.ledger.start(target.endpoint, demand);
        let observations = self.services.entry(target.service).or_default();
        *observations.requests.entry(target.endpoint).or_default() += 1;
        self.update_mean(target.service, now);
        Tracked {
            request,
            service: target.service,
            endpoint: target.endpoint,
            demand,
            engine: target.engine,
            tokens_ahead: own.read_tokens,
            running: own.requests + target.others + 1.0,
        }
    }

    /// Records that the first event of a request arrived, `took` after it was sent.
    pub fn record_first_event(&mut self, tracked: &Tracked, took: Duration) {
        self.ledger.record_first_event(tracked.request);
        // A request that waited for a slot tells nothing of the time that reading takes.
        let has_slot = tracked.running <= f64::from(tracked.engine.slots);
        if let Some(observations) = self.services.get_mut(&tracked.service)
            && has_slot
        {
            let speed = &mut observations.speed;
            speed.record_first_event(tracked.demand.read, tracked.tokens_ahead, took);
        }
    }

    /// Records that `events` events of a request have arrived, and that the last `new` of them
    /// took `took` together.
    pub fn record_events(&mut self, tracked: &Tracked, events: u32, new: u32, took: Duration) {
        let written = events.saturating_mul(tracked.engine.event_tokens);
        self.ledger.record_written(tracked.request, written);
        if let Some(observations) = self.services.get_mut(&tracked.service) {
            let tokens = f64::from(new.saturating_mul(tracked.engine.event_tokens));
            observations
                .speed
                .record_pause(tracked.running, tokens, took);
        }
    }

    /// Records that a request ended after `events` events; `is_whole` tells whether its answer
    /// is complete.
    pub fn end(&mut self, tracked: &Tracked, events: u32, is_whole: bool, now: Moment) {
        self.ledger.end(tracked.request);
        if let Some(observations) = self.services.get_mut(&tracked.service)
            && let Some(count) = observations.requests.get_mut(&tracked.endpoint)
        {
            *count -= 1;
            if *count == 0 {
                observations.requests.remove(&tracked.endpoint);
            }
        }
        self.update_mean(tracked.service, now);
        if is_whole {
            let Demand { class, stated, .. } = tracked.demand;
            let written = events.saturating_mul(tracked.engine.event_tokens);
            self.estimator.record(class, stated, written, now);
        }
    }

    /// Records how long an endpoint states that work takes there now. Returns whether this is
    /// the first unusable statement of the service's endpoints.
    pub fn record_slowdown(
        &mut self,
        service: ServiceId,
        endpoint: EndpointId,
        slowdown: Slowdown,
        now: Moment,
    ) -> bool {
        match slowdown {
            Slowdown::Stated(percent) => {
                let pace = self.paces.entry(endpoint).or_default();
                pace.add(f64::from(percent) / USUAL_PERCENT, now);
                false
            }
            Slowdown::Invalid => self.invalid.insert(service),
        }
    }

    /// Returns the expected length of an answer in tokens.
    #[must_use]
    pub fn expected_output(&self, class: Class, stated: Stated, now: Moment) -> f64 {
        self.estimator.remaining(class, stated, 0, now).mean
    }

    /// Returns the expected times of a request at an endpoint, or `None` if too little is known.
    /// `draw` differs for each decision.
    #[must_use]
    pub fn expectation(
        &self,
        target: &Target,
        demand: &Demand,
        draw: u64,
        now: Moment,
    ) -> Option<Expectation> {
        let observations = self.services.get(&target.service)?;
        let uniform = uniform(hash::score(draw, target.endpoint));
        let pace = self.paces.get(&target.endpoint);
        let situation = Situation {
            load: self.own_load(target.endpoint, now),
            others: Some(target.others),
            mean: observations.mean.expected(now),
            capacity: Some(Capacity {
                slots: target.engine.slots,
                memory_tokens: target.engine.memory_tokens,
            }),
            pace: pace.map_or(1.0, |pace| pace.draw(now, uniform)),
            event_tokens: target.engine.event_tokens,
        };
        let output = self.expected_output(demand.class, demand.stated, now);
        expect(&situation, &observations.speed, demand, output)
    }

    /// Returns how long an engine of a service takes to read `tokens` prompt tokens, if that
    /// is known.
    #[must_use]
    pub fn read_time(&self, service: ServiceId, tokens: f64) -> Option<Duration> {
        self.services.get(&service)?.speed.prefill_time(tokens)
    }

    /// Drops the paces of endpoints that aren't `known`. Requests there are dropped as they end.
    pub fn retain_endpoints(&mut self, known: impl Fn(EndpointId) -> bool) {
        self.paces.retain(|endpoint, _| known(*endpoint));
    }

    fn own_load(&self, endpoint: EndpointId, now: Moment) -> Load {
        let remaining =
            |class, stated, written| self.estimator.remaining(class, stated, written, now).mean;
        self.ledger.load(endpoint, remaining)
    }

    // Updates the mean load of a service's requests by those in flight.
    fn update_mean(&mut self, service: ServiceId, now: Moment) {
        let Some(observations) = self.services.get(&service) else {
            return;
        };
        let endpoints = observations.requests.keys();
        let loads = endpoints.map(|endpoint| self.own_load(*endpoint, now));
        let all = loads.fold(Load::default(), |sum, load| sum + load);
        if let Some(observations) = self.services.get_mut(&service) {
            observations.mean.record(&all, now);
        }
    }
}

// Returns a number from 0 to below 1, which the lower half of a draw determines.
fn uniform(draw: u64) -> f64 {
    let half = u32::try_from(draw & u64::from(u32::MAX)).unwrap_or(0);
    f64::from(half) / HALF_DRAW_VALUES
}

#[cfg(test)]
mod tests;
