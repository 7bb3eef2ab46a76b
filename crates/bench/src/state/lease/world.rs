//! Plays one schedule of a pool's lease.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_state::claim::{AppendFailure, Page};
use godwitpost_state::lease::{Holder, Next};
use godwitpost_state::order::FIRST_ORDER_DELAY;
use godwitpost_types::clock::Moment;
use godwitpost_types::id::{InstanceId, Offset};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Verdict, Weakness};
use crate::state::log::{Log, Reply, Weather};

const START: Moment = Duration::from_secs(10_000);
const BUSY: Duration = Duration::from_secs(90);
// After the faults: time for a lease to lapse, be taken, and the wait to pass.
const QUIET: Duration = Duration::from_secs(90);
const POOL: u64 = 1;
const LOOK_EVERY: Duration = Duration::from_secs(2);

#[derive(Debug)]
enum Event {
    Drive(usize, u64),
    Appended(usize, u64, u64, Reply),
    Land(u64),
    Serve(usize, u64, Offset, usize),
    Page(usize, u64, Option<Page>),
    Look(usize, u64),
    Send(usize, u64, Offset),
    Obey(usize, Order),
    Candidate(usize, bool),
    Pause(usize, Duration),
    Crash(usize),
    Truncate,
}

#[derive(Clone, Copy, Debug)]
struct Order {
    // The lease that it was given under, whether it says so or not.
    lease: Offset,
    fence: Option<Offset>,
    state: u64,
}

struct Node {
    life: u64,
    paused_until: Moment,
    ahead: Duration,
    holder: Holder,
    candidate: bool,
    // The version that this instance believes to be wanted.
    belief: u64,
    // The last order that it sent to each endpoint under this fence.
    sent: BTreeMap<usize, (Offset, u64)>,
    trusted: Option<Offset>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Endpoint {
    state: u64,
    // The highest fencing number that it was shown.
    highest: Offset,
    // The newest lease whose order it obeyed.
    newest: Offset,
}

struct World {
    rng: ChaCha8Rng,
    weakness: Weakness,
    now: Moment,
    order: u64,
    queue: BTreeMap<(Moment, u64), Event>,
    nodes: Vec<Node>,
    log: Log,
    bodies: BTreeMap<u64, Vec<u8>>,
    endpoints: [Endpoint; 2],
    fences: BTreeMap<Offset, (usize, u64)>,
    verdict: Verdict,
}

// The endpoint that checks fencing numbers, and the one that does not.
const CHECKING: usize = 0;
const IGNORING: usize = 1;

/// Plays the schedule of a seed.
#[must_use]
pub fn play(seed: u64, weakness: Weakness) -> Verdict {
    let mut world = World::new(seed, weakness);
    while let Some(((now, _), event)) = world.queue.pop_first() {
        if now > START + BUSY + QUIET {
            break;
        }
        world.now = now;
        world.handle(event);
    }
    world.finish()
}

impl World {
    fn new(seed: u64, weakness: Weakness) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let size = rng.random_range(2..=4);
        let weather = weather(&mut rng);
        let ahead = up_to(3.0, &mut rng);
        let nodes = (0..size).map(|n| Node::new(n, 1, up_to(3.0, &mut rng)));
        let nodes = nodes.collect();
        let mut world = Self {
            log: Log::new(weather, ahead),
            weakness,
            now: START,
            order: 0,
            queue: BTreeMap::new(),
            nodes,
            bodies: BTreeMap::new(),
            endpoints: [Endpoint::default(); 2],
            fences: BTreeMap::new(),
            verdict: Verdict::default(),
            rng,
        };
        world.schedule(size);
        world
    }

    fn schedule(&mut self, size: usize) {
        for n in 0..size {
            self.at(START, Event::Candidate(n, n == 0));
            self.at(START, Event::Drive(n, 1));
            self.at(START, Event::Look(n, 1));
        }
        for _ in 0..self.rng.random_range(2..10) {
            let n = self.rng.random_range(0..size);
            let candidate = self.rng.random_bool(0.6);
            let at = self.moment();
            self.at(at, Event::Candidate(n, candidate));
        }
        for _ in 0..self.rng.random_range(0..5) {
            let n = self.rng.random_range(0..size);
            let (at, long) = (self.moment(), up_to(40.0, &mut self.rng));
            self.at(at, Event::Pause(n, long));
        }
        for _ in 0..self.rng.random_range(0..3) {
            let n = self.rng.random_range(0..size);
            let at = self.moment();
            self.at(at, Event::Crash(n));
        }
        if self.rng.random_bool(0.5) {
            let at = self.moment();
            self.at(at, Event::Truncate);
        }
        // Quiet: everyone agrees in the end.
        let last = self.rng.random_range(0..size);
        for n in 0..size {
            self.at(START + BUSY, Event::Candidate(n, n == last));
        }
    }

    fn moment(&mut self) -> Moment {
        START + BUSY.mul_f64(self.rng.random_range(0.0..0.9))
    }

    fn at(&mut self, at: Moment, event: Event) {
        self.order += 1;
        self.queue.insert((at, self.order), event);
    }

    // The version that the bundle wants now; instances learn of it late.
    fn wanted(at: Moment) -> u64 {
        at.saturating_sub(START).min(BUSY).as_secs() / 20 + 1
    }

    fn handle(&mut self, event: Event) {
        let of = match &event {
            Event::Drive(n, life)
            | Event::Appended(n, life, ..)
            | Event::Page(n, life, _)
            | Event::Look(n, life)
            | Event::Send(n, life, _) => Some((*n, *life)),
            _ => None,
        };
        if let Some((n, life)) = of {
            if life != self.nodes[n].life {
                return;
            }
            let until = self.nodes[n].paused_until;
            if self.now < until {
                let woken = until + up_to(0.01, &mut self.rng);
                self.at(woken, event);
                return;
            }
        }
        self.act(event);
    }

    fn act(&mut self, event: Event) {
        match event {
            Event::Drive(n, _) => self.drive(n),
            Event::Appended(n, _, ticket, reply) => self.appended(n, ticket, reply),
            Event::Land(append) => self.land(append),
            Event::Serve(n, life, from, limit) => self.serve(n, life, from, limit),
            Event::Page(n, _, page) => self.page(n, page),
            Event::Look(n, _) => self.look(n),
            Event::Send(n, _, fence) => self.send(n, fence),
            Event::Obey(endpoint, order) => self.obey(endpoint, order),
            Event::Candidate(n, candidate) => self.candidate(n, candidate),
            Event::Pause(n, long) => self.nodes[n].paused_until = self.now + long,
            Event::Crash(n) => self.crash(n),
            Event::Truncate => self.log.truncate(self.now, Duration::from_secs(5)),
        }
    }

    fn candidate(&mut self, n: usize, candidate: bool) {
        self.nodes[n].candidate = candidate;
        self.nodes[n].holder.set_candidate(candidate);
        let life = self.nodes[n].life;
        self.at(self.now, Event::Drive(n, life));
    }

    fn crash(&mut self, n: usize) {
        let node = &self.nodes[n];
        let (life, ahead, candidate) = (node.life + 1, node.ahead, node.candidate);
        self.nodes[n] = Node::new(n, life, ahead);
        self.candidate(n, candidate);
        self.at(self.now, Event::Look(n, life));
    }

    fn drive(&mut self, n: usize) {
        let now = self.now + self.nodes[n].ahead;
        let life = self.nodes[n].life;
        match self.nodes[n].holder.next(now) {
            Next::Append { ticket, body } => {
                let fate = self.log.append(self.now, &mut self.rng);
                self.order += 1;
                let append = self.order;
                self.bodies.insert(append, body);
                if let Some(effect) = fate.effect {
                    self.at(effect, Event::Land(append));
                }
                self.at(fate.answer, Event::Appended(n, life, ticket, fate.reply));
            }
            Next::Read { from, limit } => {
                let way = self.log.way(&mut self.rng);
                self.at(self.now + way, Event::Serve(n, life, from, limit as usize));
            }
            Next::Wait(Some(until)) => {
                let wait = until.saturating_sub(now).max(Duration::from_millis(1));
                self.at(self.now + wait, Event::Drive(n, life));
            }
            Next::Wait(None) => {}
        }
        self.note_holder(n);
    }

    // A fencing number belongs to one holder in one life.
    fn note_holder(&mut self, n: usize) {
        let now = self.now + self.nodes[n].ahead;
        if let Some(fence) = self.nodes[n].holder.may_order(now) {
            self.nodes[n].trusted = Some(fence);
            let life = self.nodes[n].life;
            let owner = *self.fences.entry(fence).or_insert((n, life));
            self.verdict.shared_fences += u64::from(owner != (n, life));
        }
    }

    fn appended(&mut self, n: usize, ticket: u64, reply: Reply) {
        let now = self.now + self.nodes[n].ahead;
        let holder = &mut self.nodes[n].holder;
        match reply {
            Reply::Done => holder.appended(now, ticket),
            Reply::NotDone => holder.append_failed(now, ticket, AppendFailure::NotApplied),
            Reply::Lost => holder.append_failed(now, ticket, AppendFailure::Unknown),
        }
        self.drive(n);
    }

    fn land(&mut self, append: u64) {
        if let Some(body) = self.bodies.remove(&append) {
            self.log.land(self.now, body);
        }
    }

    fn serve(&mut self, n: usize, life: u64, from: Offset, limit: usize) {
        let page = self.log.read(self.now, from, limit, &mut self.rng);
        let way = self.log.way(&mut self.rng);
        self.at(self.now + way, Event::Page(n, life, page));
    }

    fn page(&mut self, n: usize, page: Option<Page>) {
        let now = self.now + self.nodes[n].ahead;
        let holder = &mut self.nodes[n].holder;
        match page {
            Some(page) => holder.apply_page(now, &page),
            None => holder.read_failed(now),
        }
        self.drive(n);
    }

    // Looks at the endpoints' reports and decides on orders.
    fn look(&mut self, n: usize) {
        let life = self.nodes[n].life;
        self.at(self.now + LOOK_EVERY, Event::Look(n, life));
        let learns = self.rng.random_bool(0.5) || self.now > START + BUSY;
        if learns {
            self.nodes[n].belief = Self::wanted(self.now);
        }
        let now = self.now + self.nodes[n].ahead;
        let holder = &self.nodes[n].holder;
        let waited = holder
            .held_since()
            .is_some_and(|since| now >= since + FIRST_ORDER_DELAY);
        let fence = match self.weakness {
            Weakness::TrustsItsLease => self.nodes[n].trusted,
            _ => holder.may_order(now).filter(|_| waited),
        };
        if let Some(fence) = fence {
            // A little time passes between the decision and the sending.
            let at = self.now + up_to(0.2, &mut self.rng);
            self.at(at, Event::Send(n, life, fence));
        }
    }

    fn send(&mut self, n: usize, fence: Offset) {
        let now = self.now + self.nodes[n].ahead;
        let still = self.nodes[n].holder.may_order(now) == Some(fence);
        if !still && self.weakness != Weakness::TrustsItsLease {
            return;
        }
        for endpoint in [CHECKING, IGNORING] {
            self.order_one(n, fence, endpoint);
        }
    }

    fn order_one(&mut self, n: usize, fence: Offset, endpoint: usize) {
        let belief = self.nodes[n].belief;
        let before = self.nodes[n].sent.insert(endpoint, (fence, belief));
        let reported = self.endpoints[endpoint].state;
        let needed = match self.weakness {
            Weakness::NeverLooksAgain => before != Some((fence, belief)),
            _ => reported != belief,
        };
        if !needed {
            return;
        }
        self.verdict.orders += 1;
        let order = Order {
            lease: fence,
            fence: (self.weakness != Weakness::NoFence).then_some(fence),
            state: belief,
        };
        let lost = self.now < START + BUSY && self.rng.random_bool(0.1);
        if !lost {
            let way = self.order_way();
            self.at(self.now + way, Event::Obey(endpoint, order));
        }
    }

    // An order is under way for up to two seconds; one in twenty belongs to a
    // holder that was paused between its look at the clock and the sending.
    fn order_way(&mut self) -> Duration {
        let paused = self.now < START + BUSY && self.rng.random_bool(0.05);
        let longest = if paused { 40.0 } else { 2.0 };
        up_to(longest, &mut self.rng)
    }

    fn obey(&mut self, endpoint: usize, order: Order) {
        let target = &mut self.endpoints[endpoint];
        if endpoint == CHECKING {
            let number = order.fence.unwrap_or(target.highest);
            if number < target.highest {
                return;
            }
            target.highest = number;
        }
        let old = u64::from(order.lease < target.newest);
        target.newest = target.newest.max(order.lease);
        target.state = order.state;
        if endpoint == CHECKING {
            self.verdict.obeyed_old += old;
        } else {
            self.verdict.ignored_old += old;
        }
    }

    fn finish(mut self) -> Verdict {
        let wanted = Self::wanted(START + BUSY);
        self.verdict.holders = self.fences.len() as u64;
        self.verdict.checking_wrong = self.endpoints[CHECKING].state != wanted;
        self.verdict.ignoring_wrong = self.endpoints[IGNORING].state != wanted;
        self.verdict
    }
}

impl Node {
    fn new(n: usize, life: u64, ahead: Duration) -> Self {
        Self {
            life,
            paused_until: Moment::ZERO,
            ahead,
            holder: Holder::new(POOL, n as InstanceId, life),
            candidate: false,
            belief: 1,
            sent: BTreeMap::new(),
            trusted: None,
        }
    }
}

fn weather(rng: &mut ChaCha8Rng) -> Weather {
    Weather {
        lost: rng.random_range(0.0..0.3),
        unread: rng.random_range(0.0..0.2),
        outages: (0..rng.random_range(0..3))
            .map(|_| {
                let from = START + BUSY.mul_f64(rng.random_range(0.0..0.8));
                (from, from + up_to(15.0, rng))
            })
            .collect(),
        delay: up_to(0.3, rng),
    }
}

fn up_to(seconds: f64, rng: &mut ChaCha8Rng) -> Duration {
    Duration::from_secs_f64(rng.random_range(0.0..seconds))
}
