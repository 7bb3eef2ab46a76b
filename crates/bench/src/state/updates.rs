//! One seed and the instances that poll it, in driven time.
//!
//! The seed's replica and the pace of its lists are the product's code; answers are encoded
//! and decoded, so their sizes are real. A link of its own carries them one after the
//! other. Processor time is not driven: what is encoded, and how often, is counted.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_direct::pace::Pace;
use godwitpost_direct::policy::Content;
use godwitpost_direct::replica::{Allowance, Replica, Update, UpdateRequest, Urgency};
use godwitpost_direct::roster::Registration;
use godwitpost_direct::source::Position;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::figure::{Bound, Figure};

/// The fleets that are driven: endpoints, and instances that poll one seed. A third of a
/// fleet polls one of three seeds, and all of it the only one that is left.
pub const SIZES: [Size; 4] = [
    Size::new(2_500, 82),
    Size::new(10_000, 330),
    Size::new(10_000, 985),
    Size::new(20_000, 1_970),
];

/// The link of a seed, in bytes a second.
const LINK_RATE: u64 = 125_000_000;

const LATENCY: Duration = Duration::from_millis(2);

/// How long a poll waits for a change, and for a part of a list.
const POLL_WAIT: Duration = Duration::from_millis(1_400);
const LIST_WAIT: Duration = Duration::from_secs(1);

/// How long the seed waits for further changes.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// How long an instance waits after an answer of a busy seed.
const BUSY_PAUSE: Duration = Duration::from_millis(50);

/// A release replaces this fraction of the endpoints within this time.
const RELEASED: f64 = 0.45;
const RELEASE_TIME: Duration = Duration::from_secs(16);

/// The longest time driven.
const LONGEST: Duration = Duration::from_mins(2);

/// A fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Endpoints.
    pub endpoints: usize,
    /// Instances that poll the seed.
    pub pollers: usize,
}

impl Size {
    const fn new(endpoints: usize, pollers: usize) -> Self {
        Self { endpoints, pollers }
    }
}

/// What a seed did, and how long it took until all knew.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Answers.
    pub answers: u64,
    /// Bytes of answers.
    pub bytes: u64,
    /// Parts of endpoint changes that were encoded.
    pub encoded: u64,
    /// The longest time from a change, or from the start, until the last one knew.
    pub longest: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    // A poll arrives at the seed.
    Poll(usize),
    // The seed looks at a waiting poll again; with the number of the poll.
    Wake(usize, u64),
    // The seed answers.
    Answer(usize, u64),
    // The next change of the release.
    Change(usize),
}

struct Poller {
    request: UpdateRequest,
    known: BTreeSet<String>,
    arrived_at: Moment,
    // Counts polls, so that events of answered ones are recognized.
    poll: u64,
    waits: bool,
    complete: bool,
}

struct World {
    size: Size,
    now: Moment,
    rng: ChaCha8Rng,
    seed: Replica,
    pace: Pace,
    link_free_at: Moment,
    pollers: Vec<Poller>,
    queue: BinaryHeap<Reverse<(Moment, Event)>>,
    // When the seed learned of each revision that is not yet known to all.
    changed_at: Vec<(u64, Moment)>,
    // How many parts had been encoded when the measurement began.
    encoded_before: u64,
    cost: Cost,
}

fn registration(n: usize) -> Registration {
    let name = format!("i-{n:08x}");
    let [high, low] = [n / 200, n % 200].map(|part| u8::try_from(part % 256).unwrap_or(0));
    Registration {
        endpoint: Endpoint {
            id: id::from_name(&name),
            name,
            incarnation: 1_764_700_000_000 + n as u64,
            service: id::from_name("drafts"),
            models: BTreeSet::from([id::from_name("m")]),
            zone: id::from_name(["a", "b", "c"][n % 3]),
            region: id::from_name("north"),
            address: SocketAddr::from(([10, 7, high, low], 8_080)),
            standing: Standing::Live,
        },
        slots: 12,
        warming: Duration::ZERO,
        build: "v1".to_owned(),
        started_at: None,
    }
}

fn first_request() -> UpdateRequest {
    UpdateRequest {
        incarnation: 0,
        revision: 0,
        list_start: 0,
        digests: Vec::new(),
        peer_address: None,
        forwards: None,
        members: 0,
        link_rate: LINK_RATE,
        reads_log: false,
        version: 0,
        evacuation: Position::START,
        wait: LIST_WAIT,
        loads: Vec::new(),
        holders: Vec::new(),
    }
}

impl World {
    fn new(size: Size) -> Self {
        let mut seed = Replica::new(7);
        for n in 0..size.endpoints {
            seed.set_endpoint(registration(n), Duration::ZERO);
        }
        seed.set_policy(Content {
            version: 1,
            ..Content::default()
        });
        seed.confirm_policy(Duration::from_millis(1));
        seed.confirm_endpoints(Duration::from_millis(1));
        Self {
            size,
            now: Duration::from_secs(1),
            rng: ChaCha8Rng::seed_from_u64(1),
            seed,
            pace: Pace::new(LINK_RATE),
            link_free_at: Duration::ZERO,
            pollers: Vec::new(),
            queue: BinaryHeap::new(),
            changed_at: Vec::new(),
            encoded_before: 0,
            cost: Cost::default(),
        }
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.queue.push(Reverse((at, event)));
    }

    // Starts all pollers within a third of a second.
    fn start_pollers(&mut self) {
        for n in 0..self.size.pollers {
            self.pollers.push(Poller {
                request: first_request(),
                known: BTreeSet::new(),
                arrived_at: Duration::ZERO,
                poll: 0,
                waits: false,
                complete: false,
            });
            let at = self.now + Duration::from_millis(self.rng.random_range(0..300));
            self.push(at, Event::Poll(n));
        }
    }

    fn run_until(&mut self, done: impl Fn(&Self) -> bool) {
        let end = self.now + LONGEST;
        while !done(self)
            && let Some(Reverse((at, event))) = self.queue.pop()
            && at < end
        {
            self.now = at;
            match event {
                Event::Poll(n) => self.receive_poll(n),
                Event::Wake(n, poll) if self.is_waiting(n, poll) => self.look_at(n),
                Event::Answer(n, poll) if self.is_waiting(n, poll) => self.answer(n),
                Event::Wake(..) | Event::Answer(..) => {}
                Event::Change(n) => self.replace(n),
            }
        }
    }

    fn is_waiting(&self, n: usize, poll: u64) -> bool {
        self.pollers[n].waits && self.pollers[n].poll == poll
    }

    fn receive_poll(&mut self, n: usize) {
        let now = self.now;
        let poller = &mut self.pollers[n];
        poller.arrived_at = now;
        poller.poll += 1;
        poller.waits = true;
        let (poll, wait) = (poller.poll, poller.request.wait);
        self.push(now + wait, Event::Answer(n, poll));
        self.look_at(n);
    }

    // Decides how soon a waiting poll is answered.
    fn look_at(&mut self, n: usize) {
        let poll = self.pollers[n].poll;
        match self.seed.urgency(&self.pollers[n].request) {
            Urgency::Full => self.answer(n),
            Urgency::Incremental | Urgency::Overload => {
                let deadline = self.pollers[n].arrived_at + self.pollers[n].request.wait;
                let at = deadline.min(self.now + BATCH_DELAY);
                self.push(at, Event::Answer(n, poll));
            }
            Urgency::None | Urgency::NotReady => {}
        }
    }

    fn answer(&mut self, n: usize) {
        let now = self.now;
        let poller = &self.pollers[n];
        let patience = since(poller.arrived_at + poller.request.wait, now);
        let mut sent_at = now;
        let mut allowance = Allowance::Part;
        let part = self.seed.list_part_bytes(&poller.request);
        if let Some(bytes) = part.expect("an encoded policy") {
            match self.pace.reserve(bytes, now, patience) {
                Some(delay) => sent_at += delay,
                None => allowance = Allowance::Nothing,
            }
        }
        let waited = since(now, poller.arrived_at);
        let answer = self
            .seed
            .build_answer(&poller.request, allowance, waited, now)
            .expect("an answer");
        let bytes = answer.encode().expect("an encoded answer");
        let update = Update::decode(bytes.clone().into()).expect("a decoded update");
        let length = bytes.len() as u64;
        self.cost.answers += 1;
        self.cost.bytes += length;
        let transfer = Duration::from_nanos(length * 1_000_000_000 / LINK_RATE);
        self.link_free_at = self.link_free_at.max(sent_at) + transfer;
        self.receive_answer(n, &update);
    }

    fn receive_answer(&mut self, n: usize, update: &Update) {
        let arrives_at = self.link_free_at + LATENCY;
        let poller = &mut self.pollers[n];
        poller.waits = false;
        for name in &update.removed {
            poller.known.remove(name);
        }
        let set = update.set.iter().map(|one| one.endpoint.name.clone());
        poller.known.extend(set);
        poller.complete = !update.more;
        poller.request = UpdateRequest {
            incarnation: update.incarnation,
            revision: update.revision,
            list_start: update.list_start,
            version: update.version,
            wait: if update.more { LIST_WAIT } else { POLL_WAIT },
            ..first_request()
        };
        let is_busy = update.more && update.set.is_empty() && update.removed.is_empty();
        let pause = if is_busy { BUSY_PAUSE } else { Duration::ZERO };
        self.push(arrives_at + LATENCY + pause, Event::Poll(n));
        self.record_known(arrives_at);
    }

    // Records for how long the changes that all pollers know now were unknown to some.
    fn record_known(&mut self, at: Moment) {
        let known_by_all = self.pollers.iter().map(|poller| poller.request.revision);
        let known_by_all = known_by_all.min().unwrap_or(0);
        let known = self
            .changed_at
            .partition_point(|(revision, _)| *revision <= known_by_all);
        for (_, changed_at) in self.changed_at.drain(..known) {
            self.cost.longest = self.cost.longest.max(since(at, changed_at));
        }
    }

    // Replaces one endpoint: the new one appears, the old one is removed.
    fn replace(&mut self, n: usize) {
        let added = registration(self.size.endpoints + n);
        self.seed.set_endpoint(added, Duration::ZERO);
        self.seed.remove_endpoint(&registration(n).endpoint.name);
        self.changed_at.push((self.seed.revision(), self.now));
        let waiting = (0..self.pollers.len()).filter(|n| self.pollers[*n].waits);
        let events: Vec<_> = waiting
            .map(|n| Event::Wake(n, self.pollers[n].poll))
            .collect();
        for event in events {
            self.push(self.now, event);
        }
    }

    fn finish(mut self) -> Cost {
        self.cost.encoded = self.seed.encoded_parts() - self.encoded_before;
        self.cost
    }
}

/// Starts all pollers at once, each without any state.
///
/// # Panics
///
/// Panics if a poller does not know all endpoints in the end.
#[must_use]
pub fn start(size: Size) -> Cost {
    let mut world = World::new(size);
    let began = world.now;
    world.start_pollers();
    world.run_until(|world| world.pollers.iter().all(|poller| poller.complete));
    for poller in &world.pollers {
        assert_eq!(poller.known.len(), size.endpoints, "after {:?}", world.now);
    }
    world.cost.longest = since(world.link_free_at, began);
    world.finish()
}

/// Replaces 45% of the endpoints within 16 s while all poll.
///
/// # Panics
///
/// Panics if a poller does not know the right endpoints in the end.
#[must_use]
pub fn release(size: Size) -> Cost {
    let mut world = World::new(size);
    world.start_pollers();
    world.run_until(|world| world.pollers.iter().all(|poller| poller.complete));
    world.cost = Cost::default();
    world.encoded_before = world.seed.encoded_parts();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a count of thousands"
    )]
    let replaced = (size.endpoints as f64 * RELEASED) as usize;
    let count = u32::try_from(replaced).unwrap_or(u32::MAX);
    for (n, at) in (0..replaced).zip(0_u32..) {
        let at = world.now + RELEASE_TIME * at / count;
        world.push(at, Event::Change(n));
    }
    let last = world.seed.revision() + 2 * replaced as u64;
    world.run_until(|world| {
        let mut pollers = world.pollers.iter();
        pollers.all(|poller| poller.request.revision >= last)
    });
    let names: BTreeSet<String> = world.seed.endpoint_names().into_iter().collect();
    for poller in &world.pollers {
        assert_eq!(poller.known, names, "after {:?}", world.now);
    }
    world.finish()
}

/// Returns the figures at one size.
#[must_use]
pub fn figures(size: Size) -> Vec<Figure> {
    let mut figures = Vec::new();
    for (name, cost) in [("start", start(size)), ("release", release(size))] {
        let name = |what| {
            let Size { endpoints, pollers } = size;
            format!("updates.{name}.{what}.{endpoints}x{pollers}")
        };
        let free = Bound::Free;
        let seconds = cost.longest.as_secs_f64();
        let count = |value: u64| f64::from(u32::try_from(value).unwrap_or(u32::MAX));
        figures.push(Figure::new(
            name("answers"),
            count(cost.answers),
            "answers",
            free,
        ));
        figures.push(Figure::new(
            name("bytes"),
            count(cost.bytes / 1_000_000),
            "MB",
            free,
        ));
        figures.push(Figure::new(
            name("encoded"),
            count(cost.encoded),
            "parts",
            free,
        ));
        figures.push(Figure::new(name("to_all"), seconds, "s", free));
    }
    figures
}
