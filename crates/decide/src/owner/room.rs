//! Decides whether an endpoint has room for a request, and which waiting
//! request is dispatched next.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{EndpointId, WorkspaceId};

use super::endpoint::Isolation;
use super::job::Job;
use super::{MAX_HEAD_BYPASS, MAX_QUEUE_SCAN, Owner, Wake};
use crate::load::Summary;
use crate::queue::{Queue, Ticket};
use crate::view::Pool;

/// Fraction of an endpoint that a workspace over its share must leave free.
///
/// Workspaces under their share find room there at once instead of after the
/// next request of a surge ends.
const RESERVED_FRACTION: f64 = 0.125;

/// Multiple of its share that a workspace may use before it must leave the
/// reserved fraction free.
///
/// Random variation alone takes a workspace somewhat over its share without
/// any surge.
const SHARE_TOLERANCE: f64 = 1.5;

/// Fraction of the room between the mean and the bound that a request may use
/// where its chat is cached.
const WARM_HEADROOM: f64 = 0.45;

/// Fraction of that room that an uncached request may use before it looks for
/// another endpoint.
const COLD_HEADROOM: f64 = 0.0;

/// Number of waiting requests examined for one that is cached at the free
/// endpoint, at a policy with a reuse weight of 1.
const MAX_WARM_SCAN: u32 = 32;

/// How long the reserved fraction stays free after a request last had to wait.
const CONTENTION_WINDOW: Duration = Duration::from_secs(10);

/// Fraction by which the largest request's size decays with each new request:
/// a 256th.
const LARGEST_DECAY: f64 = 1.0 / 256.0;

/// Which workspaces use a pool's endpoints here, and how large the requests
/// are.
#[derive(Clone, Debug, Default)]
pub struct PoolUsage {
    workspaces: BTreeMap<WorkspaceId, WorkspaceUsage>,
    running: u32,
    largest: f64,
    last_wait: Moment,
}

#[derive(Clone, Copy, Debug, Default)]
struct WorkspaceUsage {
    weight: f64,
    running: u32,
    waiting: u32,
}

impl PoolUsage {
    /// Counts a request that starts to wait.
    pub fn add_waiting(&mut self, now: Moment, job: &Job) {
        self.last_wait = now;
        let user = self.workspaces.entry(job.rank.flow.workspace).or_default();
        user.weight = job.rank.weight;
        user.waiting += 1;
    }

    /// Counts a request that stops waiting.
    pub fn remove_waiting(&mut self, job: &Job) {
        self.update(job, |user| user.waiting = user.waiting.saturating_sub(1));
    }

    /// Counts a request that starts to run.
    pub fn add_running(&mut self, job: &Job) {
        let user = self.workspaces.entry(job.rank.flow.workspace).or_default();
        user.weight = job.rank.weight;
        user.running += 1;
        self.running += 1;
        #[expect(clippy::cast_precision_loss, reason = "work is far under 2^52")]
        let work = job.rank.work as f64;
        self.largest = (self.largest * (1.0 - LARGEST_DECAY)).max(work);
    }

    /// Counts a request that ended.
    pub fn remove_running(&mut self, job: &Job) {
        self.running = self.running.saturating_sub(1);
        self.update(job, |user| user.running = user.running.saturating_sub(1));
    }

    fn update(&mut self, job: &Job, change: impl FnOnce(&mut WorkspaceUsage)) {
        let id = job.rank.flow.workspace;
        if let Some(user) = self.workspaces.get_mut(&id) {
            change(user);
            if user.running == 0 && user.waiting == 0 {
                self.workspaces.remove(&id);
            }
        }
    }

    // Returns whether one more request would put its workspace over its share
    // of `slots`, among the workspaces that have requests running or waiting.
    fn exceeds_share(&self, job: &Job, slots: u32) -> bool {
        let id = job.rank.flow.workspace;
        let others: f64 = self
            .workspaces
            .iter()
            .filter(|(other, _)| **other != id)
            .map(|(_, user)| user.weight)
            .sum();
        let running = self.workspaces.get(&id).map_or(0, |user| user.running);
        let share = job.rank.weight / (job.rank.weight + others);
        f64::from(running + 1) > f64::from(slots) * share * SHARE_TOLERANCE
    }
}

impl Owner {
    /// Returns whether an endpoint has room for a request now.
    pub(super) fn has_room(&self, now: Moment, endpoint: EndpointId, job: &Job) -> bool {
        let Some(state) = self.states.get(&endpoint) else {
            return false;
        };
        if job.suspect {
            return state.accepts(job.slots) && state.running() == 0;
        }
        let over = self.is_over_share(now, job);
        let usable = if over { 1.0 - RESERVED_FRACTION } else { 1.0 };
        if !state.accepts(scaled_count(job.slots, usable)) {
            return false;
        }
        if state.running() == 0 {
            return true;
        }
        let mean = self.exact_mean(now, job.pool);
        #[expect(clippy::cast_precision_loss, reason = "work is far under 2^52")]
        let (load, work) = (state.load() as f64, job.work(endpoint) as f64);
        let limit = allowed_multiple(job, endpoint) * mean.max(self.mean_floor(job.pool));
        // One more request always fits where the load is at most the mean.
        // Otherwise no endpoint could ever take a second request when there
        // are few of equal size, all at the mean. An uncached request first
        // looks for a better endpoint.
        let below_mean = !job.should_try_elsewhere(endpoint) && load <= mean * usable;
        below_mean || load + work <= limit * usable
    }

    fn is_over_share(&self, now: Moment, job: &Job) -> bool {
        let Some(usage) = self.usage.get(&job.pool) else {
            return false;
        };
        if since(now, usage.last_wait) > CONTENTION_WINDOW {
            return false;
        }
        let own = self.own_summary(job.pool);
        usage.exceeds_share(job, own.endpoints * job.slots)
    }

    // A mean below the largest request is raised to that size. Otherwise a
    // single request on an idle endpoint would exceed the bound.
    fn mean_floor(&self, pool: Pool) -> f64 {
        self.usage.get(&pool).map_or(0.0, |s| s.largest)
    }

    fn exact_mean(&self, now: Moment, pool: Pool) -> f64 {
        let size = self.view.pool_size(pool);
        self.peer_load
            .mean_work(&self.own_summary(pool), size, self.mean_floor(pool), now)
    }

    /// Returns the mean work of a pool's endpoints, in tokens.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "work is positive and far under 2^52"
    )]
    pub(super) fn mean_work(&self, now: Moment, pool: Pool) -> u64 {
        self.exact_mean(now, pool) as u64
    }

    fn own_summary(&self, pool: Pool) -> Summary {
        self.summary(Moment::ZERO, pool)
    }

    /// Dispatches the waiting requests that fit now, in queue order.
    pub(super) fn dispatch_waiting(&mut self, now: Moment) -> Vec<Wake> {
        let pools: Vec<Pool> = self.queues.keys().copied().collect();
        let mut wakes = Vec::new();
        for pool in pools {
            while let Some(wake) = self.dispatch_next(now, pool) {
                wakes.push(wake);
            }
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        wakes
    }

    fn dispatch_next(&mut self, now: Moment, pool: Pool) -> Option<Wake> {
        let (ticket, endpoint) = self.next_fitting(now, pool)?;
        let job = self.queues.get_mut(&pool)?.take_for_dispatch(ticket)?;
        self.release_ticket(ticket, &job);
        let next = self.grant(now, endpoint, job);
        Some(Wake { ticket, next })
    }

    // Returns the first waiting request for which an owned endpoint has room.
    fn next_fitting(&mut self, now: Moment, pool: Pool) -> Option<(Ticket, EndpointId)> {
        let view = Arc::clone(&self.view);
        let owned = view.owned_in_pool(pool);
        let mut waiting_suspect = None;
        let mut found = None;
        for (ticket, job) in self.queues.get(&pool)?.iter().take(MAX_QUEUE_SCAN) {
            let mut ranked = owned.iter().copied();
            if let Some(endpoint) =
                ranked.find(|id| self.has_room_for_waiting(now, *id, ticket, job))
            {
                found = Some((ticket, endpoint));
                break;
            }
            if job.suspect && waiting_suspect.is_none() {
                waiting_suspect = Some(ticket);
            }
            if since(now, job.waiting_since) > MAX_HEAD_BYPASS {
                break;
            }
        }
        if let Some(ticket) = waiting_suspect {
            self.isolate_endpoint(ticket, owned);
        }
        found.map(|(ticket, endpoint)| self.prefer_warm(now, pool, ticket, endpoint))
    }

    // When all endpoints are full, a free slot would always go to the first
    // request in the queue, and no chat would run where it is cached. One of
    // the next few requests that is cached at the free endpoint goes first,
    // unless the head of the queue has waited long.
    fn prefer_warm(
        &self,
        now: Moment,
        pool: Pool,
        first: Ticket,
        endpoint: EndpointId,
    ) -> (Ticket, EndpointId) {
        let queue = self.queues.get(&pool);
        let jobs = queue.into_iter().flat_map(Queue::iter);
        let mut jobs = jobs.skip_while(|(ticket, _)| *ticket != first);
        let Some((_, first_job)) = jobs.next() else {
            return (first, endpoint);
        };
        let keep_first =
            first_job.cached(endpoint) > 0 || since(now, first_job.waiting_since) > MAX_HEAD_BYPASS;
        if keep_first || first_job.suspect {
            return (first, endpoint);
        }
        let peers = jobs.take(scaled_count(MAX_WARM_SCAN, first_job.reuse) as usize);
        let mut warm = peers.filter(|(_, job)| {
            let peer = job.rank.priority == first_job.rank.priority && !job.suspect;
            peer && job.cached(endpoint) > 0 && self.has_room(now, endpoint, job)
        });
        warm.next()
            .map_or((first, endpoint), |(ticket, _)| (ticket, endpoint))
    }

    fn has_room_for_waiting(&self, now: Moment, id: EndpointId, ticket: Ticket, job: &Job) -> bool {
        let state = self.states.get(&id);
        let reserved_for_ticket =
            state.is_some_and(|state| state.isolation == Isolation::Draining(ticket));
        if reserved_for_ticket {
            return state.is_some_and(|state| state.running() == 0);
        }
        self.has_room(now, id, job)
    }

    // Reserves at most one endpoint at a time for a suspect. It accepts no
    // other requests until the suspect has run there.
    fn isolate_endpoint(&mut self, ticket: Ticket, owned: &[EndpointId]) {
        let busy = |id: &EndpointId| {
            self.states
                .get(id)
                .is_some_and(|b| b.isolation != Isolation::Off)
        };
        if owned.iter().any(busy) {
            return;
        }
        let load = |id: &&EndpointId| self.load(**id);
        if let Some(id) = owned.iter().min_by_key(load).copied()
            && let Some(state) = self.states.get_mut(&id)
        {
            state.isolation = Isolation::Draining(ticket);
        }
    }
}

// Returns the multiple of the mean load that a request may fill an endpoint
// to. It is a part of what the load bound allows above the mean. A request may
// use most of it where its chat is cached; an uncached one can go anywhere, so
// it moves on earlier the less the policy weighs cache reuse. The rest covers
// what this owner cannot know: means that have changed since they were
// reported, and wrong estimates.
fn allowed_multiple(job: &Job, endpoint: EndpointId) -> f64 {
    let reuse = job.reuse.clamp(0.0, 1.0);
    let part = if job.should_try_elsewhere(endpoint) {
        COLD_HEADROOM + 0.2 * reuse
    } else {
        WARM_HEADROOM + 0.1 * reuse
    };
    1.0 + (job.load_bound - 1.0) * part
}
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a count is within the count"
)]
fn scaled_count(count: u32, fraction: f64) -> u32 {
    ((f64::from(count) * fraction) as u32).max(1)
}
