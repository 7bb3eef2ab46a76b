//! The simulated fleet, its log, endpoints and callers.

mod pauses;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use godwitpost_direct::kept::KeepRequest;
use godwitpost_direct::members::{REPLICAS, drawn};
use godwitpost_direct::origins::{Origin, Record};
use godwitpost_direct::roster::Registration;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::id::{self, BuildId, StreamId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::instance::{Decision, Instance};
use crate::log::Log;

use self::pauses::{Arriving, Episode};

pub(crate) const SERVICE: u64 = 7;

/// How long a stream may be taken up after its first event.
pub(crate) const RETENTION: Duration = Duration::from_secs(12);

const TICK: Duration = Duration::from_millis(50);

/// How long a schedule lasts, and how long its streams go on after the last one begins.
pub(crate) const DURATION: Duration = Duration::from_secs(45);
const LAST_STREAM_AT: Duration = Duration::from_secs(40);

/// How long an instance and the log have to be without faults to count as calm.
const CALM: Duration = Duration::from_secs(3);

/// How much later than that callers may come back whose streams broke as all were killed.
const MAX_CALM_RETURN: Duration = Duration::from_secs(3);

/// How long builds have served side by side before all instances are killed.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// How long a killed instance takes to start.
const RESTART: Duration = Duration::from_millis(400);

/// How long a leaving endpoint stays listed.
const LEAVING: Duration = Duration::from_millis(2_500);

/// The interval at which endpoints write their entries.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A stream is taken up at most this often.
const MAX_TAKE_UPS: u32 = 3;

/// Instances that the others poll; they come first.
pub(crate) const SEEDS: usize = 3;

/// How many seeds are asked to write a stream, one after the other.
const KEEPERS: usize = 2;

/// The endpoints of the service.
const ENDPOINTS: usize = 8;

/// The streams taken up in calm from which on a share that goes on is judged.
const MIN_JUDGED: u32 = 12;

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) instances: usize,
    /// Streams that begin each second.
    pub(crate) per_second: u32,
}

/// What happens in a schedule beside drawn faults and releases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scenario {
    /// Nothing.
    Releases,
    /// All endpoints of a build leave without others in their place, and around that moment all
    /// instances are killed.
    BuildsLeave,
    /// All instances are killed when builds have served side by side and the log has been there
    /// for a while, and callers come back once the instances have run for a while.
    KillsSideBySide,
    /// The same at any moment at which builds serve side by side.
    KillsAtAnyTime,
    /// Instances stand still or are cut off while endpoints of a new build join, and their callers
    /// come back there.
    OutOfStep,
}

/// What is switched off to see whether schedules miss it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    /// Others are told of streams.
    Telling,
    /// Others are asked.
    Asking,
    /// New streams begin at a new build only after a while.
    Establishing,
    /// Only fresh lists tell which builds there are.
    Freshness,
    /// Builds that are gone count for a while.
    History,
    /// The instances to tell are drawn by the stream; otherwise they are the seeds.
    Drawing,
    /// Seeds that start read what the log still holds of endpoints that have left.
    Past,
    /// The builds that the log's records name count.
    PastBuilds,
    /// Seeds write where streams began, and those that start read it.
    Keeping,
}

/// What became of streams.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) begun: u32,
    pub(crate) taken_up: u32,
    pub(crate) went_on: u32,
    pub(crate) joined: u32,
    pub(crate) taken_up_in_calm: u32,
    pub(crate) went_on_in_calm: u32,
    /// The same of streams that broke as all instances were killed while builds served side by
    /// side.
    pub(crate) taken_up_after_kill: u32,
    pub(crate) went_on_after_kill: u32,
    /// How often an instance was told of a stream, and the most often that one was.
    pub(crate) told: u32,
    pub(crate) told_most: u32,
    pub(crate) questions: u32,
}

impl Outcome {
    pub(crate) fn add(&mut self, other: &Self) {
        self.begun += other.begun;
        self.taken_up += other.taken_up;
        self.went_on += other.went_on;
        self.joined += other.joined;
        self.taken_up_in_calm += other.taken_up_in_calm;
        self.went_on_in_calm += other.went_on_in_calm;
        self.taken_up_after_kill += other.taken_up_after_kill;
        self.went_on_after_kill += other.went_on_after_kill;
        self.told += other.told;
        self.told_most += other.told_most;
        self.questions += other.questions;
    }
}

// An endpoint of the service.
struct Server {
    registration: Registration,
    leaving_at: Option<Moment>,
    next_heartbeat_at: Moment,
}

// A stream that is taken up again at `next_at`.
struct Stream {
    id: StreamId,
    build: BuildId,
    began_at: Moment,
    next_at: Moment,
    take_ups: u32,
    // Whether it broke as all instances were killed while builds served side by side.
    broke_side_by_side: bool,
    // The instance to which its caller comes back; otherwise any.
    at: Option<usize>,
}

struct World {
    rng: ChaCha8Rng,
    size: Size,
    scenario: Scenario,
    guard: Option<Guard>,
    now: Moment,
    instances: Vec<Instance>,
    // Until when an instance is down, can't read the log, or can't reach others.
    down_until: Vec<Moment>,
    unread_until: Vec<Moment>,
    cut_until: Vec<Moment>,
    // Until when an instance stands still, and what arrives as it goes on.
    paused_until: Vec<Moment>,
    arriving: Vec<Arriving>,
    episode: Option<Episode>,
    log_down_until: Moment,
    log: Log,
    servers: Vec<Server>,
    // When endpoints were listed, and of which build.
    listings: Vec<(Moment, BuildId)>,
    streams: Vec<Stream>,
    next_id: u64,
    next_build: u32,
    release: Vec<(Moment, String)>,
    side_by_side_since: Option<Moment>,
    // When all instances are killed, as their endpoints of a build leave.
    kill_all_at: Option<Moment>,
    outcome: Outcome,
    // How often each instance was told of a stream.
    told: Vec<u32>,
}

pub(crate) fn time_of_day(now: Moment) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000) + now
}

/// Runs one schedule to its end.
pub(crate) fn simulate(seed: u64, size: Size, scenario: Scenario, guard: Option<Guard>) -> Outcome {
    let mut world = World::new(seed, size, scenario, guard);
    while world.now < DURATION {
        world.step();
    }
    world.outcome.told_most = world.told.iter().copied().max().unwrap_or(0);
    world.outcome
}

/// Runs one schedule and checks what must hold.
pub(crate) fn run_schedule(
    seed: u64,
    size: Size,
    scenario: Scenario,
    guard: Option<Guard>,
) -> Result<Outcome, String> {
    let outcome = simulate(seed, size, scenario, guard);
    if outcome.joined > 0 {
        return Err(format!("{} streams were joined", outcome.joined));
    }
    // The users' bound: half of the share of new streams that begin, which here is 1.
    let is_lost = |taken_up, went_on| taken_up >= MIN_JUDGED && went_on * 2 < taken_up;
    if is_lost(outcome.taken_up_in_calm, outcome.went_on_in_calm)
        || is_lost(outcome.taken_up_after_kill, outcome.went_on_after_kill)
    {
        return Err(format!("streams were lost: {outcome:?}"));
    }
    Ok(outcome)
}

impl World {
    fn new(seed: u64, size: Size, scenario: Scenario, guard: Option<Guard>) -> Self {
        let address = |n: usize| {
            let port = u16::try_from(n).expect("a small number");
            SocketAddr::from(([10, 0, 0, 1], 1_000 + port))
        };
        let all = 0..size.instances;
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            size,
            scenario,
            guard,
            now: Moment::ZERO,
            instances: all
                .map(|n| Instance::start(address(n), guard, Moment::ZERO))
                .collect(),
            down_until: vec![Moment::ZERO; size.instances],
            unread_until: vec![Moment::ZERO; size.instances],
            cut_until: vec![Moment::ZERO; size.instances],
            paused_until: vec![Moment::ZERO; size.instances],
            arriving: (0..size.instances).map(|_| Arriving::default()).collect(),
            episode: None,
            log_down_until: Moment::ZERO,
            log: Log::new(seed),
            servers: Vec::new(),
            listings: Vec::new(),
            streams: Vec::new(),
            next_id: 0,
            next_build: 1,
            release: Vec::new(),
            side_by_side_since: None,
            kill_all_at: None,
            outcome: Outcome::default(),
            told: vec![0; size.instances],
        };
        for _ in 0..ENDPOINTS {
            world.add_server("v1", Moment::ZERO);
        }
        world
    }

    fn add_server(&mut self, build: &str, now: Moment) {
        self.next_id += 1;
        let name = format!("e{}", self.next_id);
        let registration = Registration {
            endpoint: Endpoint {
                id: self.next_id,
                name,
                incarnation: self.next_id,
                service: SERVICE,
                models: BTreeSet::new(),
                zone: 1,
                region: 0,
                address: SocketAddr::from(([10, 0, 0, 2], 80)),
                standing: Standing::Live,
            },
            slots: 8,
            warming: Duration::ZERO,
            build: build.to_owned(),
            started_at: Some(time_of_day(now)),
        };
        self.listings.push((now, registration.build_id()));
        self.servers.push(Server {
            registration,
            leaving_at: None,
            next_heartbeat_at: now,
        });
    }

    fn step(&mut self) {
        self.now += TICK;
        self.change_servers();
        match self.scenario {
            Scenario::Releases => {}
            Scenario::BuildsLeave => self.retire_build(),
            Scenario::KillsSideBySide | Scenario::KillsAtAnyTime => self.draw_kill_of_all(),
            Scenario::OutOfStep => self.draw_pauses(),
        }
        self.draw_faults();
        self.write_entries();
        self.exchange_members();
        self.read_lists();
        self.begin_streams();
        self.tell();
        self.write_kept();
        self.kill();
        self.take_up_streams();
    }

    // Starts releases, and goes on with one endpoint at a time.
    fn change_servers(&mut self) {
        let now = self.now;
        if self.release.len() < 3 && self.rng.random_bool(0.006) {
            let goes_back = self.next_build > 1 && self.rng.random_bool(0.3);
            if !goes_back {
                self.next_build += 1;
            }
            let build = if goes_back { 1 } else { self.next_build };
            let count = self.rng.random_range(1..=ENDPOINTS);
            let gap = Duration::from_millis(self.rng.random_range(100..600));
            for n in 0..u32::try_from(count).expect("a small number") {
                self.release.push((now + gap * n, format!("v{build}")));
            }
        }
        let due: Vec<String> = self
            .release
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, build)| build)
            .collect();
        for build in due {
            self.add_server(&build, now);
            let others = self.servers.iter_mut();
            let mut others =
                others.filter(|one| one.leaving_at.is_none() && one.registration.build != build);
            if let Some(other) = others.next() {
                other.leaving_at = Some(now + Duration::from_millis(500));
            }
        }
        let is_left = |one: &mut Server| one.leaving_at.is_some_and(|at| now >= at + LEAVING);
        for one in self.servers.extract_if(.., is_left) {
            self.log.remove(one.registration.endpoint.name, now);
        }
    }

    // Endpoints renew their entries, and the log forgets old records.
    fn write_entries(&mut self) {
        let now = self.now;
        let interval = self.log.entry_interval();
        if self.log_down_until <= now {
            for one in &mut self.servers {
                if one.next_heartbeat_at <= now {
                    one.next_heartbeat_at = now + interval;
                    self.log.set(&one.registration, now);
                }
            }
        }
        self.log.forget_old(now);
    }

    // Takes the endpoints of one build away if another one is left, and sets when all instances
    // are killed.
    fn retire_build(&mut self) {
        let live = self.live_builds();
        if live.len() < 2 || !self.release.is_empty() || !self.rng.random_bool(0.01) {
            return;
        }
        let retired = self.rng.random_range(0..live.len());
        let retired = live.into_keys().nth(retired);
        let leaving_at = self.now + Duration::from_millis(500);
        for one in &mut self.servers {
            if Some(one.registration.build_id()) == retired {
                one.leaving_at.get_or_insert(leaving_at);
            }
        }
        let delay = Duration::from_millis(self.rng.random_range(0..6_000));
        self.kill_all_at.get_or_insert(self.now + delay);
    }

    fn draw_kill_of_all(&mut self) {
        let now = self.now;
        if self.live_builds().len() < 2 {
            self.side_by_side_since = None;
            return;
        }
        let since_when = *self.side_by_side_since.get_or_insert(now);
        let is_any_time = self.scenario == Scenario::KillsAtAnyTime;
        let is_settled = since(now, since_when.max(self.log_down_until)) >= SETTLING_TIME;
        let is_calm = is_settled && self.log_down_until <= now;
        if (is_any_time || is_calm) && self.rng.random_bool(0.01) {
            self.kill_all_at = Some(now);
        }
    }

    fn draw_faults(&mut self) {
        let now = self.now;
        let for_ms = |rng: &mut ChaCha8Rng| Duration::from_millis(rng.random_range(500..6_000));
        if self.rng.random_bool(0.002) {
            self.log_down_until = now + for_ms(&mut self.rng);
        }
        for n in 0..self.instances.len() {
            let once_in = u32::try_from(self.instances.len()).expect("a small number") * 50;
            if self.rng.random_ratio(1, once_in) {
                self.unread_until[n] = now + for_ms(&mut self.rng);
            }
            if self.rng.random_ratio(1, once_in) {
                self.cut_until[n] = now + for_ms(&mut self.rng);
            }
        }
    }

    // Kills one instance, half of them or all, and breaks their streams.
    fn kill(&mut self) {
        let all = self.kill_all_at.take_if(|at| *at <= self.now).is_some();
        if !all && !self.rng.random_bool(0.004) {
            return;
        }
        let share = if all {
            1.0
        } else {
            [0.0, 0.3, 0.5, 1.0][self.rng.random_range(0..4)]
        };
        let first = self.rng.random_range(0..self.instances.len());
        for n in 0..self.instances.len() {
            if n == first || self.rng.random_bool(share) {
                self.down_until[n] = self.now + RESTART;
                self.paused_until[n] = Moment::ZERO;
                let address = self.instances[n].address;
                self.instances[n] = Instance::start(address, self.guard, self.now + RESTART);
            }
        }
        let is_side_by_side = all && self.scenario != Scenario::BuildsLeave;
        for stream in &mut self.streams {
            stream.broke_side_by_side |= is_side_by_side;
            if is_side_by_side {
                let delay = self.rng.random_range(Duration::ZERO..MAX_CALM_RETURN);
                stream.next_at = self.now + RESTART + CALM + TICK + delay;
            } else {
                let delay = Duration::from_millis(self.rng.random_range(0..800));
                stream.next_at = stream.next_at.min(self.now + delay);
            }
        }
    }

    fn is_up(&self, n: usize) -> bool {
        self.down_until[n] <= self.now && !self.is_paused(n)
    }

    fn can_read(&self, n: usize) -> bool {
        self.is_up(n) && self.unread_until[n] <= self.now && self.log_down_until <= self.now
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.is_up(to) && self.cut_until[from] <= self.now && self.cut_until[to] <= self.now
    }

    // Returns the instances that an instance tells of a stream, or asks.
    fn replicas(&mut self, n: usize, stream: StreamId) -> Vec<SocketAddr> {
        let own = self.instances[n].address;
        let seeds = self.instances.iter().take(SEEDS).map(|one| one.address);
        let seeds: Vec<SocketAddr> = seeds.filter(|one| *one != own).collect();
        if self.guard == Some(Guard::Drawing) {
            return seeds;
        }
        let mut replicas = self.instances[n].members.replicas(stream, self.now);
        let unnamed: Vec<SocketAddr> = seeds
            .into_iter()
            .filter(|one| !replicas.contains(one))
            .collect();
        let missing = REPLICAS - replicas.len();
        replicas.extend(unnamed.into_iter().take(missing));
        replicas
    }

    fn index_of(&self, address: SocketAddr) -> Option<usize> {
        self.instances.iter().position(|one| one.address == address)
    }

    // Once a second each instance learns from the others.
    fn exchange_members(&mut self) {
        let now = self.now;
        if !now.as_millis().is_multiple_of(1_000) {
            return;
        }
        let seeds = 0..SEEDS;
        for n in 0..self.instances.len() {
            for seed in seeds.clone().filter(|seed| *seed != n) {
                if !self.is_up(n) || !self.reaches(n, seed) {
                    continue;
                }
                let address = self.instances[n].address;
                if seeds.contains(&n) {
                    let polling = self.instances[n].members.polling(now);
                    let other = &mut self.instances[seed];
                    other.members.record_seed(address, polling, now);
                    let sole = other.sole_builds(now);
                    self.instances[n].adopt(&sole, now);
                } else if self.followed_seed(n) == Some(seed) {
                    self.instances[seed].members.record_poll(address, now);
                    let list = self.instances[seed].members.list(now).to_vec();
                    let sole = self.instances[seed].sole_builds(now);
                    self.instances[n].members.follow(list);
                    self.instances[n].adopt(&sole, now);
                }
            }
        }
    }

    // Returns the seed that another instance polls: the first in its order that it reaches.
    fn followed_seed(&self, n: usize) -> Option<usize> {
        let mut order = (0..SEEDS).map(|offset| (n + offset) % SEEDS);
        order.find(|seed| self.reaches(n, *seed))
    }

    fn live_builds(&self) -> BTreeMap<BuildId, u32> {
        let mut live = BTreeMap::new();
        for one in self.servers.iter().filter(|one| self.is_live(one)) {
            *live.entry(one.registration.build_id()).or_default() += 1;
        }
        live
    }

    fn is_live(&self, server: &Server) -> bool {
        server.leaving_at.is_none_or(|at| self.now < at)
    }

    fn read_lists(&mut self) {
        let now = self.now;
        let all = self.listed();
        let live = self.live_builds();
        for n in 0..self.instances.len() {
            if !self.can_read(n) || self.instances[n].next_read_at > now {
                continue;
            }
            let interval = Duration::from_millis(self.rng.random_range(300..1_300));
            self.instances[n].next_read_at = now + interval;
            self.read_list(n, &all, live.clone());
            if n < SEEDS && self.instances[n].lacks_past(now) {
                let past = self.log.past();
                let oldest = self.log.oldest().unwrap_or(now);
                assert!(past.is_whole() || past.reach(HEARTBEAT) <= since(now, oldest));
                self.instances[n].read_past(&past, now);
                self.instances[n].read_kept(&self.log, now);
            }
        }
    }

    // An instance that follows the log, or polls one that does, learns all changes since its last
    // list. One that was cut off has changed whom it asks, and receives the list alone.
    fn read_list(&mut self, n: usize, all: &[Registration], live: BTreeMap<BuildId, u32>) {
        let now = self.now;
        let instance = &mut self.instances[n];
        let Some(before) = instance.confirmed_at() else {
            instance.read(all, live, false, now);
            return;
        };
        let is_seed = n < SEEDS;
        if is_seed || self.cut_until[n].max(self.unread_until[n]) <= before {
            let since_then = self.listings.iter().filter(|(at, _)| *at >= before);
            let listed: Vec<BuildId> = since_then.map(|(_, build)| *build).collect();
            instance.follow(&listed, all, live, now);
        } else {
            instance.read(all, live, false, now);
        }
    }

    fn listed(&self) -> Vec<Registration> {
        let servers = self.servers.iter();
        servers.map(|one| one.registration.clone()).collect()
    }

    fn begin_streams(&mut self) {
        if self.now > LAST_STREAM_AT {
            return;
        }
        let ticks_per_second = 20;
        for _ in 0..(self.size.per_second / ticks_per_second) {
            let n = self.rng.random_range(0..self.instances.len());
            if !self.is_up(n) || !self.instances[n].is_ready() {
                continue;
            }
            let allowed = self.instances[n].builds_for_new_stream();
            let serving = self.live_builds();
            let choices: Vec<BuildId> = allowed
                .into_keys()
                .filter(|build| serving.contains_key(build))
                .collect();
            if choices.is_empty() {
                continue;
            }
            let build = choices[self.rng.random_range(0..choices.len())];
            self.next_id += 1;
            let stream = id::incarnation_id(self.next_id, "stream");
            let origin = Origin {
                service: SERVICE,
                build,
            };
            self.instances[n]
                .origins
                .record_own(stream, origin, self.now);
            self.outcome.begun += 1;
            if self.rng.random_bool(0.3) {
                let longest = [700, 8_000][self.rng.random_range(0..2)];
                let delay = Duration::from_millis(self.rng.random_range(50..longest));
                self.streams.push(Stream {
                    id: stream,
                    build,
                    began_at: self.now,
                    next_at: self.now + delay,
                    take_ups: 0,
                    broke_side_by_side: false,
                    at: None,
                });
            }
        }
    }

    fn tell(&mut self) {
        let now = self.now;
        for n in 0..self.instances.len() {
            if !self.is_up(n) {
                continue;
            }
            for record in self.instances[n].take_records(now) {
                let mut was_told = false;
                for address in self.replicas(n, record.stream) {
                    self.outcome.told += 1;
                    let to = self.index_of(address).expect("an instance");
                    self.told[to] += 1;
                    if self.reaches(n, to) {
                        self.instances[to].origins.record_told(&record, now);
                        was_told = true;
                    }
                }
                if !was_told {
                    self.instances[n].origins.put_back(record.stream);
                }
            }
            for record in self.instances[n].take_unkept(now) {
                self.keep(n, &record);
            }
        }
    }

    // Has a seed write a stream that began at an instance.
    fn keep(&mut self, n: usize, record: &Record) {
        let now = self.now;
        let seeds = self.instances.iter().take(SEEDS).map(|one| one.address);
        let keepers = drawn(seeds.collect(), record.stream);
        for keeper in keepers.into_iter().take(KEEPERS) {
            let to = self.index_of(keeper).expect("an instance");
            if to == n || self.reaches(n, to) {
                let request = KeepRequest {
                    streams: vec![*record],
                    is_passed_on: false,
                };
                self.instances[to].keep(&request, now);
                return;
            }
        }
        self.instances[n].origins.put_back_unkept(record.stream);
    }

    fn write_kept(&mut self) {
        if self.guard == Some(Guard::Keeping) {
            return;
        }
        for n in 0..SEEDS {
            let can_write = self.can_read(n);
            if self.is_up(n) {
                let passed_on = self.instances[n].write(&mut self.log, can_write, self.now);
                self.pass_on(n, passed_on);
            }
        }
    }

    fn pass_on(&mut self, n: usize, streams: Vec<Record>) {
        let request = KeepRequest {
            streams,
            is_passed_on: true,
        };
        for to in (0..SEEDS).filter(|to| *to != n) {
            if self.reaches(n, to) {
                self.instances[to].keep(&request, self.now);
            }
        }
    }

    fn take_up_streams(&mut self) {
        let now = self.now;
        let due: Vec<Stream> = self
            .streams
            .extract_if(.., |one| one.next_at <= now)
            .collect();
        for stream in due {
            self.take_up(stream);
        }
    }

    fn take_up(&mut self, mut stream: Stream) {
        let now = self.now;
        let drawn = self.rng.random_range(0..self.instances.len());
        let n = stream.at.take().unwrap_or(drawn);
        let is_over = since(now, stream.began_at) >= RETENTION || stream.take_ups >= MAX_TAKE_UPS;
        if is_over || !self.is_up(n) || !self.instances[n].is_ready() {
            return;
        }
        stream.take_ups += 1;
        let named = self.rng.random_bool(0.95).then_some(stream.id);
        let decision = match self.instances[n].decide(named, now) {
            Decision::Ask => self.ask(n, named, stream.id),
            decision => decision,
        };
        self.outcome.taken_up += 1;
        let serving = self.live_builds();
        let of_its_build = serving.get(&stream.build).copied();
        let serves = serving.len() > 1 && of_its_build >= Some(2);
        let is_judged = named.is_some() && serves && self.is_calm(n);
        let is_judged_after_kill = is_judged && stream.broke_side_by_side;
        self.outcome.taken_up_in_calm += u32::from(is_judged);
        self.outcome.taken_up_after_kill += u32::from(is_judged_after_kill);
        let Decision::GoOn(build) = decision else {
            return;
        };
        if !self.instances[n].lists(build) {
            return;
        }
        self.outcome.joined += u32::from(build != stream.build);
        self.outcome.went_on += 1;
        self.outcome.went_on_in_calm += u32::from(is_judged);
        self.outcome.went_on_after_kill += u32::from(is_judged_after_kill);
        let origin = Origin {
            service: SERVICE,
            build,
        };
        if let Some(id) = named {
            self.instances[n].origins.record_own(id, origin, now);
        }
        stream.next_at = now + Duration::from_millis(self.rng.random_range(100..6_000));
        self.streams.push(stream);
    }

    fn is_calm(&self, n: usize) -> bool {
        let ago = self.now.saturating_sub(CALM);
        let instance = &self.instances[n];
        self.log_down_until < ago
            && self.unread_until[n] < ago
            && self.cut_until[n] < ago
            && instance.started_at < ago
            && instance.is_current(self.now)
    }

    fn ask(&mut self, n: usize, named: Option<StreamId>, key: StreamId) -> Decision {
        let now = self.now;
        let mut replicas = self.replicas(n, key);
        if since(now, self.instances[n].started_at) < RETENTION {
            let seeds = self.instances.iter().take(SEEDS).map(|one| one.address);
            let own = self.instances[n].address;
            let unnamed = seeds.filter(|one| *one != own && !replicas.contains(one));
            let unnamed: Vec<SocketAddr> = unnamed.collect();
            replicas.extend(unnamed);
        }
        let asked = replicas.len();
        let mut origins = Vec::new();
        let mut statements = Vec::new();
        for address in replicas {
            self.outcome.questions += 1;
            let to = self.index_of(address).expect("an instance");
            if self.reaches(n, to) {
                let asked = &self.instances[to];
                origins.extend(
                    named
                        .and_then(|id| asked.origins.get(id))
                        .map(|(one, _)| one),
                );
                statements.push(asked.statement(now));
            }
        }
        self.instances[n].decide_by(&origins, &statements, asked, now)
    }
}
