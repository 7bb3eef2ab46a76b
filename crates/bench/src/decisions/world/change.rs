//! Engines and instances that leave and come back, and the surge.

use std::sync::Arc;
use std::time::Duration;

use godwitpost_decide::view::{Fleet, View};
use rand::RngExt;

use super::{DISAGREE, Event, LOCATION_BYTES, World, fleet};
use crate::decisions::scheme::Scheme;

impl World {
    // One engine leaves and the one before comes back empty; every other
    // time an instance leaves and the one before comes back.
    pub(super) fn change(&mut self) {
        self.after(self.size.churn, Event::Change);
        self.changes += 1;
        if let Some(index) = self.gone.take() {
            self.lives[index] += 1;
            self.engines.all[index].restart();
        }
        let index = self.rng.random_range(0..self.size.engines);
        self.engines.all[index].live = false;
        self.gone = Some(index);
        let mut back = None;
        if self.changes.is_multiple_of(2) {
            back = self.leaving;
            self.leaving = Some(self.rng.random_range(0..self.nodes.len()));
        }
        let fleet = fleet(&self.size, &self.lives, self.gone, self.leaving);
        let fleet = Arc::new(fleet);
        for node in 0..self.nodes.len() {
            let lag = DISAGREE.mul_f64(self.rng.random());
            // Who leaves or comes back is the first to know.
            let own = self.leaving == Some(node) || back == Some(node);
            let lag = if own { Duration::ZERO } else { lag };
            let fleet = Arc::clone(&fleet);
            self.after(lag, Event::Adopt { node, fleet });
        }
    }

    pub(super) fn adopt(&mut self, index: usize, fleet: Arc<Fleet>) {
        let node = &mut self.nodes[index];
        let view = Arc::new(View::from_fleet(node.id, fleet));
        node.view = Arc::clone(&view);
        if self.scheme != Scheme::Owned {
            return;
        }
        let policy = Arc::clone(&self.policy);
        let wakes = node.owner.apply_view(self.now, view, policy);
        self.wake(index, wakes);
    }

    pub(super) fn hand_over(&mut self, from: usize) {
        for (to, location) in self.nodes[from]
            .owner
            .next_handover_batch()
            .unwrap_or_default()
        {
            let to = self.places[&to];
            self.nodes[to].owner.accept_handover(&[location]);
            self.control(LOCATION_BYTES);
        }
    }

    pub(super) fn start_surge(&mut self) {
        self.surge = true;
        for chat in self.traffic.surge(&self.size) {
            let first = self.traffic.pause(&self.size);
            self.after(first, Event::Turn(chat));
        }
    }
}
