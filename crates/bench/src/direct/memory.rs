//! Prompts in the memory of engines that come and go.
//!
//! Engines read prompts one after the other, keep what they read until memory
//! runs out, and fetch from each other over a link that carries one transfer at
//! a time. Instances place by what they know of loads and name sources by what
//! they know of holders; what one finds out the others are told a second later.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use godwitpost_direct::dialect::{Part, Prefix};
use godwitpost_direct::fetch::{Prompt, Selection, SourceCandidates, select_source};
use godwitpost_direct::stats::Report;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::hash;
use godwitpost_types::id::{EndpointId, PrefixId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::instance::Instance;
use super::{Form, Size};

/// Tokens that an engine reads in a millisecond.
const READS: f64 = 61.8;

/// Tokens that a link carries in a millisecond: 160 KiB each at 1,100 Gbit/s.
const CARRIES: f64 = 840.0;

/// What a fetch takes beside.
const SETUP: Duration = Duration::from_micros(1_700);

/// The time of one step, after which the first event leaves.
const STEP: Duration = Duration::from_millis(4);

/// The mean time from the first event to the last.
const STREAM: f64 = 1.5;

/// Tokens that an engine keeps.
const MEMORY: u32 = 500_000;

/// The time between two engines that are replaced, and how long one goes on
/// after its successor came.
const REPLACED: Duration = Duration::from_secs(3);
const DRAINS: Duration = Duration::from_secs(2);

/// The time between two engines that crash.
const CRASH: Duration = Duration::from_secs(5);

/// How long it takes until all instances know what one found out.
const TOLD: Duration = Duration::from_secs(1);

/// The kinds of prompts: their share, the tokens of a first part and how many
/// of those there are, and the tokens of the second.
const KINDS: [(f64, u32, u64, u32); 3] = [
    (0.18, 512, 3, 10_000),
    (0.52, 119, 40, 580),
    (0.30, 341, 40, 1_700),
];

/// What instances know of who holds what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// No source is named.
    None,
    /// Sources are the next in the ranking.
    Ranking,
    /// That, and what the instances tell each other.
    Told,
    /// Everything, at once.
    Oracle,
}

/// What came of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Recalled {
    /// Tokens read for each request though an engine that lives holds them.
    pub again: f64,
    /// Tokens fetched for each request.
    pub fetched: f64,
    /// Milliseconds to the first event, median and 99th percentile of all
    /// requests.
    pub first: [f64; 2],
}

struct Engine {
    id: EndpointId,
    // When it is through with what it reads, and its link with what it sends.
    reads_until: Moment,
    sends_until: Moment,
    // Beginnings with their own part's tokens, from when on they are held, and
    // when they were last used.
    held: BTreeMap<PrefixId, (u32, Moment, Moment)>,
    running: u32,
}

impl Engine {
    fn new(id: EndpointId) -> Self {
        Self {
            id,
            reads_until: Moment::ZERO,
            sends_until: Moment::ZERO,
            held: BTreeMap::new(),
            running: 0,
        }
    }

    // The tokens of the longest beginning that it holds.
    fn holds(&self, spans: &[Prefix], now: Moment) -> u32 {
        let held = |span: &&Prefix| self.held.get(&span.id).is_some_and(|(_, at, _)| *at <= now);
        let longest = spans.iter().take_while(held).last();
        longest.map_or(0, |span| span.tokens)
    }

    fn keep(&mut self, spans: &[Prefix], at: Moment) {
        let mut before = 0;
        for span in spans {
            let entry = self.held.entry(span.id).or_insert((0, at, at));
            entry.0 = span.tokens - before;
            entry.2 = at;
            before = span.tokens;
        }
        while self.held.values().map(|(tokens, ..)| tokens).sum::<u32>() > MEMORY {
            let oldest = self.held.iter().min_by_key(|(_, (.., used))| *used);
            let Some(id) = oldest.map(|(id, _)| *id) else {
                return;
            };
            self.held.remove(&id);
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Head {
        instance: usize,
        endpoint: EndpointId,
        prompt: u64,
    },
    End {
        instance: usize,
        endpoint: EndpointId,
        sent: Moment,
    },
    Replaced,
    Drained(EndpointId),
    Crashed,
    Told,
}

struct World {
    size: Size,
    knowledge: Knowledge,
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    engines: Vec<Engine>,
    // Engines that take nothing new, and still hold what they read.
    draining: Vec<Engine>,
    prompts: BTreeMap<u64, Vec<Prefix>>,
    queue: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    count: u64,
    firsts: Vec<f64>,
    again: f64,
    fetched: f64,
}

/// Drives the traffic of a size over engines that are replaced and crash.
#[must_use]
pub fn recall(size: &Size, knowledge: Knowledge, seed: u64) -> Recalled {
    let mut world = World {
        size: *size,
        knowledge,
        rng: ChaCha8Rng::seed_from_u64(seed),
        instances: (0..size.instances).map(|_| Instance::default()).collect(),
        engines: (0..size.endpoints as u64)
            .map(|n| Engine::new(hash::score(n, 1)))
            .collect(),
        draining: Vec::new(),
        prompts: BTreeMap::new(),
        queue: BinaryHeap::new(),
        count: size.endpoints as u64,
        firsts: Vec::new(),
        again: 0.0,
        fetched: 0.0,
    };
    world.push(Duration::ZERO, Event::Arrival);
    world.push(REPLACED, Event::Replaced);
    world.push(CRASH, Event::Crashed);
    world.push(TOLD, Event::Told);
    while let Some(Reverse((now, _, event))) = world.queue.pop() {
        if now > size.time {
            break;
        }
        world.handle(event, now);
    }
    world.recalled()
}

impl World {
    fn push(&mut self, at: Moment, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, event)));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-draw.ln() * mean)
    }

    fn handle(&mut self, event: Event, now: Moment) {
        match event {
            Event::Arrival => self.arrival(now),
            Event::Head {
                instance,
                endpoint,
                prompt,
            } => self.head(instance, endpoint, prompt, now),
            Event::End {
                instance,
                endpoint,
                sent,
            } => {
                let book = &mut self.instances[instance].book;
                book.end_request(endpoint, since(now, sent));
                if let Some(engine) = self.engine(endpoint) {
                    engine.running -= 1;
                }
            }
            Event::Replaced => {
                let old = self.leave(Some(now));
                self.push(now + DRAINS, Event::Drained(old));
                self.push(now + REPLACED, Event::Replaced);
            }
            Event::Drained(id) => self.draining.retain(|engine| engine.id != id),
            Event::Crashed => {
                self.leave(None);
                self.push(now + CRASH, Event::Crashed);
            }
            Event::Told => self.tell(now),
        }
    }

    // One engine makes place for a new one; it drains or is gone at once.
    fn leave(&mut self, drains: Option<Moment>) -> EndpointId {
        let index = self.rng.random_range(0..self.engines.len());
        self.count += 1;
        let new = Engine::new(hash::score(self.count, 2));
        let old = std::mem::replace(&mut self.engines[index], new);
        let id = old.id;
        if drains.is_some() {
            self.draining.push(old);
        }
        id
    }

    fn engine(&mut self, id: EndpointId) -> Option<&mut Engine> {
        let all = self.engines.iter_mut().chain(&mut self.draining);
        all.into_iter().find(|engine| engine.id == id)
    }

    // A prompt: the part by which it is placed, and its beginnings.
    fn prompt(&mut self) -> (Part, u64) {
        let mut draw: f64 = self.rng.random();
        let mut kind = 0;
        while kind + 1 < KINDS.len() && draw >= KINDS[kind].0 {
            draw -= KINDS[kind].0;
            kind += 1;
        }
        let (_, first_tokens, firsts, tokens) = KINDS[kind];
        let second = self.rng.random_range(0..self.size.parts as u64);
        let first = hash::score(second % firsts, 100 + kind as u64);
        let id = hash::score(second, 200 + kind as u64);
        let whole = Prefix {
            id: hash::score(first, id),
            tokens: first_tokens + tokens,
        };
        let begin = Prefix {
            id: first,
            tokens: first_tokens,
        };
        self.prompts.insert(id, vec![begin, whole]);
        let part = Part {
            id,
            tokens: whole.tokens,
        };
        (part, id)
    }

    fn arrival(&mut self, now: Moment) {
        let pause = self.exponential(1.0 / self.size.rate);
        self.push(now + pause, Event::Arrival);
        let (part, prompt) = self.prompt();
        let instance = self.rng.random_range(0..self.size.instances);
        let ids: Vec<EndpointId> = self.engines.iter().map(|engine| engine.id).collect();
        let draw = self.rng.random();
        let one = &mut self.instances[instance];
        let outlook = one.outlook(&ids, self.size.slots, Form::Whole, now);
        let (target, _) = one.place(&outlook, part, Form::Whole, now, draw);
        let source = self.source(instance, part, target, draw, now);
        let first = self.run(target, source, prompt, now);
        let whole = self.exponential(STREAM);
        self.push(
            first,
            Event::Head {
                instance,
                endpoint: target,
                prompt,
            },
        );
        self.push(
            first + whole,
            Event::End {
                instance,
                endpoint: target,
                sent: now,
            },
        );
        if now >= self.size.time / 3 {
            self.firsts.push(since(first, now).as_secs_f64() * 1e3);
        }
    }

    fn source(
        &self,
        instance: usize,
        part: Part,
        target: EndpointId,
        draw: u64,
        now: Moment,
    ) -> Option<EndpointId> {
        let spans = &self.prompts[&part.id];
        let all = self.engines.iter().chain(&self.draining);
        if self.knowledge == Knowledge::Oracle {
            return all
                .filter(|engine| engine.id != target)
                .max_by_key(|engine| (engine.holds(spans, now), Reverse(engine.sends_until)))
                .map(|engine| engine.id);
        }
        if self.knowledge == Knowledge::None {
            return None;
        }
        let others: Vec<EndpointId> = all
            .map(|engine| engine.id)
            .filter(|id| *id != target)
            .collect();
        let prompt = Prompt {
            part: part.id,
            prefixes: spans,
        };
        let directory = &self.instances[instance].directory;
        let others = SourceCandidates {
            all: &others,
            warm: &others,
        };
        match select_source(directory, prompt, target, others, draw, now) {
            Selection::From { endpoint, .. } => Some(endpoint),
            Selection::AlreadyHeld | Selection::Nobody => None,
        }
    }

    // Runs a prompt; returns when its first event leaves.
    fn run(
        &mut self,
        target: EndpointId,
        source: Option<EndpointId>,
        prompt: u64,
        now: Moment,
    ) -> Moment {
        let spans = self.prompts[&prompt].clone();
        let whole = spans.last().map_or(0, |span| span.tokens);
        let elsewhere = self.engines.iter().chain(&self.draining);
        let elsewhere = elsewhere.map(|engine| engine.holds(&spans, now)).max();
        let own = self
            .engine(target)
            .map_or(0, |engine| engine.holds(&spans, now));
        let at_source = source.and_then(|id| self.engine(id));
        let (mut has, mut ready) = (own, now);
        if let Some(engine) = at_source {
            let more = engine.holds(&spans, now).saturating_sub(own);
            if more > 0 {
                let way = SETUP + millis(f64::from(more) / CARRIES);
                ready = engine.sends_until.max(now) + way;
                engine.sends_until = ready;
                has += more;
            }
        }
        if now >= self.size.time / 3 {
            self.fetched += f64::from(has - own);
            self.again += f64::from(elsewhere.unwrap_or(0).saturating_sub(has));
        }
        let Some(engine) = self.engine(target) else {
            return now;
        };
        let through = engine.reads_until.max(ready) + millis(f64::from(whole - has) / READS);
        engine.reads_until = through;
        engine.keep(&spans, through);
        engine.running += 1;
        through + STEP
    }

    fn head(&mut self, instance: usize, endpoint: EndpointId, prompt: u64, now: Moment) {
        let slots = self.size.slots;
        let Some(all) = self.engine(endpoint).map(|engine| engine.running) else {
            return;
        };
        let running = all.min(slots);
        let report = Report {
            running,
            waiting: all - running,
            slots,
        };
        let one = &mut self.instances[instance];
        one.book.record_report(endpoint, report, now);
        if self.knowledge == Knowledge::Told {
            one.directory
                .record_read(endpoint, &self.prompts[&prompt], now);
        }
    }

    fn tell(&mut self, now: Moment) {
        let told: Vec<_> = self
            .instances
            .iter_mut()
            .flat_map(|one| one.directory.take_unsent(now))
            .collect();
        for one in &mut self.instances {
            for holding in &told {
                one.directory.apply_remote(holding, now);
            }
        }
        self.push(now + TOLD, Event::Told);
    }

    fn recalled(mut self) -> Recalled {
        self.firsts.sort_by(f64::total_cmp);
        let requests = u32::try_from(self.firsts.len()).map_or(f64::MAX, f64::from);
        let last = self.firsts.len() - 1;
        Recalled {
            again: self.again / requests,
            fetched: self.fetched / requests,
            first: [self.firsts[last / 2], self.firsts[last - last / 100]],
        }
    }
}

fn millis(count: f64) -> Duration {
    Duration::from_secs_f64(count / 1e3)
}
