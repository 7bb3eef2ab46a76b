//! Runs a schedule and counts endpoints that crash.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use godwitpost_direct::dialect::Part;
use godwitpost_direct::stats::{EndpointStats, Load};
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::hash;
use godwitpost_types::id::EndpointId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::endpoint::{Arrival, Endpoint, RequestId};
use crate::instance::{Destination, Instance};
use crate::schedule::{CONTACT_TIME, END, START, Schedule};
use crate::{Form, Size};

const ONE_WAY: Duration = Duration::from_millis(1);

/// How long an endpoint is down after a crash.
const DOWNTIME: Duration = Duration::from_secs(4);

/// How much later the list of endpoints shows a change.
const LIST_DELAY: Duration = Duration::from_millis(500);

/// The interval at which instances tell each other loads, and how many at most.
const NEWS_INTERVAL: Duration = Duration::from_secs(1);
const MAX_NEWS: usize = 512;

const TICK: Duration = Duration::from_millis(100);

/// How long a request waits for room at an instance, as a part of its run time, and how
/// often it tries.
const MAX_WAIT: Duration = Duration::from_millis(200);
const WAIT_POLL: Duration = Duration::from_millis(50);

const MAX_SENDS: u32 = 2;
const RETRY_BUDGET: f64 = 0.2;

/// How often a caller sends a request that is refused, and after which pause.
const MAX_TRIES: u32 = 2;
const MAX_IMPATIENT_TRIES: u32 = 4;
const RETRY_AFTER: Duration = Duration::from_millis(400);

const PARTS: u64 = 200;
const PART_TOKENS: u32 = 2_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Caller,
    Try(RequestId),
    Arrive(RequestId, usize),
    Refuse(RequestId, usize),
    Unreachable(RequestId, usize),
    Head(RequestId, usize),
    End(RequestId, usize),
    Up(usize),
    List,
    Lose(bool),
    Restart,
    News(usize),
    Tick,
}

#[derive(Clone, Debug)]
struct Request {
    instance: usize,
    // Which start of the instance holds it.
    life: u32,
    part: Part,
    tried: Vec<EndpointId>,
    arrived: Moment,
    sent_at: Moment,
    sends: u32,
    caller_tries: u32,
    impatient: bool,
    // Whether its endpoint may refuse it.
    is_unsure: bool,
}

/// What came of a schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outcome {
    pub(crate) crashes: usize,
    pub(crate) requests: u32,
    pub(crate) served: u32,
}

pub(crate) struct World {
    rng: ChaCha8Rng,
    schedule: Schedule,
    form: Form,
    endpoints: Vec<Endpoint>,
    listed: Vec<EndpointId>,
    instances: Vec<Instance>,
    lives: Vec<u32>,
    weights: Vec<f64>,
    news: EndpointStats,
    requests: BTreeMap<RequestId, Request>,
    next_request: RequestId,
    next_endpoint: u64,
    queue: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    count: u64,
    retries: u32,
    outcome: Outcome,
}

/// Runs the schedule of a seed.
pub(crate) fn run_schedule(seed: u64, size: Size, form: Form) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let schedule = Schedule::draw(size, &mut rng);
    let mut world = World::new(schedule, form, rng);
    world.run();
    world.outcome
}

impl World {
    fn new(schedule: Schedule, form: Form, rng: ChaCha8Rng) -> Self {
        let size = schedule.size;
        let endpoints: Vec<Endpoint> = (0..u64::from(size.endpoints))
            .map(|n| Endpoint::new(hash::score(n, 1), schedule.slots))
            .collect();
        let mut sum = 0.0;
        let weights = (1..=size.instances)
            .map(|n| {
                sum += f64::from(n).powf(-schedule.skew);
                sum
            })
            .collect();
        let mut instances: Vec<Instance> = (0..size.instances)
            .map(|n| Instance::new(u64::from(n) + 1, schedule.slots, form))
            .collect();
        for instance in &mut instances {
            instance.count.update(size.instances, Duration::ZERO);
        }
        Self {
            rng,
            form,
            listed: endpoints.iter().map(|one| one.id).collect(),
            next_endpoint: u64::from(size.endpoints),
            endpoints,
            lives: vec![0; instances.len()],
            instances,
            weights,
            news: EndpointStats::default(),
            requests: BTreeMap::new(),
            next_request: 0,
            queue: BinaryHeap::new(),
            count: 0,
            retries: 0,
            outcome: Outcome::default(),
            schedule,
        }
    }

    fn run(&mut self) {
        self.push(Duration::ZERO, Event::Caller);
        self.push(Duration::ZERO, Event::Tick);
        for n in 0..self.instances.len() {
            let at = NEWS_INTERVAL.mul_f64(self.rng.random());
            self.push(at, Event::News(n));
        }
        if let Some(loss) = self.schedule.loss.clone() {
            self.push(loss.start, Event::Lose(true));
            self.push(loss.end, Event::Lose(false));
        }
        if let Some(at) = self.schedule.restart {
            self.push(at, Event::Restart);
        }
        while let Some(Reverse((now, _, event))) = self.queue.pop() {
            if now > END {
                return;
            }
            self.handle(event, now);
        }
    }

    fn handle(&mut self, event: Event, now: Moment) {
        match event {
            Event::Caller => self.call(now),
            Event::Try(request) => self.place(request, now),
            Event::Arrive(request, endpoint) => self.arrive(request, endpoint, now),
            Event::Refuse(request, endpoint) => self.refuse(request, endpoint, now),
            Event::Unreachable(request, endpoint) => self.unreachable(request, endpoint, now),
            Event::Head(request, endpoint) => self.head(request, endpoint, now),
            Event::End(request, endpoint) => self.end(request, endpoint, now),
            Event::Up(endpoint) => self.up(endpoint, now),
            Event::List => self.list(),
            Event::Lose(lost) => self.lose(lost, now),
            Event::Restart => self.restart(now),
            Event::News(instance) => self.exchange(instance, now),
            Event::Tick => self.tick(now),
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

    fn is_fragile(&self, now: Moment) -> Option<u32> {
        let most = match self.form {
            Form::Unbreakable => u32::MAX,
            _ => self.schedule.max_refusals,
        };
        (now >= START).then_some(most)
    }

    fn max_waiting(&self, now: Moment) -> u32 {
        self.schedule.waiting[usize::from(now >= START + CONTACT_TIME)]
    }

    fn draw_instance(&mut self) -> usize {
        let sum = self.weights.last().copied().unwrap_or(1.0);
        let draw = self.rng.random_range(0.0..sum);
        let instance = self.weights.partition_point(|upto| *upto <= draw);
        instance.min(self.instances.len() - 1)
    }

    fn call(&mut self, now: Moment) {
        let pause = self.exponential(1.0 / self.schedule.rate_at(now));
        self.push(now + pause, Event::Caller);
        let is_hot = self.rng.random_bool(self.schedule.hot);
        let id = if is_hot {
            0
        } else {
            self.rng.random_range(1..PARTS)
        };
        let instance = self.draw_instance();
        let impatient = self.rng.random_bool(self.schedule.impatient);
        let request = Request {
            instance,
            life: self.lives[instance],
            part: Part {
                id: hash::score(id, 7),
                tokens: PART_TOKENS,
            },
            tried: Vec::new(),
            arrived: now,
            sent_at: now,
            sends: 0,
            caller_tries: 1,
            impatient,
            is_unsure: false,
        };
        self.next_request += 1;
        self.outcome.requests += 1;
        self.requests.insert(self.next_request, request);
        self.place(self.next_request, now);
    }

    fn place(&mut self, id: RequestId, now: Moment) {
        let draw = self.rng.random();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let destination = self.instances[request.instance].place(
            &self.listed,
            &request.tried,
            request.part,
            draw,
            now,
        );
        match destination {
            Destination::Endpoint {
                id: endpoint,
                is_unsure,
            } => {
                request.is_unsure = is_unsure;
                request.tried.push(endpoint);
                request.sent_at = now;
                let of_id = |one: &Endpoint| one.id == endpoint;
                let endpoint = self.endpoints.iter().position(of_id);
                let endpoint = endpoint.unwrap_or(0);
                self.push(now + ONE_WAY, Event::Arrive(id, endpoint));
            }
            Destination::Wait if since(now, request.arrived) < MAX_WAIT => {
                self.push(now + WAIT_POLL, Event::Try(id));
            }
            Destination::Wait | Destination::Nowhere => self.give_up(id, now),
        }
    }

    // The instance refuses the request; its caller may send it again.
    fn give_up(&mut self, id: RequestId, now: Moment) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let tries = if request.impatient {
            MAX_IMPATIENT_TRIES
        } else {
            MAX_TRIES
        };
        if request.caller_tries >= tries {
            return;
        }
        let pause = if request.impatient {
            Duration::from_millis(5)
        } else {
            RETRY_AFTER.mul_f64(self.rng.random_range(0.7..1.3))
        };
        request.instance = self.draw_instance();
        request.life = self.lives[request.instance];
        request.caller_tries += 1;
        request.tried.clear();
        request.sends = 0;
        request.arrived = now + pause;
        self.requests.insert(id, request);
        self.push(now + pause, Event::Try(id));
    }

    fn arrive(&mut self, id: RequestId, endpoint: usize, now: Moment) {
        let (max_waiting, fragile) = (self.max_waiting(now), self.is_fragile(now));
        match self.endpoints[endpoint].arrive(id, max_waiting, fragile, now) {
            Arrival::Runs => self.start(id, endpoint, now),
            Arrival::Waits => {}
            Arrival::Refused => {
                self.push(now + ONE_WAY, Event::Refuse(id, endpoint));
            }
            Arrival::Crashes => {
                self.outcome.crashes += 1;
                self.push(now + ONE_WAY, Event::Unreachable(id, endpoint));
                self.crash(endpoint, now);
                self.push(now + DOWNTIME, Event::Up(endpoint));
            }
            Arrival::Down => self.push(now + ONE_WAY, Event::Unreachable(id, endpoint)),
        }
    }

    fn start(&mut self, id: RequestId, endpoint: usize, now: Moment) {
        let time = self.exponential(self.schedule.run_time.as_secs_f64());
        let time = time.max(Duration::from_millis(2));
        let head = time.mul_f64(self.schedule.head_part);
        self.push(now + head, Event::Head(id, endpoint));
        self.push(now + time, Event::End(id, endpoint));
    }

    fn head(&mut self, id: RequestId, endpoint: usize, now: Moment) {
        if !self.endpoints[endpoint].running.contains(&id) {
            return;
        }
        self.respond(id, endpoint, false, now);
    }

    fn respond(&mut self, id: RequestId, endpoint: usize, refused: bool, now: Moment) {
        let fragile = self.is_fragile(now);
        let one = &self.endpoints[endpoint];
        let report = self.schedule.reports_load.then(|| one.report());
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.life == self.lives[request.instance] {
            let instance = &mut self.instances[request.instance];
            instance.respond(one.id, report, fragile, refused, now);
            if request.is_unsure && !refused {
                instance.give_back(one.id, now);
            }
        }
    }

    fn refuse(&mut self, id: RequestId, endpoint: usize, now: Moment) {
        self.respond(id, endpoint, true, now);
        self.fail(id, endpoint, true, now);
    }

    fn unreachable(&mut self, id: RequestId, endpoint: usize, now: Moment) {
        let endpoint_id = self.endpoints[endpoint].id;
        if let Some(request) = self.requests.get(&id) {
            self.instances[request.instance]
                .stats
                .record_unreachable(endpoint_id, now);
        }
        self.fail(id, endpoint, false, now);
    }

    // An attempt failed; the instance may send the request elsewhere.
    fn fail(&mut self, id: RequestId, endpoint: usize, sent: bool, now: Moment) {
        let endpoint_id = self.endpoints[endpoint].id;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.life != self.lives[request.instance] {
            self.requests.remove(&id);
            return;
        }
        self.instances[request.instance].end(endpoint_id, since(now, request.sent_at));
        request.sends += u32::from(sent);
        let has_budget = f64::from(self.retries) < RETRY_BUDGET * f64::from(self.outcome.requests);
        if request.sends < MAX_SENDS && has_budget {
            self.retries += 1;
            self.place(id, now);
        } else {
            self.give_up(id, now);
        }
    }

    fn end(&mut self, id: RequestId, endpoint: usize, now: Moment) {
        if !self.endpoints[endpoint].running.contains(&id) {
            return;
        }
        let next = self.endpoints[endpoint].end(id);
        let endpoint_id = self.endpoints[endpoint].id;
        if let Some(request) = self.requests.remove(&id) {
            self.outcome.served += 1;
            if request.life == self.lives[request.instance] {
                self.instances[request.instance].end(endpoint_id, since(now, request.sent_at));
            }
        }
        if let Some(next) = next {
            self.start(next, endpoint, now);
        }
    }

    fn crash(&mut self, endpoint: usize, now: Moment) {
        for id in self.endpoints[endpoint].go_down() {
            self.push(now + ONE_WAY, Event::Unreachable(id, endpoint));
        }
        self.push(now + LIST_DELAY, Event::List);
    }

    fn up(&mut self, endpoint: usize, now: Moment) {
        if self.endpoints[endpoint].is_up {
            return;
        }
        let id = hash::score(self.next_endpoint, 1);
        self.next_endpoint += 1;
        self.endpoints[endpoint] = Endpoint::new(id, self.schedule.slots);
        self.push(now + LIST_DELAY, Event::List);
    }

    fn list(&mut self) {
        let up = self.endpoints.iter().filter(|one| one.is_up);
        self.listed = up.map(|one| one.id).collect();
    }

    fn lose(&mut self, lost: bool, now: Moment) {
        for endpoint in (0..self.endpoints.len()).step_by(2) {
            if lost && self.endpoints[endpoint].is_up {
                self.crash(endpoint, now);
            } else if !lost {
                self.up(endpoint, now);
            }
        }
    }

    fn restart(&mut self, now: Moment) {
        self.lives[0] += 1;
        self.instances[0] = Instance::new(
            u64::from(self.lives[0]) * 1_000,
            self.schedule.slots,
            self.form,
        );
        if self.rng.random_bool(0.5) {
            self.instances[0]
                .count
                .update(self.schedule.size.instances, now);
        }
    }

    fn exchange(&mut self, instance: usize, now: Moment) {
        self.push(now + NEWS_INTERVAL, Event::News(instance));
        let stats = &mut self.instances[instance].stats;
        for Load {
            endpoint,
            requests,
            age,
        } in stats.take_new_loads(now)
        {
            self.news
                .record_peer_load(endpoint, requests, since(now, age));
        }
        let mut loads = self.news.recent_loads(now);
        let draw: u64 = self.rng.random();
        if loads.len() > MAX_NEWS {
            loads.sort_by_cached_key(|load| hash::score(draw, load.endpoint));
            loads.truncate(MAX_NEWS);
        }
        for load in loads {
            stats.record_peer_load(load.endpoint, load.requests, since(now, load.age));
        }
        let size = self.schedule.size.instances;
        self.instances[instance].count.update(size, now);
    }

    fn tick(&mut self, now: Moment) {
        self.push(now + TICK, Event::Tick);
        for instance in &mut self.instances {
            instance.stats.tick(now);
        }
    }
}
