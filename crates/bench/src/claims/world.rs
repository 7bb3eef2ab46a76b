//! Plays one schedule.
//!
//! Everything that happens is an event at a moment of driven time. Events at
//! an instance that is paused wait for its end and then come in any order, as
//! sockets and timers do for a process that wakes; those of a former life of a
//! crashed instance are dropped.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_state::claim::{Holder, Id, Item, Page, ResponseCache, Scope, Verdict};
use godwitpost_types::clock::Moment;
use godwitpost_types::id::Offset;
use godwitpost_types::outcome::Outcome;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::caller::{Callers, Next as CallerNext};
use super::history::{Attempt, Event as Seen, History};
use super::plan::{END, Plan, START, up_to};
use super::weak::{Seat, Weakness};
use crate::state::log::{Log, Reply};

mod batching;
mod dispatch;

type Node = usize;
type Life = u64;

#[derive(Debug)]
enum Event {
    Caller(CallerNext),
    At(Node, Option<Life>, Local),
    Land(usize),
    Run(Attempt),
    Serve(Node, Life, Offset, usize),
    Pause(Node, Duration),
    Crash(Node),
    View(Node, Node),
    Truncate,
}

// Events at one instance.
#[derive(Debug)]
enum Local {
    Ask(Attempt),
    Gone(Attempt),
    Deadline(Attempt),
    Ask2(Attempt),
    Start(Attempt),
    FirstByte(Attempt),
    Ended(Attempt),
    Submit(Item),
    Verdict(Id, Verdict),
    Appended(usize),
    Page(Option<Page>),
    Wake,
}

struct Instance {
    life: Life,
    paused_until: Moment,
    view: Node,
    holder: Holder,
    answers: ResponseCache<()>,
    asked: BTreeMap<Attempt, (Id, Item)>,
    seat: Option<Seat>,
}

struct Append {
    node: Node,
    life: Life,
    ticket: u64,
    body: Vec<u8>,
    reply: Reply,
    landed: Option<(Offset, Moment)>,
}

struct World {
    rng: ChaCha8Rng,
    plan: Plan,
    weakness: Weakness,
    now: Moment,
    order: u64,
    queue: BTreeMap<(Moment, u64), Event>,
    instances: Vec<Instance>,
    log: Log,
    appends: Vec<Append>,
    callers: Callers,
    history: History,
}

/// Plays the schedule of a seed and returns what happened.
#[must_use]
pub fn play(seed: u64, weakness: Weakness) -> History {
    let mut world = World::new(seed, weakness);
    while let Some(((now, _), event)) = world.queue.pop_first() {
        if now > END {
            break;
        }
        world.now = now;
        world.handle(event);
    }
    world.history
}

impl World {
    fn new(seed: u64, weakness: Weakness) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let plan = Plan::draw(&mut rng);
        let callers = Callers::new(plan.keys, plan.instances);
        let mut world = Self {
            weakness,
            now: START,
            order: 0,
            queue: BTreeMap::new(),
            instances: (0..plan.instances)
                .map(|node| Instance::new(node, 1))
                .collect(),
            log: Log::new(plan.weather.clone(), plan.log_ahead),
            appends: Vec::new(),
            callers,
            history: History::default(),
            rng,
            plan,
        };
        world.schedule_plan();
        world
    }

    fn schedule_plan(&mut self) {
        let plan = self.plan.clone();
        for (node, at, long) in plan.pauses {
            self.at(at, Event::Pause(node, long));
        }
        for (node, at) in plan.crashes {
            self.at(at, Event::Crash(node));
        }
        for (node, at, view) in plan.views {
            self.at(at, Event::View(node, view));
        }
        for tens in 1..24 {
            self.at(START + Duration::from_secs(10 * tens), Event::Truncate);
        }
        for (at, next) in self.callers.begin(&mut self.rng) {
            self.at(at, Event::Caller(next));
        }
    }

    fn at(&mut self, at: Moment, event: Event) {
        self.order += 1;
        self.queue.insert((at, self.order), event);
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    fn local(&mut self, delay: Duration, node: Node, event: Local) {
        let life = self.instances[node].life;
        self.after(delay, Event::At(node, Some(life), event));
    }

    // A message to an instance, whichever life it is in when it arrives.
    fn send(&mut self, node: Node, event: Local) {
        if self.rng.random_bool(self.plan.lost) {
            return;
        }
        let way = self.plan.delay.mul_f64(self.rng.random_range(0.0..1.0));
        self.after(way, Event::At(node, None, event));
    }

    // The time on an instance's own clock.
    fn clock(&self, node: Node) -> Moment {
        self.now + self.plan.clocks[node]
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Caller(next) => self.caller(next),
            Event::At(node, life, local) => self.at_instance(node, life, local),
            Event::Land(append) => self.land(append),
            Event::Run(attempt) => self.history.push(Seen::Ran { attempt }),
            Event::Serve(node, life, from, limit) => self.serve(node, life, from, limit),
            Event::Pause(node, long) => self.instances[node].paused_until = self.now + long,
            Event::Crash(node) => self.crash(node),
            Event::View(node, view) => self.instances[node].view = view,
            Event::Truncate => self.log.truncate(self.now, self.plan.kept),
        }
    }

    fn crash(&mut self, node: Node) {
        let life = self.instances[node].life + 1;
        let incarnation = match self.weakness {
            Weakness::SameIncarnation => 1,
            _ => life,
        };
        let view = self.instances[node].view;
        self.instances[node] = Instance::new(node, incarnation);
        self.instances[node].life = life;
        self.instances[node].view = view;
    }

    fn at_instance(&mut self, node: Node, life: Option<Life>, local: Local) {
        let instance = &self.instances[node];
        if life.is_some_and(|life| life != instance.life) {
            return;
        }
        if self.now < instance.paused_until {
            let woken = instance.paused_until + up_to(0.01, &mut self.rng);
            self.at(woken, Event::At(node, life, local));
            return;
        }
        match local {
            Local::Ask(attempt) => self.ask(node, attempt),
            Local::Gone(attempt) | Local::Deadline(attempt) => self.give_up(node, attempt),
            Local::Ask2(attempt) => self.ask_again(node, attempt),
            Local::Start(attempt) => self.start(node, attempt),
            Local::FirstByte(attempt) => self.first_byte(node, attempt),
            Local::Ended(attempt) => self.ended(node, attempt),
            Local::Submit(item) => self.submit(node, item),
            Local::Verdict(id, verdict) => self.verdict(node, id, verdict),
            Local::Appended(append) => self.appended(node, append),
            Local::Page(page) => self.page(node, page),
            Local::Wake => self.drive(node),
        }
    }

    fn caller(&mut self, next: CallerNext) {
        match next {
            CallerNext::Send(attempt) => {
                let request = self.callers.request(attempt);
                let key = request.key.digest;
                let node = request.node;
                self.history.push(Seen::Sent { attempt, key });
                let way = up_to(0.01, &mut self.rng);
                self.after(way, Event::At(node, None, Local::Ask(attempt)));
                let timeout = request.patience + Duration::from_secs(2);
                self.after(timeout, Event::Caller(CallerNext::TimedOut(attempt)));
                if self.rng.random_bool(0.1) {
                    let gone = up_to(3.0, &mut self.rng);
                    self.after(gone, Event::At(node, None, Local::Gone(attempt)));
                }
            }
            CallerNext::TimedOut(attempt) => {
                self.resend(attempt, None);
            }
        }
    }

    fn tell(&mut self, attempt: Attempt, outcome: Outcome, scope: Scope) {
        self.history.push(Seen::Told {
            attempt,
            outcome,
            scope,
        });
        self.resend(attempt, Some(outcome));
    }

    fn resend(&mut self, attempt: Attempt, outcome: Option<Outcome>) {
        if let Some((at, next)) = self
            .callers
            .again(self.now, attempt, outcome, &mut self.rng)
        {
            self.at(at, Event::Caller(next));
        }
    }
}

impl Instance {
    fn new(node: Node, incarnation: u64) -> Self {
        Self {
            life: incarnation,
            paused_until: Moment::ZERO,
            view: 0,
            holder: Holder::new(node as u64, incarnation),
            answers: ResponseCache::new(2, Duration::from_secs(5)),
            asked: BTreeMap::new(),
            seat: None,
        }
    }
}
