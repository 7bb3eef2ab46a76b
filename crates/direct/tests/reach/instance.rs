//! An instance as the simulation runs it: its beliefs, without its connections.

use std::net::SocketAddr;

use godwitpost_decide::health::{Access, Event};
use godwitpost_direct::forwarders::{Fault, Forwarders};
use godwitpost_direct::reach::{Destination, Reach, Way};
use godwitpost_direct::stats::EndpointStats;
use godwitpost_types::clock::Moment;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// What an instance believes.
pub(crate) struct Instance {
    pub(crate) reach: Reach,
    pub(crate) forwarders: Forwarders,
    stats: EndpointStats,
}

impl Instance {
    pub(crate) fn new(own: SocketAddr) -> Self {
        Self {
            reach: Reach::default(),
            forwarders: Forwarders::new(Some(own), false),
            stats: EndpointStats::default(),
        }
    }

    pub(crate) fn tick(&mut self, now: Moment) {
        self.stats.tick(now);
    }

    /// Returns the endpoint to send a request to, other than those tried.
    pub(crate) fn choose(
        &self,
        endpoints: &[Destination],
        tried: &[Destination],
        rng: &mut ChaCha8Rng,
    ) -> Option<Destination> {
        let untried: Vec<_> = endpoints
            .iter()
            .copied()
            .filter(|one| !tried.contains(one))
            .collect();
        let open: Vec<_> = untried
            .iter()
            .copied()
            .filter(|one| self.stats.access(one.endpoint) != Access::None)
            .collect();
        let usable = if open.is_empty() { untried } else { open };
        let index = rng.random_range(0..usable.len().max(1));
        usable.get(index).copied()
    }

    pub(crate) fn way(&self, to: Destination) -> Way {
        self.reach.way(to)
    }

    pub(crate) fn record_answer(&mut self, to: Destination, now: Moment) {
        self.stats
            .record_health_event(to.endpoint, Event::Success(now));
    }

    pub(crate) fn record_unreachable(&mut self, to: Destination, now: Moment) {
        self.stats.record_unreachable(to.endpoint, now);
    }

    pub(crate) fn record_loss(&mut self, to: Destination, now: Moment, draw: f64) {
        if self.reach.record_loss(to, now, draw) {
            self.stats.forget_failures(to.endpoint);
        }
    }

    pub(crate) fn avoid(&mut self, other: SocketAddr, fault: Fault, now: Moment) {
        self.forwarders.avoid(other, fault, now);
    }
}
