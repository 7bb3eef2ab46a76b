//! Applies changes of the instance and endpoint lists: moved homes, moved
//! ownership, and waiting requests that must move.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{ChatId, EndpointId, Incarnation, InstanceId};
use godwitpost_types::policy::Policy;

use super::endpoint::EndpointState;
use super::job::Job;
use super::{Next, Owner, Wake};
use crate::chats::Location;
use crate::hop::Hop;
use crate::refusal::{Reason, Refusal};
use crate::view::{Pool, View};

/// Divisor for the part of the mean work by which an endpoint taken over is
/// assumed to exceed it. A fifth above the mean keeps it from getting much
/// work before its first report.
const PRESUMED_EXCESS_DIVISOR: u64 = 5;

/// Locations examined in one call of [`Owner::next_handover_batch`], which
/// takes about 200 us.
const HANDOVER_BATCH: usize = 512;

impl Owner {
    /// Switches to a new view and policy.
    ///
    /// Running requests stay counted until they finish. Requests that wait for
    /// a pool without owned endpoints move to the owners of that pool.
    pub fn apply_view(&mut self, now: Moment, view: Arc<View>, policy: Arc<Policy>) -> Vec<Wake> {
        self.start_handover(&view);
        let pools = view.owned_pools().keys();
        let means = pools
            .map(|pool| (*pool, self.mean_work(now, *pool)))
            .collect();
        let previous = std::mem::replace(&mut self.view, view);
        self.policy = policy;
        self.add_taken_over(now, &previous, &means);
        self.sync_states();
        let mut wakes = self.reroute_waiting();
        wakes.extend(self.dispatch_waiting(now));
        wakes
    }

    // Home endpoints change with the set of endpoints and with their owners.
    // The locations of chats whose home endpoint or cache moves to another
    // owner are handed over to it.
    pub(super) fn start_handover(&mut self, next: &View) {
        if self.view.same_ownership(next) {
            return;
        }
        // If the previous handover is not complete, the new one compares with
        // the view from before both.
        if self.pending_handover.is_empty() {
            self.handover_base = Arc::clone(&self.view);
        }
        let locations = self.chats.iter();
        self.pending_handover = locations
            .map(|location| (location.pool, location.chat))
            .collect();
    }

    pub(super) fn is_current(&self, location: &Location) -> bool {
        self.is_current_incarnation(location.endpoint, location.incarnation)
    }

    /// Returns chat locations that belong to other owners in the current view,
    /// each with the instance to send it to.
    ///
    /// Each call examines a part of the table; `None` means that nothing is
    /// left to examine. Home endpoints move when [`Owner::apply_view`] brings
    /// other endpoints or instances. On a graceful stop, when the view lists
    /// the local instance as leaving, all of them move. Called at each tick,
    /// and on a stop until it is done.
    pub fn next_handover_batch(&mut self) -> Option<Vec<(InstanceId, Location)>> {
        if self.pending_handover.is_empty() {
            return None;
        }
        let batch_size = self.pending_handover.len().min(HANDOVER_BATCH);
        let batch: Vec<(Pool, ChatId)> = self.pending_handover.drain(..batch_size).collect();
        let known = batch
            .iter()
            .filter_map(|(pool, chat)| self.chats.peek(*pool, *chat));
        Some(
            known
                .flat_map(|location| self.new_owners(location))
                .collect(),
        )
    }

    // Returns the owners of the chat's home endpoint and of the endpoint where
    // it is cached, as far as they were local in the view before the handover
    // and are remote now.
    pub(super) fn new_owners(&self, location: &Location) -> Vec<(InstanceId, Location)> {
        if !self.is_current(location) || location.tokens == 0 {
            return Vec::new();
        }
        let home = |view: &View| view.ranked(location.pool, location.chat, 0).next();
        let local = self.view.local();
        let moved = |before: Option<EndpointId>, after: Option<EndpointId>| {
            let here = before.is_some_and(|id| self.handover_base.owner(id) == local);
            let owner = after.map(|id| self.view.owner(id))?;
            (here && owner != local).then_some(owner)
        };
        let warm = Some(location.endpoint);
        let owners = [
            moved(home(&self.handover_base), home(&self.view)),
            moved(warm, warm),
        ];
        let owners: BTreeSet<InstanceId> = owners.into_iter().flatten().collect();
        owners.into_iter().map(|id| (id, *location)).collect()
    }

    /// Takes over the chat locations of an instance that stops.
    pub fn accept_handover(&mut self, locations: &[Location]) {
        // The sender lists the most recently used first. They must be inserted
        // last to stay the most recent ones.
        for location in locations.iter().rev() {
            self.record_location(*location);
        }
    }

    // An endpoint that has just changed owners carries work that no report has
    // shown here yet, and its previous owner may go on dispatching for
    // seconds. Treated as idle, it would get twice its bound. Its work is
    // therefore assumed to be somewhat above the mean until a report taken
    // from now on shows the real figure.
    pub(super) fn add_taken_over(
        &mut self,
        now: Moment,
        previous: &View,
        means: &BTreeMap<Pool, u64>,
    ) {
        let view = Arc::clone(&self.view);
        for (pool, owned) in view.owned_pools() {
            for id in owned {
                let here = self.states.contains_key(id);
                let known = previous.endpoint(*id).map(|endpoint| endpoint.incarnation);
                let same =
                    known.filter(|incarnation| self.is_current_incarnation(*id, *incarnation));
                if let Some(incarnation) = same.filter(|_| !here && previous.serves(*id, *pool)) {
                    let mut state = EndpointState::new(incarnation);
                    let mean = means.get(pool).copied().unwrap_or(0);
                    state.assume_others_work(now, mean + mean / PRESUMED_EXCESS_DIVISOR);
                    self.states.insert(*id, state);
                }
            }
        }
    }

    pub(super) fn is_current_incarnation(&self, id: EndpointId, incarnation: Incarnation) -> bool {
        let endpoint = self.view.endpoint(id);
        endpoint.is_some_and(|endpoint| endpoint.incarnation == incarnation)
    }

    // Keeps the state of an endpoint that is no longer owned while requests
    // still run on it.
    pub(super) fn sync_states(&mut self) {
        let view = Arc::clone(&self.view);
        for endpoint in view.endpoints() {
            if view.owner(endpoint.id) != view.local() && !self.states.contains_key(&endpoint.id) {
                continue;
            }
            let state = self.states.entry(endpoint.id);
            let state = state.or_insert_with(|| EndpointState::new(endpoint.incarnation));
            state
                .health
                .update_standing(endpoint.incarnation, endpoint.standing);
        }
        self.states.retain(|id, state| {
            state.requests > 0 || (view.endpoint(*id).is_some() && view.owner(*id) == view.local())
        });
    }

    // Reroutes the requests that wait for a pool without an endpoint owned
    // here.
    pub(super) fn reroute_waiting(&mut self) -> Vec<Wake> {
        let view = Arc::clone(&self.view);
        let here = |pool: Pool| !view.owned_in_pool(pool).is_empty();
        let pools: Vec<Pool> = self.queues.keys().copied().filter(|p| !here(*p)).collect();
        let mut wakes = Vec::new();
        for pool in pools {
            let queue = self.queues.remove(&pool).unwrap_or_default();
            for (ticket, job) in queue.iter() {
                self.release_ticket(ticket, job);
                let next = self.reroute(job);
                wakes.push(Wake { ticket, next });
            }
        }
        wakes
    }

    pub(super) fn reroute(&self, job: &Job) -> Next {
        match self.home_endpoint(job) {
            Some(endpoint) if !self.owns(endpoint) => {
                self.forward(job, Hop::first(0, endpoint), endpoint)
            }
            _ => Next::Refuse(Refusal::new(Reason::NoEndpoint)),
        }
    }
}
