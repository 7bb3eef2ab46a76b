//! An endpoint that crashes if it refuses too much.

use std::collections::VecDeque;
use std::time::Duration;

use godwitpost_direct::stats::Report;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::EndpointId;

/// The interval in which refusals are counted.
const INTERVAL: Duration = Duration::from_secs(1);

pub(crate) type RequestId = u64;

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    Runs,
    Waits,
    Refused,
    /// It is refused, and the endpoint crashes.
    Crashes,
    /// Nothing listens.
    Down,
}

#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) is_up: bool,
    pub(crate) running: Vec<RequestId>,
    pub(crate) waiting: VecDeque<RequestId>,
    slots: usize,
    refusals: VecDeque<Moment>,
}

impl Endpoint {
    pub(crate) fn new(id: EndpointId, slots: u32) -> Self {
        Self {
            id,
            is_up: true,
            running: Vec::new(),
            waiting: VecDeque::new(),
            slots: slots as usize,
            refusals: VecDeque::new(),
        }
    }

    /// Takes a request in if there is room. With `max_refusals` it is fragile.
    pub(crate) fn arrive(
        &mut self,
        request: RequestId,
        max_waiting: u32,
        max_refusals: Option<u32>,
        now: Moment,
    ) -> Arrival {
        if !self.is_up {
            return Arrival::Down;
        }
        if self.running.len() < self.slots {
            self.running.push(request);
            return Arrival::Runs;
        }
        if self.waiting.len() < max_waiting as usize {
            self.waiting.push_back(request);
            return Arrival::Waits;
        }
        self.refusals.push_back(now);
        self.refusals.retain(|at| since(now, *at) < INTERVAL);
        if max_refusals.is_some_and(|most| self.refusals.len() > most as usize) {
            return Arrival::Crashes;
        }
        Arrival::Refused
    }

    /// Ends a request and returns the next that runs.
    pub(crate) fn end(&mut self, request: RequestId) -> Option<RequestId> {
        self.running.retain(|one| *one != request);
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Takes all requests of an endpoint that goes down.
    pub(crate) fn go_down(&mut self) -> Vec<RequestId> {
        self.is_up = false;
        self.refusals.clear();
        let running = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.waiting);
        running.into_iter().chain(waiting).collect()
    }

    pub(crate) fn report(&self) -> Report {
        let count = |count: usize| u32::try_from(count).expect("a few hundred requests");
        Report {
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
            slots: count(self.slots),
        }
    }
}
