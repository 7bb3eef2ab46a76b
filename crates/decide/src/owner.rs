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

mod book;
mod job;
mod room;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::Report;
use godwitpost_types::id::{BodyDigest, ChatId, EndpointId, Incarnation, InstanceId, NO_MODEL};
use godwitpost_types::policy::Policy;
use godwitpost_types::request::Request;

use self::book::{Book, Solo};
use self::job::{Job, Warm};
use self::room::Shares;
use crate::chats::{self, Location};
use crate::ending::Ending;
use crate::health;
use crate::hop::Hop;
use crate::load::{Means, Summary};
use crate::quarantine::{self, Evidence, Verdict};
use crate::queue::{Queue, Ticket};
use crate::refusal::{Reason, Refusal};
use crate::view::{Pool, View};

/// A number for a request that runs, unique at its owner.
pub type Attempt = u64;

/// Requests that may wait at one owner for one pool.
///
/// At ten requests a second an owner's queue of this length is far past any
/// deadline; it bounds memory, at some 300 bytes each, to 300 KB a pool.
const LONGEST: usize = 1024;

/// Leave to dispatch a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Names the attempt in [`Owner::finish`], which must be called once.
    pub attempt: Attempt,
    /// Where to send it.
    pub endpoint: EndpointId,
    /// Prompt tokens estimated to be cached there.
    pub cached: u32,
    /// The priority to tell the engine; 0 goes first.
    pub priority: u8,
    /// The owner of the chat's home, if it is another instance: it has to be
    /// told of the location with [`Owner::located`].
    pub tell: Option<(InstanceId, Location)>,
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
    books: BTreeMap<EndpointId, Book>,
    running: BTreeMap<Attempt, Running>,
    queues: BTreeMap<Pool, Queue<Job>>,
    tickets: BTreeMap<Ticket, Pool>,
    shares: BTreeMap<Pool, Shares>,
    chats: chats::Table,
    means: Means,
    quarantine: quarantine::Table,
    outbox: Vec<Evidence>,
    next: u64,
    tidied: Moment,
    strays: VecDeque<(Pool, ChatId)>,
    former: Arc<View>,
}

impl Owner {
    /// Returns an owner with nothing running.
    #[must_use]
    pub fn new(view: Arc<View>, policy: Arc<Policy>) -> Self {
        let mut owner = Self {
            former: Arc::clone(&view),
            view,
            policy,
            books: BTreeMap::new(),
            running: BTreeMap::new(),
            queues: BTreeMap::new(),
            tickets: BTreeMap::new(),
            shares: BTreeMap::new(),
            chats: chats::Table::default(),
            means: Means::default(),
            quarantine: quarantine::Table::default(),
            outbox: Vec::new(),
            next: 0,
            tidied: Moment::ZERO,
            strays: VecDeque::new(),
        };
        owner.open_books();
        owner
    }

    /// Goes over to a new view and policy.
    ///
    /// Running requests stay counted until they finish. Those that wait for a
    /// pool of which nothing is owned here any more move to its owners.
    pub fn adopt(&mut self, now: Moment, view: Arc<View>, policy: Arc<Policy>) -> Vec<Wake> {
        self.lose(&view);
        let pools = view.owned_pools().keys();
        let means = pools.map(|pool| (*pool, self.mean(now, *pool))).collect();
        let last = std::mem::replace(&mut self.view, view);
        self.policy = policy;
        self.inherit(now, &last, &means);
        self.open_books();
        let mut wakes = self.evict();
        wakes.extend(self.drain(now));
        wakes
    }

    // Homes move with the endpoints and with their owners; what is known of
    // the chats whose home or context moves goes along.
    fn lose(&mut self, next: &View) {
        if self.view.same_places(next) {
            return;
        }
        // With some of the last move left to do, both are done from before it.
        if self.strays.is_empty() {
            self.former = Arc::clone(&self.view);
        }
        let rows = self.chats.iter();
        self.strays = rows
            .map(|location| (location.pool, location.chat))
            .collect();
    }

    /// Decides on a request that arrived with its hop.
    pub fn offer(&mut self, now: Moment, request: &Request, hop: &Hop) -> Next {
        for evidence in &hop.evidence {
            self.quarantine.learn(*evidence);
        }
        match self.admit(now, request, hop) {
            Ok(job) => self.place(now, job, hop),
            Err(reason) => Next::Refuse(Refusal::new(reason)),
        }
    }

    fn admit(&mut self, now: Moment, request: &Request, hop: &Hop) -> Result<Job, Reason> {
        let mut job = Job::new(&self.policy, request, hop)?;
        if request.deadline <= now {
            return Err(Reason::Deadline);
        }
        match self.quarantine.judge(&request.digest, now) {
            Verdict::Convicted => return Err(Reason::Quarantined),
            Verdict::Suspect => job.suspect = true,
            Verdict::Clear => {}
        }
        if job.pool.model != NO_MODEL {
            self.recall(&mut job, hop);
            self.doubt(&mut job);
        }
        Ok(job)
    }

    // Where the chat is warm, if that is a place it can still go to. Only the
    // owner of the home sends it elsewhere, so no chain of hints is followed.
    fn recall(&mut self, job: &mut Job, hop: &Hop) {
        let found = self.chats.find(job.pool, job.chat);
        let Some(known) = found.filter(|known| self.lives(known)) else {
            return;
        };
        if known.endpoint == hop.endpoint {
            job.warm = Some(Warm::from(&known));
            return;
        }
        let usable = hop.count == 0
            && known.tokens > 0
            && self.view.serves(known.endpoint, job.pool)
            && !hop.tried.contains(&known.endpoint)
            && self.well(known.endpoint);
        if usable {
            job.warm = Some(Warm::from(&known));
        }
    }

    // Engines evict in the order of use, so whatever ran before a chat that
    // was evicted is gone as well, even if its event was lost in a gap.
    fn doubt(&self, job: &mut Job) {
        let Some(warm) = &mut job.warm else {
            return;
        };
        let horizon = self.books.get(&warm.endpoint).map(Book::horizon);
        if horizon.is_some_and(|horizon| warm.seen <= horizon) {
            warm.tokens = 0;
        }
    }

    fn lives(&self, location: &Location) -> bool {
        self.lives_on(location.endpoint, location.incarnation)
    }

    fn well(&self, endpoint: EndpointId) -> bool {
        let book = self.books.get(&endpoint);
        book.is_none_or(|book| book.health.access() != health::Access::None)
    }

    /// Decides where a request goes: to the endpoint where its chat is warm,
    /// along the chat's order while the bound forbids, then into the queue.
    fn place(&mut self, now: Moment, job: Job, hop: &Hop) -> Next {
        let target = job.warm.map_or(hop.endpoint, |warm| warm.endpoint);
        if !self.owns(target) && !hop.last() {
            return self.forward(&job, hop.clone(), target);
        }
        let mut hop = hop.clone();
        let ours = self.owns(target) && self.view.serves(target, job.pool);
        if ours && !hop.tried.contains(&target) {
            if self.fits(now, target, &job) {
                return self.grant(now, target, job);
            }
            self.note(&mut hop, target);
        }
        self.spill(now, job, hop)
    }

    fn owns(&self, endpoint: EndpointId) -> bool {
        self.view.owner(endpoint) == self.view.local()
    }

    // The chat's order beyond its own endpoint: owned endpoints are tried
    // here; of the others', the one whose owner has the least load goes next.
    fn spill(&mut self, now: Moment, job: Job, mut hop: Hop) -> Next {
        let view = Arc::clone(&self.view);
        hop.spilled = true;
        let mut next: Option<(u64, EndpointId)> = None;
        let mut others = 0;
        for endpoint in view.ranked(job.pool, job.chat, hop.zone).take(SCANNED) {
            if hop.tried.contains(&endpoint) {
                continue;
            }
            if self.owns(endpoint) {
                if self.fits(now, endpoint, &job) {
                    return self.grant(now, endpoint, job);
                }
                self.note(&mut hop, endpoint);
            } else if let Some(load) = self.heard(now, job.pool, endpoint) {
                next = next
                    .filter(|(least, _)| *least <= load)
                    .or(Some((load, endpoint)));
                others += 1;
            }
            if others == CHOICES {
                break;
            }
        }
        match next {
            Some((_, endpoint)) if !hop.last() => self.forward(&job, hop, endpoint),
            _ => self.wait(now, job, hop),
        }
    }

    // The mean load of the endpoints of an endpoint's owner, if nothing was
    // heard to wait for them.
    fn heard(&self, now: Moment, pool: Pool, endpoint: EndpointId) -> Option<u64> {
        let owner = self.view.owner(endpoint);
        match self.means.of(pool, owner, now) {
            Some(summary) if summary.waiting > 0 => None,
            Some(summary) => Some(summary.work / u64::from(summary.endpoints.max(1))),
            None => Some(0),
        }
    }

    fn note(&self, hop: &mut Hop, endpoint: EndpointId) {
        if !hop.tried.contains(&endpoint) {
            hop.tried.push(endpoint);
        }
        let load = self.books.get(&endpoint).map_or(0, Book::load);
        if self.well(endpoint) && hop.least.is_none_or(|(_, least)| load < least) {
            hop.least = Some((endpoint, load));
        }
    }

    // Where to wait: at the owner of the least loaded endpoint seen.
    fn wait(&mut self, now: Moment, mut job: Job, mut hop: Hop) -> Next {
        if let Some((endpoint, _)) = hop.least
            && !self.owns(endpoint)
            && hop.count <= crate::hop::MOST
        {
            hop.count = crate::hop::MOST;
            return self.forward(&job, hop, endpoint);
        }
        if let Some(endpoint) = self.settle_for(now, &mut job) {
            return self.grant(now, endpoint, job);
        }
        if !job.queues {
            return Next::Refuse(Refusal::new(Reason::Busy));
        }
        if self.view.owned_of(job.pool).is_empty() {
            return self.improvise(now, job, hop);
        }
        self.enqueue(now, job)
    }

    // The sender takes this instance for an owner, this one another. The lists
    // agree within seconds; until then the request goes to the owner in this
    // list, or after too many forwards to the endpoint itself, with whatever
    // room the mean leaves on it.
    fn improvise(&mut self, now: Moment, job: Job, hop: Hop) -> Next {
        let Some(home) = self.home(&job) else {
            return Next::Refuse(Refusal::new(Reason::NoEndpoint));
        };
        if hop.count < ASTRAY {
            return self.forward(&job, hop, home);
        }
        if !self.books.contains_key(&home) {
            let incarnation = self.view.endpoint(home).map_or(0, |e| e.incarnation);
            let mut book = Book::new(incarnation);
            book.presume(now, self.mean(now, job.pool));
            self.books.insert(home, book);
        }
        if self.fits(now, home, &job) {
            return self.grant(now, home, job);
        }
        Next::Refuse(Refusal::new(Reason::Busy))
    }

    // With nowhere else to go, the whole bound is open to a cold request.
    fn settle_for(&self, now: Moment, job: &mut Job) -> Option<EndpointId> {
        job.since = now;
        let owned = self.view.owned_of(job.pool).iter().copied();
        let fitting = owned.filter(|id| self.fits(now, *id, job));
        fitting.min_by_key(|id| self.load(*id))
    }

    fn enqueue(&mut self, now: Moment, job: Job) -> Next {
        let queue = self.queues.entry(job.pool).or_default();
        if queue.full(LONGEST, job.rank.flow) {
            return Next::Refuse(Refusal::new(Reason::QueueFull));
        }
        let ticket = self.next;
        self.next += 1;
        self.tickets.insert(ticket, job.pool);
        let until = job.rank.until;
        let rank = job.rank;
        let shares = self.shares.entry(job.pool).or_default();
        shares.arrive(now, &job);
        queue.push(ticket, &rank, job);
        Next::Wait { ticket, until }
    }

    fn forward(&self, job: &Job, mut hop: Hop, endpoint: EndpointId) -> Next {
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

    // A hint for the chat's next turn: after this one its context, prompt and
    // answer, is at the endpoint.
    fn remember(&mut self, now: Moment, job: &Job, endpoint: EndpointId) -> Option<Location> {
        if job.pool.model == NO_MODEL {
            return None;
        }
        let location = Location {
            chat: job.chat,
            pool: job.pool,
            endpoint,
            incarnation: self.view.endpoint(endpoint).map_or(0, |e| e.incarnation),
            tokens: job.prompt.saturating_add(job.answer),
            seen: now,
        };
        self.chats.put(location);
        Some(location)
    }

    /// Takes in where another owner placed a chat whose home is here.
    pub fn located(&mut self, location: Location) {
        self.chats.put(location);
    }

    fn grant(&mut self, now: Moment, endpoint: EndpointId, job: Job) -> Next {
        let attempt = self.next;
        self.next += 1;
        let work = job.work(endpoint);
        let cached = job.cached(endpoint);
        let location = self.remember(now, &job, endpoint);
        let tell = job.home.zip(location);
        let book = self.books.entry(endpoint).or_insert_with(|| Book::new(0));
        book.begin(now, work);
        if job.suspect {
            book.solo = Solo::Running(attempt);
        }
        let shares = self.shares.entry(job.pool).or_default();
        shares.begin(&job);
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
            tell,
        })
    }

    /// Takes in how an attempt ended; returns who goes next.
    pub fn finish(&mut self, now: Moment, attempt: Attempt, ending: Ending) -> Vec<Wake> {
        let Some(running) = self.running.remove(&attempt) else {
            return Vec::new();
        };
        self.settle(now, attempt, &running, ending);
        self.judge(now, &running, ending);
        self.drain(now)
    }

    fn settle(&mut self, now: Moment, attempt: Attempt, running: &Running, ending: Ending) {
        if let Some(shares) = self.shares.get_mut(&running.job.pool) {
            shares.end(&running.job);
        }
        let Some(book) = self.books.get_mut(&running.endpoint) else {
            return;
        };
        book.end(now, running.work);
        if book.solo == Solo::Running(attempt) {
            book.solo = Solo::Off;
        }
        match ending {
            Ending::Leaving => book.health.handle(health::Event::Leaving),
            ending if ending.harms() => book.health.handle(health::Event::Bad(now)),
            Ending::Done => book.health.handle(health::Event::Good(now)),
            _ => {}
        }
    }

    // A break is held against the request at once, since its caller may send
    // it again within milliseconds; a later sign of life takes it back.
    fn judge(&mut self, now: Moment, running: &Running, ending: Ending) {
        let Some(book) = self.books.get_mut(&running.endpoint) else {
            return;
        };
        let incarnation = book.health.incarnation();
        let kind = match ending {
            Ending::Broken => {
                book.broke = Some(now);
                quarantine::Kind::Crashed
            }
            Ending::Done if running.job.suspect => quarantine::Kind::Clean,
            _ => return,
        };
        self.testify(Evidence {
            digest: running.job.digest,
            endpoint: running.endpoint,
            incarnation,
            kind,
            at: now,
        });
    }

    fn testify(&mut self, evidence: Evidence) {
        if self.quarantine.learn(evidence) {
            self.outbox.push(evidence);
        }
    }

    /// Takes a request out of the queue.
    ///
    /// Returns true only if it still waited; it will never be dispatched
    /// then, and *not run* is true as far as this instance goes.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.withdraw(ticket).is_some()
    }

    fn withdraw(&mut self, ticket: Ticket) -> Option<Job> {
        let pool = self.tickets.remove(&ticket)?;
        let job = self.queues.get_mut(&pool)?.remove(ticket)?;
        self.left(ticket, &job);
        Some(job)
    }

    fn left(&mut self, ticket: Ticket, job: &Job) {
        self.tickets.remove(&ticket);
        if let Some(shares) = self.shares.get_mut(&job.pool) {
            shares.leave(job);
        }
        if job.suspect {
            let drained = self.books.values_mut();
            drained
                .filter(|book| book.solo == Solo::Draining(ticket))
                .for_each(|book| book.solo = Solo::Off);
        }
    }

    /// Lets time pass: refuses what waited too long, moves on what came here
    /// by mistake, tries closed endpoints again. Called about every 100 ms.
    pub fn tick(&mut self, now: Moment) -> Vec<Wake> {
        self.tidy(now);
        for book in self.books.values_mut() {
            book.health.handle(health::Event::Tick(now));
        }
        let mut wakes = self.time_out(now);
        // An instance that lags may still send here what this one no longer
        // owns. With its forwards used up such a request waits here, where no
        // end of another would ever wake it.
        wakes.extend(self.evict());
        wakes.extend(self.drain(now));
        wakes
    }

    fn tidy(&mut self, now: Moment) {
        if since(now, self.tidied) < TIDIED {
            return;
        }
        self.tidied = now;
        self.means.expire(now);
        self.quarantine.expire(now);
    }

    fn time_out(&mut self, now: Moment) -> Vec<Wake> {
        let mut gone = Vec::new();
        for queue in self.queues.values_mut() {
            while let Some(expired) = queue.expired(now) {
                gone.push(expired);
            }
        }
        gone.into_iter()
            .map(|(ticket, job)| {
                self.left(ticket, &job);
                Wake {
                    ticket,
                    next: Next::Refuse(Refusal::new(Reason::Deadline)),
                }
            })
            .collect()
    }

    /// Takes in an endpoint's own lagging report.
    pub fn observe(&mut self, endpoint: EndpointId, report: &Report) {
        let Some(book) = self.books.get_mut(&endpoint) else {
            return;
        };
        if book.health.hear(report.incarnation, report.standing) {
            book.broke = None;
        }
        if report.incarnation == book.health.incarnation() {
            book.compare(report);
            self.acquit(endpoint, report.taken);
        }
    }

    // The incarnation that a connection broke to was alive afterwards, so it
    // had not crashed.
    fn acquit(&mut self, endpoint: EndpointId, alive: Moment) {
        let Some(book) = self.books.get_mut(&endpoint) else {
            return;
        };
        if book.broke.is_none_or(|broke| alive <= broke) {
            return;
        }
        book.broke = None;
        let incarnation = book.health.incarnation();
        for evidence in self.quarantine.acquit(endpoint, incarnation, alive) {
            self.outbox.push(evidence);
        }
    }

    /// Takes in an engine's cache event, which may be late and follow a gap.
    pub fn cache_event(&mut self, endpoint: EndpointId, event: &chats::Event) {
        let row = self.chats.peek(event.pool, event.chat);
        let seen = row.filter(|row| row.endpoint == endpoint && row.seen <= event.at);
        if let (chats::Kind::Evicted, Some(seen), Some(book)) = (
            event.kind,
            seen.map(|row| row.seen),
            self.books.get_mut(&endpoint),
        ) {
            book.evicted(seen);
        }
        self.chats.apply(endpoint, event);
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
        let owned = self.view.owned_of(pool);
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
    pub fn learn(&mut self, summaries: &[Summary]) {
        for summary in summaries {
            self.means.learn(*summary);
        }
    }

    /// Returns what became known of requests that crash endpoints since the
    /// last call. To be sent to every instance at once, not with the gossip:
    /// the caller may send the request again within milliseconds.
    pub fn evidence(&mut self) -> Vec<Evidence> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns what is known of one digest, to send along with the request.
    #[must_use]
    pub fn evidence_on(&self, digest: &BodyDigest) -> Vec<Evidence> {
        self.quarantine.on(digest)
    }

    /// Returns the quarantine, for operators to look at.
    #[must_use]
    pub const fn quarantine(&self) -> &quarantine::Table {
        &self.quarantine
    }

    /// Takes in evidence of other instances; returns what was new, to be
    /// passed on.
    pub fn learn_evidence(&mut self, evidence: &[Evidence]) -> Vec<Evidence> {
        let fresh = evidence.iter().copied();
        fresh.filter(|e| self.quarantine.learn(*e)).collect()
    }

    /// Returns chat locations that belong to other owners in the present
    /// view, with whom they go to; looks at some of the table in each call,
    /// and returns `None` when there is no more to look at.
    ///
    /// Homes move when [`Owner::adopt`] brings other endpoints or instances;
    /// on a graceful stop, when the view has the local instance as leaving,
    /// all of them do. Called at each tick, and on a stop until it is done.
    pub fn handover(&mut self) -> Option<Vec<(InstanceId, Location)>> {
        if self.strays.is_empty() {
            return None;
        }
        let most = self.strays.len().min(HANDED);
        let some: Vec<(Pool, ChatId)> = self.strays.drain(..most).collect();
        let known = some
            .iter()
            .filter_map(|(pool, chat)| self.chats.peek(*pool, *chat));
        Some(known.flat_map(|location| self.heirs(location)).collect())
    }

    // The owners of the chat's home and of the endpoint where it is warm, if
    // they were here in the former view and are elsewhere now.
    fn heirs(&self, location: &Location) -> Vec<(InstanceId, Location)> {
        if !self.lives(location) || location.tokens == 0 {
            return Vec::new();
        }
        let home = |view: &View| view.ranked(location.pool, location.chat, 0).next();
        let local = self.view.local();
        let moved = |before: Option<EndpointId>, after: Option<EndpointId>| {
            let here = before.is_some_and(|id| self.former.owner(id) == local);
            let owner = after.map(|id| self.view.owner(id))?;
            (here && owner != local).then_some(owner)
        };
        let warm = Some(location.endpoint);
        let owners = [
            moved(home(&self.former), home(&self.view)),
            moved(warm, warm),
        ];
        let owners: BTreeSet<InstanceId> = owners.into_iter().flatten().collect();
        owners.into_iter().map(|id| (id, *location)).collect()
    }

    /// Takes over chat locations of an instance that stops.
    pub fn take_over(&mut self, locations: &[Location]) {
        // The most recently used come first and have to be put last.
        for location in locations.iter().rev() {
            self.located(*location);
        }
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
        self.books.get(&endpoint).map_or(0, Book::load)
    }

    // An endpoint that was another's until now has work that no report has
    // shown here yet, and its last owner may go on for seconds. Taken to be
    // idle, it would get twice its bound; so it is taken to be somewhat above
    // the mean until a report that was taken from now on says what is there.
    fn inherit(&mut self, now: Moment, last: &View, means: &BTreeMap<Pool, u64>) {
        let view = Arc::clone(&self.view);
        for (pool, owned) in view.owned_pools() {
            for id in owned {
                let here = self.books.contains_key(id);
                let known = last.endpoint(*id).map(|endpoint| endpoint.incarnation);
                let same = known.filter(|life| self.lives_on(*id, *life));
                if let Some(incarnation) = same.filter(|_| !here && last.serves(*id, *pool)) {
                    let mut book = Book::new(incarnation);
                    let mean = means.get(pool).copied().unwrap_or(0);
                    book.presume(now, mean + mean / PRESUMED);
                    self.books.insert(*id, book);
                }
            }
        }
    }

    fn lives_on(&self, id: EndpointId, incarnation: Incarnation) -> bool {
        let endpoint = self.view.endpoint(id);
        endpoint.is_some_and(|endpoint| endpoint.incarnation == incarnation)
    }

    // Books of endpoints that the view lost stay while something runs there.
    fn open_books(&mut self) {
        let view = Arc::clone(&self.view);
        for endpoint in view.endpoints() {
            if view.owner(endpoint.id) != view.local() && !self.books.contains_key(&endpoint.id) {
                continue;
            }
            let book = self.books.entry(endpoint.id);
            let book = book.or_insert_with(|| Book::new(endpoint.incarnation));
            book.health.hear(endpoint.incarnation, endpoint.standing);
        }
        self.books.retain(|id, book| {
            book.requests > 0 || (view.endpoint(*id).is_some() && view.owner(*id) == view.local())
        });
    }

    // What waits for a pool with no endpoint left here moves on.
    fn evict(&mut self) -> Vec<Wake> {
        let view = Arc::clone(&self.view);
        let here = |pool: Pool| !view.owned_of(pool).is_empty();
        let pools: Vec<Pool> = self.queues.keys().copied().filter(|p| !here(*p)).collect();
        let mut wakes = Vec::new();
        for pool in pools {
            let queue = self.queues.remove(&pool).unwrap_or_default();
            for (ticket, job) in queue.iter() {
                self.left(ticket, job);
                let next = self.relocate(job);
                wakes.push(Wake { ticket, next });
            }
        }
        wakes
    }

    fn home(&self, job: &Job) -> Option<EndpointId> {
        self.view.ranked(job.pool, job.chat, 0).next()
    }

    fn relocate(&self, job: &Job) -> Next {
        match self.home(job) {
            Some(endpoint) if !self.owns(endpoint) => {
                self.forward(job, Hop::first(0, endpoint), endpoint)
            }
            _ => Next::Refuse(Refusal::new(Reason::NoEndpoint)),
        }
    }
}

/// Part of the mean that an endpoint taken over is presumed to be above it:
/// a fifth, so that it gets little before its first report.
const PRESUMED: u64 = 5;

/// Locations looked at in one call of [`Owner::handover`], some 200 us.
const HANDED: usize = 512;

/// Forwards after which a request that nobody owns up to is dispatched by
/// whoever has it.
const ASTRAY: u8 = crate::hop::MOST + 4;

/// From one look for what has expired to the next.
const TIDIED: Duration = Duration::from_secs(5);

/// Endpoints of a chat's order that a spill looks at.
const SCANNED: usize = 16;

/// Owners of others that a spill chooses from.
const CHOICES: usize = 2;

/// The longest that one call spends on a queue, in requests looked at.
const LOOKED_AT: usize = 64;

/// How long the first in a queue may be passed by others that fit.
const PATIENCE: Duration = Duration::from_secs(2);
