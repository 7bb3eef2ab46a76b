//! The owner of endpoints: the one instance that dispatches to them.
//!
//! The owner sees all traffic to its endpoints. It therefore knows their work
//! exactly, keeps it under the load bound, queues requests by class and
//! workspace, and records where chats ran. Each call takes a few microseconds
//! of table lookups under the caller's lock. When two instances both act as
//! owner of one endpoint, each counts its own work and adds whatever the
//! endpoint's delayed report shows beyond that.
//!
//! The outcome *not run* relies on [`Owner::cancel`]: it returns true only if
//! the request was still in the queue, and then no [`Wake`] will ever dispatch
//! it.

mod change;
mod endpoint;
mod job;
mod place;
mod room;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::Report;
use godwitpost_types::id::{ChatId, EndpointId, InstanceId};
use godwitpost_types::policy::Policy;
use godwitpost_types::request::Request;

use self::endpoint::{EndpointState, Isolation};
use self::job::Job;
use self::room::PoolUsage;
use crate::chats::{self, Location};
use crate::ending::Ending;
use crate::health;
use crate::hop::Hop;
use crate::load::{self, Summary};
use crate::quarantine::{self, Evidence};
use crate::queue::{Queue, Ticket};
use crate::refusal::{Reason, Refusal};
use crate::view::{Pool, View};

/// Identifies a running request; unique at its owner.
pub type AttemptId = u64;

/// Maximum number of requests that wait at one owner for one pool.
///
/// At ten requests per second, a request at the end of a queue of this length
/// would wait far past any deadline. The bound limits memory to 300 KB per
/// pool, at about 300 bytes per request.
const MAX_QUEUED_REQUESTS: usize = 1024;

/// Permission to dispatch a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The attempt's id, to be passed to [`Owner::finish`] exactly once.
    pub attempt: AttemptId,
    /// The endpoint to send it to.
    pub endpoint: EndpointId,
    /// Prompt tokens estimated to be cached at the endpoint.
    pub cached: u32,
    /// The priority to pass to the engine; 0 is the highest.
    pub priority: u8,
    /// The owner of the chat's home endpoint, if it is another instance. The
    /// location must be passed to its [`Owner::record_location`].
    pub notify_home: Option<(InstanceId, Location)>,
}

/// What to do with an offered request.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Send it to the endpoint now.
    Dispatch(Grant),
    /// Keep it. A [`Wake`] with this ticket follows, no later than `until`.
    Wait {
        /// Its ticket in the queue.
        ticket: Ticket,
        /// When it is refused if it has not been dispatched.
        until: Moment,
    },
    /// Send it to another owner, with this hop.
    Forward {
        /// The owner to send it to.
        instance: InstanceId,
        /// The hop to send with it; it names the endpoint.
        hop: Hop,
    },
    /// It was not run here and will not be.
    Refuse(Refusal),
}

/// What to do with a request that was waiting.
#[derive(Clone, Debug, PartialEq)]
pub struct Wake {
    /// Its ticket, which is no longer in the queue.
    pub ticket: Ticket,
    /// What to do; never [`Next::Wait`].
    pub next: Next,
}

#[derive(Debug)]
struct Running {
    endpoint: EndpointId,
    job: Job,
    work: u64,
}

/// The endpoints that the local instance dispatches to, and their queues.
#[derive(Debug)]
pub struct Owner {
    view: Arc<View>,
    policy: Arc<Policy>,
    states: BTreeMap<EndpointId, EndpointState>,
    running: BTreeMap<AttemptId, Running>,
    queues: BTreeMap<Pool, Queue<Job>>,
    tickets: BTreeMap<Ticket, Pool>,
    usage: BTreeMap<Pool, PoolUsage>,
    chats: chats::Table,
    peer_load: load::Table,
    quarantine: quarantine::Table,
    unsent_evidence: Vec<Evidence>,
    next_id: u64,
    last_expiry: Moment,
    pending_handover: VecDeque<(Pool, ChatId)>,
    handover_base: Arc<View>,
}

impl Owner {
    /// Returns an owner with no running requests.
    #[must_use]
    pub fn new(view: Arc<View>, policy: Arc<Policy>) -> Self {
        let mut owner = Self {
            handover_base: Arc::clone(&view),
            view,
            policy,
            states: BTreeMap::new(),
            running: BTreeMap::new(),
            queues: BTreeMap::new(),
            tickets: BTreeMap::new(),
            usage: BTreeMap::new(),
            chats: chats::Table::default(),
            peer_load: load::Table::default(),
            quarantine: quarantine::Table::default(),
            unsent_evidence: Vec::new(),
            next_id: 0,
            last_expiry: Moment::ZERO,
            pending_handover: VecDeque::new(),
        };
        owner.sync_states();
        owner
    }

    /// Decides what to do with a request that arrived with this hop.
    pub fn offer(&mut self, now: Moment, request: &Request, hop: &Hop) -> Next {
        for evidence in &hop.evidence {
            self.quarantine.insert(*evidence);
        }
        match self.admit(now, request, hop) {
            Ok(job) => self.place(now, job, hop),
            Err(reason) => Next::Refuse(Refusal::new(reason)),
        }
    }

    /// Records where another owner placed a chat whose home endpoint is owned
    /// here.
    pub fn record_location(&mut self, location: Location) {
        self.chats.insert(location);
    }

    /// Records how an attempt ended and returns the waiting requests to
    /// proceed with.
    pub fn finish(&mut self, now: Moment, attempt: AttemptId, ending: Ending) -> Vec<Wake> {
        let Some(running) = self.running.remove(&attempt) else {
            return Vec::new();
        };
        self.release(now, attempt, &running, ending);
        self.record_attempt_evidence(now, &running, ending);
        self.dispatch_waiting(now)
    }

    fn release(&mut self, now: Moment, attempt: AttemptId, running: &Running, ending: Ending) {
        if let Some(usage) = self.usage.get_mut(&running.job.pool) {
            usage.remove_running(&running.job);
        }
        let Some(state) = self.states.get_mut(&running.endpoint) else {
            return;
        };
        state.remove_request(now, running.work);
        if state.isolation == Isolation::Running(attempt) {
            state.isolation = Isolation::Off;
        }
        match ending {
            Ending::Leaving => state.health.handle(health::Event::Leaving),
            ending if ending.counts_against_health() => {
                state.health.handle(health::Event::Failure(now));
            }
            Ending::Done => state.health.handle(health::Event::Success(now)),
            _ => {}
        }
    }

    // A broken connection counts as a crash at once, because the caller may
    // resend the request within milliseconds. A later report that the same
    // incarnation is alive retracts it.
    fn record_attempt_evidence(&mut self, now: Moment, running: &Running, ending: Ending) {
        let Some(state) = self.states.get_mut(&running.endpoint) else {
            return;
        };
        let incarnation = state.health.incarnation();
        let kind = match ending {
            Ending::Broken => {
                state.broken_at = Some(now);
                quarantine::Kind::Crashed
            }
            Ending::Done if running.job.suspect => quarantine::Kind::Clean,
            _ => return,
        };
        self.add_evidence(Evidence {
            digest: running.job.digest,
            endpoint: running.endpoint,
            incarnation,
            kind,
            at: now,
        });
    }

    fn add_evidence(&mut self, evidence: Evidence) {
        if self.quarantine.insert(evidence) {
            self.unsent_evidence.push(evidence);
        }
    }

    /// Cancels a waiting request.
    ///
    /// Returns true only if it was still waiting. It will then never be
    /// dispatched, and *not run* is true as far as this instance is concerned.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.dequeue(ticket).is_some()
    }

    fn dequeue(&mut self, ticket: Ticket) -> Option<Job> {
        let pool = self.tickets.remove(&ticket)?;
        let job = self.queues.get_mut(&pool)?.remove(ticket)?;
        self.release_ticket(ticket, &job);
        Some(job)
    }

    fn release_ticket(&mut self, ticket: Ticket, job: &Job) {
        self.tickets.remove(&ticket);
        if let Some(usage) = self.usage.get_mut(&job.pool) {
            usage.remove_waiting(job);
        }
        if job.suspect {
            let states = self.states.values_mut();
            states
                .filter(|state| state.isolation == Isolation::Draining(ticket))
                .for_each(|state| state.isolation = Isolation::Off);
        }
    }

    /// Performs periodic work: refuses requests whose deadline passed,
    /// reroutes requests for pools that are not owned here, and tries closed
    /// endpoints again. Called about every 100 ms.
    pub fn tick(&mut self, now: Moment) -> Vec<Wake> {
        self.expire_tables(now);
        for state in self.states.values_mut() {
            state.health.handle(health::Event::Tick(now));
        }
        let mut wakes = self.refuse_expired(now);
        // An instance with an outdated view may still send requests for
        // endpoints that are no longer owned here. A request that has no
        // forwards left waits here, and because nothing is owned, no finishing
        // request would ever wake it.
        wakes.extend(self.reroute_waiting());
        wakes.extend(self.dispatch_waiting(now));
        wakes
    }

    fn expire_tables(&mut self, now: Moment) {
        if since(now, self.last_expiry) < EXPIRY_INTERVAL {
            return;
        }
        self.last_expiry = now;
        self.peer_load.expire(now);
        self.quarantine.expire(now);
    }

    fn refuse_expired(&mut self, now: Moment) -> Vec<Wake> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            while let Some(expired) = queue.pop_expired(now) {
                removed.push(expired);
            }
        }
        removed
            .into_iter()
            .map(|(ticket, job)| {
                self.release_ticket(ticket, &job);
                Wake {
                    ticket,
                    next: Next::Refuse(Refusal::new(Reason::Deadline)),
                }
            })
            .collect()
    }

    /// Applies an endpoint's own report, which lags behind.
    pub fn apply_report(&mut self, endpoint: EndpointId, report: &Report) {
        let Some(state) = self.states.get_mut(&endpoint) else {
            return;
        };
        if state
            .health
            .update_standing(report.incarnation, report.standing)
        {
            state.broken_at = None;
        }
        if report.incarnation == state.health.incarnation() {
            state.apply_report(report);
            self.retract_crashes(endpoint, report.taken);
        }
    }

    // A report taken after the connection broke shows that the same
    // incarnation was still alive, so it had not crashed.
    fn retract_crashes(&mut self, endpoint: EndpointId, alive: Moment) {
        let Some(state) = self.states.get_mut(&endpoint) else {
            return;
        };
        if state.broken_at.is_none_or(|broken_at| alive <= broken_at) {
            return;
        }
        state.broken_at = None;
        let incarnation = state.health.incarnation();
        for evidence in self
            .quarantine
            .retract_crashes(endpoint, incarnation, alive)
        {
            self.unsent_evidence.push(evidence);
        }
    }

    /// Applies an engine's cache event. Events may be late, and earlier ones
    /// may have been lost.
    pub fn apply_cache_event(&mut self, endpoint: EndpointId, event: &chats::Event) {
        let location = self.chats.peek(event.pool, event.chat);
        let seen =
            location.filter(|location| location.endpoint == endpoint && location.seen <= event.at);
        if let (chats::Kind::Evicted, Some(seen), Some(state)) = (
            event.kind,
            seen.map(|location| location.seen),
            self.states.get_mut(&endpoint),
        ) {
            state.record_eviction(seen);
        }
        self.chats.apply_event(endpoint, event);
    }

    /// Returns a load summary of the owned endpoints for each pool, to send to
    /// the other instances.
    #[must_use]
    pub fn summaries(&self, now: Moment) -> Vec<Summary> {
        let pools = self.view.owned_pools().keys();
        pools.map(|pool| self.summary(now, *pool)).collect()
    }

    /// Returns the summary of one pool, to send along with a response.
    #[must_use]
    pub fn summary(&self, now: Moment, pool: Pool) -> Summary {
        let owned = self.view.owned_in_pool(pool);
        Summary {
            source: self.view.local(),
            pool,
            endpoints: u32::try_from(owned.len()).unwrap_or(u32::MAX),
            work: owned.iter().map(|id| self.load(*id)).sum(),
            waiting: self.queues.get(&pool).map_or(0, Queue::count),
            taken: now,
        }
    }

    /// Records summaries of other instances.
    pub fn record_summaries(&mut self, summaries: &[Summary]) {
        for summary in summaries {
            self.peer_load.record(*summary);
        }
    }

    /// Returns the evidence on requests that crash endpoints collected since
    /// the last call.
    ///
    /// The caller must send it to every instance at once rather than with the
    /// gossip, because the request may be resent within milliseconds.
    pub fn take_evidence(&mut self) -> Vec<Evidence> {
        std::mem::take(&mut self.unsent_evidence)
    }

    /// Returns the evidence on a request, to send along with it.
    #[must_use]
    pub fn evidence_for(&self, request: &Request) -> Vec<Evidence> {
        self.quarantine
            .evidence_for(&quarantine::identity_of(request))
    }

    /// Returns the quarantine table, for operators to inspect.
    #[must_use]
    pub const fn quarantine(&self) -> &quarantine::Table {
        &self.quarantine
    }

    /// Records evidence from other instances and returns what was new, to be
    /// passed on.
    pub fn record_evidence(&mut self, evidence: &[Evidence]) -> Vec<Evidence> {
        let candidates = evidence.iter().copied();
        candidates.filter(|e| self.quarantine.insert(*e)).collect()
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.tickets.len()
    }

    /// Returns the work counted on an endpoint, in tokens.
    #[must_use]
    pub fn load(&self, endpoint: EndpointId) -> u64 {
        self.states.get(&endpoint).map_or(0, EndpointState::load)
    }
}

/// How often expired entries are removed from the tables.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of queued requests that one call examines.
const MAX_QUEUE_SCAN: usize = 64;

/// How long later requests that fit may be dispatched ahead of the first one
/// in a queue.
const MAX_HEAD_BYPASS: Duration = Duration::from_secs(2);
