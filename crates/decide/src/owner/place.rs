//! Chooses where an offered request goes: to the endpoint where its chat is
//! cached, else to the next endpoints in the chat's order while the load bound
//! excludes it, else into the queue.

use std::sync::Arc;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{EndpointId, NO_MODEL};
use godwitpost_types::request::Request;

use super::endpoint::{EndpointState, Isolation};
use super::job::{CacheHint, Job};
use super::{Grant, MAX_QUEUED_REQUESTS, Next, Owner, Running};
use crate::chats::Location;
use crate::health;
use crate::hop::Hop;
use crate::quarantine::Verdict;
use crate::refusal::{Reason, Refusal};
use crate::view::Pool;

/// Maximum number of forwards while no instance considers itself the owner.
/// After that, the current instance dispatches the request itself.
const MAX_MISROUTED_FORWARDS: u8 = crate::hop::MAX_FORWARDS + 4;

/// Endpoints in a chat's order that a spill examines.
const MAX_SPILL_CANDIDATES: usize = 16;

/// Endpoints of other owners that a spill chooses from.
const MAX_REMOTE_CHOICES: usize = 2;

impl Owner {
    pub(super) fn admit(
        &mut self,
        now: Moment,
        request: &Request,
        hop: &Hop,
    ) -> Result<Job, Reason> {
        let mut job = Job::new(&self.policy, request, hop)?;
        if request.deadline <= now {
            return Err(Reason::Deadline);
        }
        match self.quarantine.verdict(&job.digest, now) {
            Verdict::Quarantined => return Err(Reason::Quarantined),
            Verdict::Suspect => job.suspect = true,
            Verdict::Clear => {}
        }
        if job.pool.model != NO_MODEL {
            self.find_cache_hint(&mut job, hop);
            self.check_cache_hint(&mut job);
        }
        Ok(job)
    }

    // Looks up where the chat is cached, if the request can still go there.
    // Only the owner of the home endpoint redirects it, so hints never form a
    // chain of forwards.
    pub(super) fn find_cache_hint(&mut self, job: &mut Job, hop: &Hop) {
        let found = self.chats.get(job.pool, job.chat);
        let Some(known) = found.filter(|known| self.is_current(known)) else {
            return;
        };
        if known.endpoint == hop.endpoint {
            job.warm = Some(CacheHint::from(&known));
            return;
        }
        let usable = hop.count == 0
            && known.tokens > 0
            && self.view.serves(known.endpoint, job.pool)
            && !hop.tried.contains(&known.endpoint)
            && self.is_healthy(known.endpoint);
        if usable {
            job.warm = Some(CacheHint::from(&known));
        }
    }

    // Engines evict the least recently used chats first. Any chat that ran
    // before an evicted one is therefore gone as well, even if its own event
    // was lost.
    pub(super) fn check_cache_hint(&self, job: &mut Job) {
        let Some(warm) = &mut job.warm else {
            return;
        };
        let horizon = self
            .states
            .get(&warm.endpoint)
            .map(EndpointState::eviction_horizon);
        if horizon.is_some_and(|horizon| warm.seen <= horizon) {
            warm.tokens = 0;
        }
    }

    pub(super) fn is_healthy(&self, endpoint: EndpointId) -> bool {
        let state = self.states.get(&endpoint);
        state.is_none_or(|state| state.health.access() != health::Access::None)
    }

    /// Chooses where a request goes: to the endpoint where its chat is cached,
    /// else to the next endpoints in the chat's order while the load bound
    /// excludes it, else into the queue.
    pub(super) fn place(&mut self, now: Moment, job: Job, hop: &Hop) -> Next {
        let target = job.warm.map_or(hop.endpoint, |warm| warm.endpoint);
        if !self.owns(target) && !hop.forwards_exhausted() {
            return self.forward(&job, hop.clone(), target);
        }
        let mut hop = hop.clone();
        let owned_and_serving = self.owns(target) && self.view.serves(target, job.pool);
        if owned_and_serving && !hop.tried.contains(&target) {
            if self.has_room(now, target, &job) {
                return self.grant(now, target, job);
            }
            self.record_tried(&mut hop, target);
        }
        self.spill(now, job, hop)
    }

    pub(super) fn owns(&self, endpoint: EndpointId) -> bool {
        self.view.owner(endpoint) == self.view.local()
    }

    // Walks the chat's order beyond its preferred endpoint. Endpoints owned
    // here are tried at once; among remote ones, the one whose owner reports
    // the least load is next.
    pub(super) fn spill(&mut self, now: Moment, job: Job, mut hop: Hop) -> Next {
        let view = Arc::clone(&self.view);
        hop.spilled = true;
        let mut next: Option<(u64, EndpointId)> = None;
        let mut remote_candidates = 0;
        for endpoint in view
            .ranked(job.pool, job.chat, hop.zone)
            .take(MAX_SPILL_CANDIDATES)
        {
            if hop.tried.contains(&endpoint) {
                continue;
            }
            if self.owns(endpoint) {
                if self.has_room(now, endpoint, &job) {
                    return self.grant(now, endpoint, job);
                }
                self.record_tried(&mut hop, endpoint);
            } else if let Some(load) = self.remote_load(now, job.pool, endpoint) {
                next = next
                    .filter(|(least, _)| *least <= load)
                    .or(Some((load, endpoint)));
                remote_candidates += 1;
            }
            if remote_candidates == MAX_REMOTE_CHOICES {
                break;
            }
        }
        match next {
            Some((_, endpoint)) if !hop.forwards_exhausted() => self.forward(&job, hop, endpoint),
            _ => self.choose_queue(now, job, hop),
        }
    }

    // Returns the mean load per endpoint at an endpoint's owner, or `None` if
    // requests are known to wait there. An owner without a fresh summary
    // counts as idle.
    pub(super) fn remote_load(&self, now: Moment, pool: Pool, endpoint: EndpointId) -> Option<u64> {
        let owner = self.view.owner(endpoint);
        match self.peer_load.fresh_summary(pool, owner, now) {
            Some(summary) if summary.waiting > 0 => None,
            Some(summary) => Some(summary.work / u64::from(summary.endpoints.max(1))),
            None => Some(0),
        }
    }

    pub(super) fn record_tried(&self, hop: &mut Hop, endpoint: EndpointId) {
        if !hop.tried.contains(&endpoint) {
            hop.tried.push(endpoint);
        }
        let load = self.states.get(&endpoint).map_or(0, EndpointState::load);
        if self.is_healthy(endpoint) && hop.least.is_none_or(|(_, least)| load < least) {
            hop.least = Some((endpoint, load));
        }
    }

    // Requests wait at the owner of the least loaded endpoint that was tried.
    pub(super) fn choose_queue(&mut self, now: Moment, mut job: Job, mut hop: Hop) -> Next {
        if let Some((endpoint, _)) = hop.least
            && !self.owns(endpoint)
            && hop.count <= crate::hop::MAX_FORWARDS
        {
            hop.count = crate::hop::MAX_FORWARDS;
            return self.forward(&job, hop, endpoint);
        }
        if let Some(endpoint) = self.least_loaded_fit(now, &mut job) {
            return self.grant(now, endpoint, job);
        }
        if !job.may_queue {
            return Next::Refuse(Refusal::new(Reason::Busy));
        }
        if self.view.owned_in_pool(job.pool).is_empty() {
            return self.place_without_owner(now, job, hop);
        }
        self.enqueue(now, job)
    }

    // The sender considers this instance the owner, while this instance
    // considers another one the owner. The lists agree within seconds. Until
    // then the request goes to the owner in the local list or, after too many
    // forwards, directly to the endpoint if the mean load leaves room on it.
    pub(super) fn place_without_owner(&mut self, now: Moment, job: Job, hop: Hop) -> Next {
        let Some(home) = self.home_endpoint(&job) else {
            return Next::Refuse(Refusal::new(Reason::NoEndpoint));
        };
        if hop.count < MAX_MISROUTED_FORWARDS {
            return self.forward(&job, hop, home);
        }
        if !self.states.contains_key(&home) {
            let incarnation = self.view.endpoint(home).map_or(0, |e| e.incarnation);
            let mut state = EndpointState::new(incarnation);
            state.assume_others_work(now, self.mean_work(now, job.pool));
            self.states.insert(home, state);
        }
        if self.has_room(now, home, &job) {
            return self.grant(now, home, job);
        }
        Next::Refuse(Refusal::new(Reason::Busy))
    }

    // A request with nowhere else to go may use the whole bound even if
    // nothing of it is cached.
    pub(super) fn least_loaded_fit(&self, now: Moment, job: &mut Job) -> Option<EndpointId> {
        job.waiting_since = now;
        let owned = self.view.owned_in_pool(job.pool).iter().copied();
        let fitting = owned.filter(|id| self.has_room(now, *id, job));
        fitting.min_by_key(|id| self.load(*id))
    }

    pub(super) fn enqueue(&mut self, now: Moment, job: Job) -> Next {
        let queue = self.queues.entry(job.pool).or_default();
        if queue.is_full_for(MAX_QUEUED_REQUESTS, job.rank.flow) {
            return Next::Refuse(Refusal::new(Reason::QueueFull));
        }
        let ticket = self.next_id;
        self.next_id += 1;
        self.tickets.insert(ticket, job.pool);
        let until = job.rank.deadline;
        let rank = job.rank;
        let usage = self.usage.entry(job.pool).or_default();
        usage.add_waiting(now, &job);
        queue.push(ticket, &rank, job);
        Next::Wait { ticket, until }
    }

    pub(super) fn forward(&self, job: &Job, mut hop: Hop, endpoint: EndpointId) -> Next {
        hop.home = hop.home.or(Some(self.view.local()));
        hop.endpoint = endpoint;
        hop.count += 1;
        hop.cached = job.cached(endpoint);
        hop.seen = job.warm.map_or(Moment::ZERO, |warm| warm.seen);
        Next::Forward {
            instance: self.view.owner(endpoint),
            hop,
        }
    }

    // Records a hint for the chat's next turn: after this one the endpoint has
    // its context cached, both prompt and answer.
    pub(super) fn record_chat(
        &mut self,
        now: Moment,
        job: &Job,
        endpoint: EndpointId,
    ) -> Option<Location> {
        if job.pool.model == NO_MODEL {
            return None;
        }
        let location = Location {
            chat: job.chat,
            pool: job.pool,
            endpoint,
            incarnation: self.view.endpoint(endpoint).map_or(0, |e| e.incarnation),
            tokens: job.prompt_tokens.saturating_add(job.answer_tokens),
            seen: now,
        };
        self.chats.insert(location);
        Some(location)
    }

    pub(super) fn grant(&mut self, now: Moment, endpoint: EndpointId, job: Job) -> Next {
        let attempt = self.next_id;
        self.next_id += 1;
        let work = job.work(endpoint);
        let cached = job.cached(endpoint);
        let location = self.record_chat(now, &job, endpoint);
        let notify_home = job.home.zip(location);
        let state = self
            .states
            .entry(endpoint)
            .or_insert_with(|| EndpointState::new(0));
        state.add_request(now, work);
        if job.suspect {
            state.isolation = Isolation::Running(attempt);
        }
        let usage = self.usage.entry(job.pool).or_default();
        usage.add_running(&job);
        let priority = job.rank.priority;
        let running = Running {
            endpoint,
            job,
            work,
        };
        self.running.insert(attempt, running);
        Next::Dispatch(Grant {
            attempt,
            endpoint,
            cached,
            priority,
            notify_home,
        })
    }

    pub(super) fn home_endpoint(&self, job: &Job) -> Option<EndpointId> {
        self.view.ranked(job.pool, job.chat, 0).next()
    }
}
