//! The owner of endpoints: the one instance that dispatches to them.
//!
//! It sees all traffic to its endpoints, so it knows their work exactly,
//! keeps it under the bound, queues by class and workspace, and remembers
//! where chats went. Each call is a few microseconds of table work under the
//! caller's lock. When two instances take themselves for the owner of one
//! endpoint, each counts its own work and adds what the endpoint's lagging
//! report shows beyond it.
//!
//! *Not run* rests on [`Owner::cancel`]: it returns true only if the request
//! was still in the queue, and then no [`Wake`] will ever dispatch it.

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
use godwitpost_types::id::{BodyDigest, ChatId, EndpointId, InstanceId};
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

/// A number for a request that runs, unique at its owner.
pub type AttemptId = u64;

/// Requests that may wait at one owner for one pool.
///
/// At ten requests a second an owner's queue of this length is far past any
/// deadline; it bounds memory, at some 300 bytes each, to 300 KB a pool.
const MAX_QUEUED_REQUESTS: usize = 1024;

/// Leave to dispatch a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Names the attempt in [`Owner::finish`], which must be called once.
    pub attempt: AttemptId,
    /// Where to send it.
    pub endpoint: EndpointId,
    /// Prompt tokens estimated to be cached there.
    pub cached: u32,
    /// The priority to tell the engine; 0 goes first.
    pub priority: u8,
    /// The owner of the chat's home, if it is another instance: it has to be
    /// told of the location with [`Owner::record_location`].
    pub notify_home: Option<(InstanceId, Location)>,
}

/// What to do with a request that was offered.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Send it to the endpoint now.
    Dispatch(Grant),
    /// Keep it; a [`Wake`] with this ticket follows, at `until` the latest.
    Wait {
        /// Its number in the queue.
        ticket: Ticket,
        /// When it is refused if nothing came before.
        until: Moment,
    },
    /// Send it to another owner, with this hop.
    Forward {
        /// The owner.
        instance: InstanceId,
        /// What to send along; names the endpoint.
        hop: Hop,
    },
    /// It was not run here and won't be.
    Refuse(Refusal),
}

/// What to do now with a request that waited.
#[derive(Clone, Debug, PartialEq)]
pub struct Wake {
    /// Its number in the queue, gone now.
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
    /// Returns an owner with nothing running.
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

    /// Decides on a request that arrived with its hop.
    pub fn offer(&mut self, now: Moment, request: &Request, hop: &Hop) -> Next {
        for evidence in &hop.evidence {
            self.quarantine.insert(*evidence);
        }
        match self.admit(now, request, hop) {
            Ok(job) => self.place(now, job, hop),
            Err(reason) => Next::Refuse(Refusal::new(reason)),
        }
    }

    /// Takes in where another owner placed a chat whose home is here.
    pub fn record_location(&mut self, location: Location) {
        self.chats.insert(location);
    }

    /// Takes in how an attempt ended; returns who goes next.
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

    // A break is held against the request at once, since its caller may send
    // it again within milliseconds; a later sign of life takes it back.
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

    /// Takes a request out of the queue.
    ///
    /// Returns true only if it still waited; it will never be dispatched
    /// then, and *not run* is true as far as this instance goes.
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
            let drained = self.states.values_mut();
            drained
                .filter(|state| state.isolation == Isolation::Draining(ticket))
                .for_each(|state| state.isolation = Isolation::Off);
        }
    }

    /// Lets time pass: refuses what waited too long, moves on what came here
    /// by mistake, tries closed endpoints again. Called about every 100 ms.
    pub fn tick(&mut self, now: Moment) -> Vec<Wake> {
        self.expire_tables(now);
        for state in self.states.values_mut() {
            state.health.handle(health::Event::Tick(now));
        }
        let mut wakes = self.refuse_expired(now);
        // An instance that lags may still send here what this one no longer
        // owns. With its forwards used up such a request waits here, where no
        // end of another would ever wake it.
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
        let mut gone = Vec::new();
        for queue in self.queues.values_mut() {
            while let Some(expired) = queue.pop_expired(now) {
                gone.push(expired);
            }
        }
        gone.into_iter()
            .map(|(ticket, job)| {
                self.release_ticket(ticket, &job);
                Wake {
                    ticket,
                    next: Next::Refuse(Refusal::new(Reason::Deadline)),
                }
            })
            .collect()
    }

    /// Takes in an endpoint's own lagging report.
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

    // The incarnation that a connection broke to was alive afterwards, so it
    // had not crashed.
    fn retract_crashes(&mut self, endpoint: EndpointId, alive: Moment) {
        let Some(state) = self.states.get_mut(&endpoint) else {
            return;
        };
        if state.broken_at.is_none_or(|broke| alive <= broke) {
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

    /// Takes in an engine's cache event, which may be late and follow a gap.
    pub fn apply_cache_event(&mut self, endpoint: EndpointId, event: &chats::Event) {
        let row = self.chats.peek(event.pool, event.chat);
        let seen = row.filter(|row| row.endpoint == endpoint && row.seen <= event.at);
        if let (chats::Kind::Evicted, Some(seen), Some(state)) = (
            event.kind,
            seen.map(|row| row.seen),
            self.states.get_mut(&endpoint),
        ) {
            state.record_eviction(seen);
        }
        self.chats.apply_event(endpoint, event);
    }

    /// Returns the load of the owned endpoints of each pool, to be told to
    /// the others.
    #[must_use]
    pub fn summaries(&self, now: Moment) -> Vec<Summary> {
        let pools = self.view.owned_pools().keys();
        pools.map(|pool| self.summary(now, *pool)).collect()
    }

    /// Returns the summary of one pool, to send along with an answer.
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

    /// Takes in summaries of other instances.
    pub fn record_summaries(&mut self, summaries: &[Summary]) {
        for summary in summaries {
            self.peer_load.record(*summary);
        }
    }

    /// Returns what became known of requests that crash endpoints since the
    /// last call. To be sent to every instance at once, not with the gossip:
    /// the caller may send the request again within milliseconds.
    pub fn take_evidence(&mut self) -> Vec<Evidence> {
        std::mem::take(&mut self.unsent_evidence)
    }

    /// Returns what is known of one digest, to send along with the request.
    #[must_use]
    pub fn evidence_for(&self, digest: &BodyDigest) -> Vec<Evidence> {
        self.quarantine.evidence_for(digest)
    }

    /// Returns the quarantine, for operators to look at.
    #[must_use]
    pub const fn quarantine(&self) -> &quarantine::Table {
        &self.quarantine
    }

    /// Takes in evidence of other instances; returns what was new, to be
    /// passed on.
    pub fn record_evidence(&mut self, evidence: &[Evidence]) -> Vec<Evidence> {
        let fresh = evidence.iter().copied();
        fresh.filter(|e| self.quarantine.insert(*e)).collect()
    }

    /// Returns the number of requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that wait.
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

/// From one look for what has expired to the next.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// The longest that one call spends on a queue, in requests looked at.
const MAX_QUEUE_SCAN: usize = 64;

/// How long the first in a queue may be passed by others that fit.
const MAX_HEAD_BYPASS: Duration = Duration::from_secs(2);
