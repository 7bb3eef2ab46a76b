//! Prompts that share parts, placed by many instances on the same endpoints.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

use godwitpost_direct::dialect::Part;
use godwitpost_direct::place::Choice;
use godwitpost_direct::stats::Report;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::hash;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::instance::Instance;
use super::{ALLOWED, FEW, Form, Size};

/// How long an endpoint takes to the head of an answer; the report is in it.
const HEAD: Duration = Duration::from_millis(40);

/// The mean time to an answer's end; each is drawn from an exponential.
const WHOLE: f64 = 1.5;

/// How much less each next part is asked for than the one before it: with this
/// power, the first of 1,500 gets one of 250 requests, as on a day of 81
/// instances.
const POWER: f64 = -0.3;

/// The kinds of prompts: their share of the requests, and the tokens that one
/// shares with others. The first is the one that may be in sudden demand.
const KINDS: [(f64, u32); 3] = [(0.24, 10_512), (0.25, 699), (0.51, 2_041)];

/// What came of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placed {
    /// The part of requests after which their endpoint was above the bound.
    pub above: f64,
    /// The greatest load in multiples of the mean, at the 99.9th percentile of
    /// placements.
    pub peak: f64,
    /// The part that went elsewhere than to the first of its ranking.
    pub away: f64,
    /// Tokens of shared prefixes that were read at one endpoint though another
    /// had read them, for each request.
    pub again: f64,
}

/// What there is on a day beside the usual traffic.
#[derive(Clone, Debug, Default)]
pub struct Day {
    /// The part of one kind of prompt that is about one thing.
    pub hot: f64,
    /// When every fourth endpoint gets nothing, in order.
    pub evacuations: Vec<Evacuation>,
    /// How many times as many callers there are before the second evacuation as after it.
    pub burst: f64,
}

/// A time in which a part of the endpoints gets nothing.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    /// When it begins.
    pub from: Moment,
    /// When the endpoints are given back.
    pub to: Moment,
}

/// Of this many endpoints one is in the zone that is evacuated.
const ZONES: usize = 4;

/// How long after an evacuation's begin what endpoints had there has ended.
const LEAVES: Duration = Duration::from_secs(4);

/// How long after an evacuation's end endpoints fill up again.
const FILLS: Duration = Duration::from_secs(3);

/// A prompt's shared prefix.
#[derive(Clone, Copy, Debug)]
struct Prompt {
    part: u64,
    tokens: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// The zone is evacuated, or given back.
    Evacuated(bool),
    Head {
        instance: usize,
        endpoint: usize,
    },
    End {
        instance: usize,
        endpoint: usize,
        sent: Moment,
    },
}

struct World {
    size: Size,
    rng: ChaCha8Rng,
    evacuated: bool,
    // How many times as many callers there are as usual.
    burst: f64,
    instances: Vec<Instance>,
    ids: Vec<u64>,
    loads: Vec<u32>,
    all: u32,
    // Sums of the parts' weights, to draw from.
    weights: Vec<f64>,
    // Parts that were read anywhere, and where.
    read: BTreeSet<u64>,
    held: BTreeSet<(u64, usize)>,
    queue: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    count: u64,
}

/// Drives the usual traffic of a size.
#[must_use]
pub fn drive(size: &Size, form: Form, hot: f64, seed: u64) -> Placed {
    let day = Day {
        hot,
        ..Day::default()
    };
    drive_day(size, form, &day, seed)
}

/// Drives the traffic of a size on a day. With evacuations, figures are of the times
/// alone in which those count.
#[must_use]
pub fn drive_day(size: &Size, form: Form, day: &Day, seed: u64) -> Placed {
    let mut world = World::new(*size, seed);
    world.push(Duration::ZERO, Event::Arrival);
    for evacuation in &day.evacuations {
        world.push(evacuation.from, Event::Evacuated(true));
        world.push(evacuation.to, Event::Evacuated(false));
    }
    let (mut requests, mut above, mut away) = (0_u32, 0_u32, 0_u32);
    let mut again = 0.0;
    let mut multiples = Vec::new();
    while let Some(Reverse((now, _, event))) = world.queue.pop() {
        if now > size.time {
            break;
        }
        match event {
            Event::Arrival => {
                world.burst = day.burst_at(now);
                let prompt = world.prompt(day.hot);
                let (endpoint, choice) = world.arrival(now, form, prompt);
                let tokens = world.reads_again(endpoint, prompt);
                if !day.counts(now, size) {
                    continue;
                }
                let multiple = world.multiple(endpoint);
                requests += 1;
                above += u32::from(world.above(endpoint));
                away += u32::from(choice != Choice::Home);
                again += tokens;
                multiples.push(multiple);
            }
            Event::Evacuated(evacuated) => world.evacuate(evacuated, form, now),
            Event::Head { instance, endpoint } => world.head(instance, endpoint, now),
            Event::End {
                instance,
                endpoint,
                sent,
            } => world.end(instance, endpoint, since(now, sent)),
        }
    }
    multiples.sort_by(f64::total_cmp);
    let last = multiples.len() - 1;
    let part = |count: u32| f64::from(count) / f64::from(requests);
    Placed {
        above: part(above),
        peak: multiples[last - last / 1_000],
        away: part(away),
        again: again / f64::from(requests),
    }
}

impl Day {
    fn counts(&self, now: Moment, size: &Size) -> bool {
        if self.evacuations.is_empty() {
            return now >= size.time / 3;
        }
        let within = |one: &Evacuation| now >= one.from + LEAVES && now < one.to + FILLS;
        self.evacuations.iter().any(within)
    }

    fn burst_at(&self, now: Moment) -> f64 {
        let last = self.evacuations.last();
        if self.burst > 0.0 && last.is_some_and(|last| now < last.from) {
            self.burst
        } else {
            1.0
        }
    }
}

impl World {
    fn new(size: Size, seed: u64) -> Self {
        let mut sum = 0.0;
        let weights = (1..=size.parts)
            .map(|n| {
                let n = u32::try_from(n).expect("a few thousand parts");
                sum += f64::from(n).powf(POWER);
                sum
            })
            .collect();
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            evacuated: false,
            burst: 1.0,
            instances: (0..size.instances).map(|_| Instance::default()).collect(),
            ids: (0..size.endpoints as u64)
                .map(|n| hash::score(n, 1))
                .collect(),
            loads: vec![0; size.endpoints],
            all: 0,
            weights,
            read: BTreeSet::new(),
            held: BTreeSet::new(),
            queue: BinaryHeap::new(),
            count: 0,
            size,
        }
    }

    // The endpoints that requests may go to, and the others.
    fn parted(&self) -> (Vec<u64>, Vec<u64>) {
        let ids = self.ids.iter().copied().enumerate();
        let (usable, evacuated): (Vec<_>, Vec<_>) =
            ids.partition(|(n, _)| !self.evacuated || n % ZONES > 0);
        let ids = |of: Vec<(usize, u64)>| of.into_iter().map(|(_, id)| id).collect();
        (ids(usable), ids(evacuated))
    }

    fn evacuate(&mut self, evacuated: bool, form: Form, now: Moment) {
        let (_, returned) = self.parted();
        self.evacuated = evacuated;
        if form == Form::Busy {
            return;
        }
        for instance in &mut self.instances {
            for id in &returned {
                instance.book.set_idle(*id, now);
            }
        }
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, event)));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-draw.ln() * mean)
    }

    // The next prompt; of the first kind a part `hot` is about one thing.
    fn prompt(&mut self, hot: f64) -> Prompt {
        let mut draw: f64 = self.rng.random();
        let mut kind = 0;
        while kind + 1 < KINDS.len() && draw >= KINDS[kind].0 {
            draw -= KINDS[kind].0;
            kind += 1;
        }
        let sum = self.weights.last().copied().unwrap_or(1.0);
        let draw = self.rng.random_range(0.0..sum);
        let part = self.weights.partition_point(|upto| *upto < draw);
        let one = kind == 0 && self.rng.random_bool(hot);
        let part = if one { 0 } else { part as u64 };
        Prompt {
            part: hash::score(part, kind as u64),
            tokens: KINDS[kind].1,
        }
    }

    // The tokens that an endpoint reads though another one had read them.
    fn reads_again(&mut self, endpoint: usize, prompt: Prompt) -> f64 {
        let new = self.read.insert(prompt.part);
        let reads = self.held.insert((prompt.part, endpoint));
        if reads && !new {
            f64::from(prompt.tokens)
        } else {
            0.0
        }
    }

    // Places a request; returns its endpoint.
    fn arrival(&mut self, now: Moment, form: Form, prompt: Prompt) -> (usize, Choice) {
        let pause = self.exponential(1.0 / (self.size.rate * self.burst));
        self.push(now + pause, Event::Arrival);
        let instance = self.rng.random_range(0..self.size.instances);
        let part = Part {
            id: prompt.part,
            tokens: prompt.tokens,
        };
        let draw = self.rng.random();
        let (usable, evacuated) = self.parted();
        let one = &mut self.instances[instance];
        let mut outlook = one.outlook(&usable, self.size.slots, form, now);
        outlook.rest = one.rest(&evacuated, form, now);
        let (id, choice) = one.place(&outlook, part, form, now, draw);
        let of_id = |known: &u64| *known == id;
        let endpoint = self.ids.iter().position(of_id).expect("a candidate");
        self.loads[endpoint] += 1;
        self.all += 1;
        let whole = self.exponential(WHOLE).max(HEAD);
        self.push(now + HEAD, Event::Head { instance, endpoint });
        self.push(
            now + whole,
            Event::End {
                instance,
                endpoint,
                sent: now,
            },
        );
        (endpoint, choice)
    }

    fn head(&mut self, instance: usize, endpoint: usize, now: Moment) {
        let all = self.loads[endpoint];
        let running = all.min(self.size.slots);
        let report = Report {
            running,
            waiting: all - running,
            slots: self.size.slots,
        };
        self.instances[instance]
            .book
            .record_report(self.ids[endpoint], report, now);
    }

    fn end(&mut self, instance: usize, endpoint: usize, lasted: Duration) {
        let book = &mut self.instances[instance].book;
        book.end_request(self.ids[endpoint], lasted);
        self.loads[endpoint] -= 1;
        self.all -= 1;
    }

    // Whether an endpoint has more than the bound and a few requests beside,
    // which are no overload where there are hardly any.
    fn above(&self, endpoint: usize) -> bool {
        let most = ALLOWED * self.mean() + FEW;
        f64::from(self.loads[endpoint]) > most
    }

    // The load of an endpoint in multiples of the mean; a few requests on a
    // nearly idle fleet are no overload.
    fn multiple(&self, endpoint: usize) -> f64 {
        f64::from(self.loads[endpoint]) / self.mean().max(1.0)
    }

    fn mean(&self) -> f64 {
        let endpoints = u32::try_from(self.size.endpoints).expect("a few thousand");
        f64::from(self.all) / f64::from(endpoints)
    }
}
