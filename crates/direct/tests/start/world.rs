//! Runs a schedule: links, calls to the log, polls and their answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_direct::backoff;
use godwitpost_direct::polling::age::{ANSWER_TIMEOUT, max_age, poll_wait};
use godwitpost_direct::polling::{
    Failure, MAX_LIST_TIME, Next, STARTUP_RETRY_PAUSE, first_wait, is_secondhand, max_wait,
};
use godwitpost_direct::replica::{ENDPOINT_BYTES, MAX_CHANGES_PER_ANSWER};
use godwitpost_direct::standby::Ability;
use godwitpost_types::clock::{Moment, since};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::faults::{Faults, SLOW_FACTOR, Seeds, TURNED_AWAY_TIME, Trouble, Turned};
use crate::instance::{Following, Instance, MAX_UPDATE_DELAY, Poll, TopicName};
use crate::log::{ENTRY_BYTES, Log, PAGE_ENTRIES, POLICY_BYTES, Reply};

const SIMULATED_TIME: Duration = Duration::from_secs(30);

/// All processes start within this time.
const START_SPREAD: u64 = 300;

const LATENCY: Duration = Duration::from_millis(2);

/// Bytes a second of links: one in sixteen instances has a fast one.
const FAST_LINK: u64 = 125_000_000;
const SLOW_LINK: u64 = 2_500_000;
const FAST_LINK_INTERVAL: usize = 16;

/// The size of an answer without a list.
const SMALL_ANSWER_BYTES: usize = 2_000;

/// How long a small instance takes to apply a part of a list.
const PART_TIME: Duration = Duration::from_millis(40);

/// How long a poll for the next part of a list waits at a busy peer.
const LIST_POLL_WAIT: Duration = Duration::from_secs(1);

/// How long a seed that lost the log polls another one.
const MAX_SEED_POLL_TIME: Duration = Duration::from_secs(4);

/// The pauses before another round of peers, before jitter.
const FAST_RETRY_PAUSE: Duration = Duration::from_millis(400);
const RETRY_PAUSE: Duration = Duration::from_secs(3);
const STARTUP_PERIOD: Duration = Duration::from_secs(5);

/// The pauses between reads of the log.
const PAUSE_AFTER_LISTING: Duration = Duration::from_millis(600);
const REFRESH: Duration = Duration::from_secs(1);

/// Within these times of the first moment at which anyone knows the list, nine of ten
/// instances have to be ready, and all.
const MOST_READY_TIME: Duration = Duration::from_secs(5);
const ALL_READY_TIME: Duration = Duration::from_secs(10);

/// Instances that can learn of anything only later than this are not judged.
const LAST_OWED_TIME: Duration = SIMULATED_TIME.saturating_sub(ALL_READY_TIME);

/// How long an instance may make no progress.
const MAX_STANDSTILL: Duration = Duration::from_secs(8);

/// How many times as long as one that reads the log alone the first one may take.
const MAX_FIRST_FACTOR: u32 = 3;

/// Calls to the log that a start may cost, where a seed can read it.
const MAX_CALLS_PER_START: usize = 2;

/// The size of a simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    instances: usize,
    endpoints: usize,
}

impl Size {
    pub(crate) const fn new(instances: usize, endpoints: usize) -> Self {
        Self {
            instances,
            endpoints,
        }
    }

    const fn parts(self) -> usize {
        self.endpoints.div_ceil(MAX_CHANGES_PER_ANSWER)
    }

    const fn pages(self) -> usize {
        self.endpoints.div_ceil(PAGE_ENTRIES)
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Start(usize),
    Kill(usize),
    /// Begins a round of polling peers; of this incarnation.
    NewRound(usize, u64),
    /// Decides on the next peer; of this incarnation.
    NextPeer(usize, u64),
    /// Polls the followed peer again.
    PollAgain(usize, u64),
    /// A poll arrives at a peer.
    Arrival(Poll),
    /// A peer without state has let a poll wait for as long as it asked for.
    WaitEnd(Poll),
    /// A peer sends an answer of so many bytes.
    Send(Poll, usize, Content),
    /// An answer arrives.
    Answer(Poll, Content),
    /// A poll ends without an answer.
    Timeout(Poll),
    /// A seed has polled another one for long enough.
    SeedTimeout(Poll),
    /// An instance calls the log; of this epoch.
    Call(usize, TopicName, u64),
    /// A call that was sent then ends.
    CallEnd(usize, TopicName, u64, Reply, Moment),
}

/// What an answer holds.
#[derive(Clone, Copy, Debug)]
enum Content {
    NotReady(u64),
    /// A part of the list, or nothing of it since the peer is busy; or changes.
    State {
        has_part: bool,
        confirmed_at: [Moment; 2],
        reads_log: bool,
    },
}

struct World {
    size: Size,
    faults: Faults,
    rng: ChaCha8Rng,
    now: Moment,
    log: Log,
    seeds: Vec<SocketAddr>,
    instances: Vec<Instance>,
    numbers: BTreeMap<SocketAddr, usize>,
    queue: BTreeMap<(Moment, u64), Event>,
    queued: u64,
    starts: usize,
    // When the first instance knew the list.
    first_known_at: Option<Moment>,
    longest_standstill: Duration,
}

fn address(n: usize) -> SocketAddr {
    let [high, low] = [n / 200, n % 200].map(|part| u8::try_from(part).unwrap_or(0));
    SocketAddr::from(([10, 0, high, low], 8_229))
}

/// Runs a schedule.
///
/// # Errors
///
/// Returns the first violation.
pub(crate) fn run_schedule(seed: u64, size: Size, faults: Faults) -> Result<(), String> {
    let mut world = World::new(seed, size, faults);
    world.plan();
    while let Some(((at, _), event)) = world.queue.pop_first()
        && at < SIMULATED_TIME
    {
        world.now = at;
        world.handle(event);
    }
    world.now = SIMULATED_TIME;
    world.check()
}

impl World {
    fn new(seed: u64, size: Size, faults: Faults) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let faults = faults.draw(&mut rng);
        let seeds: Vec<SocketAddr> = (0..3).map(address).collect();
        let link = |n: usize| {
            if n < 3 || n.is_multiple_of(FAST_LINK_INTERVAL) {
                FAST_LINK
            } else {
                SLOW_LINK
            }
        };
        let instances = (0..size.instances).map(|n| Instance::new(address(n), &seeds, link(n)));
        Self {
            size,
            faults,
            rng,
            now: Moment::ZERO,
            log: Log::new(),
            instances: instances.collect(),
            numbers: (0..size.instances).map(|n| (address(n), n)).collect(),
            seeds,
            queue: BTreeMap::new(),
            queued: 0,
            starts: 0,
            first_known_at: None,
            longest_standstill: Duration::ZERO,
        }
    }

    // Plans the starts and the faults.
    fn plan(&mut self) {
        for n in 0..self.size.instances {
            let at = Duration::from_millis(self.rng.random_range(0..START_SPREAD));
            self.push(at, Event::Start(n));
        }
        self.plan_seeds();
        self.plan_log();
        if self.faults.drawn {
            self.plan_troubles();
        }
    }

    fn plan_seeds(&mut self) {
        let left = self.rng.random_range(0..3);
        for n in 0..3 {
            match self.faults.seeds {
                Seeds::All => {}
                Seeds::OneLeft if n == left => {}
                Seeds::OneLeft | Seeds::NoneLeft => self.instances[n].cut = Trouble::ALWAYS,
                Seeds::Drawn => self.plan_drawn_seed(n),
            }
        }
    }

    fn plan_drawn_seed(&mut self, n: usize) {
        let at = Duration::from_millis(self.rng.random_range(100..4_000));
        match self.rng.random_range(0..6) {
            0 => self.instances[n].cut = Trouble::ALWAYS,
            1 => self.instances[n].cut = Trouble::for_time(at),
            2 => {
                self.push(at, Event::Kill(n));
                self.push(at + Duration::from_millis(800), Event::Start(n));
            }
            3 => self.push(at, Event::Kill(n)),
            _ => {}
        }
    }

    fn plan_log(&mut self) {
        let turned = Trouble::for_time(TURNED_AWAY_TIME);
        for n in 0..self.size.instances {
            let is_turned = match self.faults.turned {
                Turned::None | Turned::Drawn => false,
                Turned::Seeds => n < 3,
                Turned::Third => self.rng.random_bool(1.0 / 3.0),
                Turned::TwoThirds => self.rng.random_bool(2.0 / 3.0),
            };
            if is_turned {
                self.instances[n].turned_away = turned;
            }
        }
    }

    // Some instances are cut off, and some are killed again.
    fn plan_troubles(&mut self) {
        let cut = [0.0, 0.0, 0.3][self.rng.random_range(0..3)];
        let cut_until = Duration::from_millis(self.rng.random_range(500..3_000));
        let killed = [0.0, 0.0, 0.5, 1.0][self.rng.random_range(0..4)];
        let killed_at = Duration::from_millis(self.rng.random_range(500..4_000));
        for n in 0..self.size.instances {
            if n >= 3 && self.rng.random_bool(cut) {
                self.instances[n].cut = Trouble::for_time(cut_until);
            }
            if self.rng.random_bool(killed) {
                let delay = Duration::from_millis(1_000 + self.rng.random_range(0..START_SPREAD));
                self.push(killed_at, Event::Kill(n));
                self.push(killed_at + delay, Event::Start(n));
            }
        }
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.queued += 1;
        self.queue.insert((at, self.queued), event);
    }

    fn push_after(&mut self, delay: Duration, event: Event) {
        self.push(self.now + delay, event);
    }

    fn jitter(&mut self) -> f64 {
        self.rng.random_range(0.5..1.5)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start(n) => self.start(n),
            Event::Kill(n) => self.instances[n].is_alive = false,
            Event::NewRound(n, of) if self.is_current(n, of) => self.begin_round(n),
            Event::NextPeer(n, of) if self.is_current(n, of) => self.choose_peer(n),
            Event::PollAgain(n, of) if self.is_current(n, of) => self.poll_again(n),
            Event::Arrival(poll) => self.receive(poll),
            Event::WaitEnd(poll) => self.end_wait(poll),
            Event::Send(poll, bytes, content) if self.instances[poll.to].is_alive => {
                self.send_answer(poll, bytes, content);
            }
            Event::Answer(poll, content) if self.is_awaited(&poll) => self.accept(poll, content),
            Event::Timeout(poll) if self.is_awaited(&poll) => {
                self.fail(poll.from, Failure::Other);
            }
            Event::SeedTimeout(poll) => self.end_seed_poll(poll),
            Event::Call(n, topic, epoch) if self.is_reading(n, epoch) => self.call(n, topic),
            Event::CallEnd(n, topic, epoch, reply, sent_at) if self.is_reading(n, epoch) => {
                self.end_call(n, topic, reply, sent_at);
            }
            _ => {}
        }
    }

    fn is_current(&self, n: usize, incarnation: u64) -> bool {
        let one = &self.instances[n];
        one.is_alive && one.incarnation == incarnation
    }

    fn is_awaited(&self, poll: &Poll) -> bool {
        let one = &self.instances[poll.from];
        one.is_alive && one.poll == poll.number && one.following.is_some()
    }

    fn is_reading(&self, n: usize, epoch: u64) -> bool {
        let one = &self.instances[n];
        one.is_alive && one.reads_log && one.epoch == epoch
    }

    fn start(&mut self, n: usize) {
        let first = self.rng.random_range(0..3);
        let now = self.now;
        let epoch = self.instances[n].epoch + 1;
        let seeds = self.seeds.clone();
        let one = &mut self.instances[n];
        if one.is_alive {
            return;
        }
        one.start(&seeds, first, now);
        one.epoch = epoch;
        self.starts += 1;
        if self.instances[n].is_seed {
            self.begin_reading(n);
        } else {
            self.begin_round(n);
        }
    }

    // Returns from when on anyone can read the log.
    fn readable_from(&self) -> Moment {
        let from = |one: &Instance| {
            let from = one.started_at.max(one.cut.until);
            from.max(one.turned_away.until)
        };
        let all = self.instances.iter().filter(|one| one.is_alive);
        all.map(from).min().unwrap_or(Moment::MAX)
    }

    fn record_progress(&mut self, n: usize) {
        let owed_from = self.owed_from(n).max(self.readable_from());
        let (now, one) = (self.now, &mut self.instances[n]);
        if one.ready_at.is_none() {
            let standstill = since(now, one.progress_at.max(owed_from));
            self.longest_standstill = self.longest_standstill.max(standstill);
        }
        one.progress_at = now;
        if one.ready_at.is_none() && one.is_ready(now) {
            one.ready_at = Some(now);
        }
        if one.has_state() {
            self.first_known_at.get_or_insert(now);
            self.answer_waiting(n);
        }
    }
}

// Polling.
impl World {
    fn begin_round(&mut self, n: usize) {
        let draw = self.rng.random();
        let standbys = self.standbys_of(n);
        let one = &mut self.instances[n];
        one.is_polling = true;
        one.round.set_own_standbys(standbys);
        one.round.begin(draw);
        self.choose_peer(n);
    }

    fn choose_peer(&mut self, n: usize) {
        let draw = self.rng.random();
        let now = self.now;
        let one = &mut self.instances[n];
        let knowledge = one.knowledge(now);
        match one.round.next(&knowledge, draw) {
            Next::Pause(pause) => {
                let incarnation = one.incarnation;
                self.push_after(pause, Event::NextPeer(n, incarnation));
            }
            Next::ReadLog => self.end_round(n),
            Next::Poll(peer, time_left) => {
                one.following = Some(Following {
                    peer: self.numbers[&peer],
                    since: now,
                    time_left,
                    parts: 0,
                    answered: false,
                });
                let wait = first_wait(&knowledge, time_left);
                let poll = self.poll(n, wait);
                if self.instances[n].is_seed {
                    self.push_after(MAX_SEED_POLL_TIME, Event::SeedTimeout(poll));
                }
            }
        }
    }

    // Reads the log, and polls peers again after a pause.
    fn end_round(&mut self, n: usize) {
        let jitter = self.jitter();
        self.instances[n].is_polling = false;
        self.instances[n].following = None;
        if !self.instances[n].reads_log {
            self.instances[n].reads_log = true;
            self.instances[n].epoch += 1;
            self.begin_reading(n);
        }
        let one = &self.instances[n];
        let is_starting = since(self.now, one.started_at) < STARTUP_PERIOD;
        let pause = if is_starting || one.log_unavailable {
            FAST_RETRY_PAUSE
        } else {
            RETRY_PAUSE
        };
        if !one.is_seed || one.log_unavailable {
            let incarnation = one.incarnation;
            self.instances[n].is_polling = true;
            self.push_after(pause.mul_f64(jitter), Event::NewRound(n, incarnation));
        }
    }

    fn poll(&mut self, n: usize, wait: Duration) -> Poll {
        let now = self.now;
        let one = &mut self.instances[n];
        one.poll += 1;
        let following = one.following.expect("a peer is followed");
        let poll = Poll {
            from: n,
            number: one.poll,
            to: following.peer,
            sent_at: now,
            wait,
            parts: (!one.has_list).then_some(following.parts),
        };
        let is_first = !following.answered;
        let (cut, other) = (one.cut, &self.instances[following.peer]);
        if cut.is_on(now) || other.cut.is_on(now) {
            let patience = if is_first {
                ANSWER_TIMEOUT.min(following.time_left)
            } else {
                wait + ANSWER_TIMEOUT
            };
            self.push_after(patience, Event::Timeout(poll));
        } else if !other.is_alive {
            self.push_after(LATENCY * 2, Event::Timeout(poll));
        } else {
            let patience = wait + ANSWER_TIMEOUT;
            self.push_after(LATENCY, Event::Arrival(poll));
            self.push_after(patience, Event::Timeout(poll));
        }
        poll
    }

    fn poll_again(&mut self, n: usize) {
        let now = self.now;
        let one = &self.instances[n];
        let Some(following) = one.following else {
            return;
        };
        if !one.has_list && since(now, following.since) >= MAX_LIST_TIME {
            return self.fail(n, Failure::Other);
        }
        let wait = if one.has_list {
            let serves_peers = one.is_seed || one.pollers.any_recent(now);
            poll_wait(MAX_UPDATE_DELAY).min(max_wait(serves_peers))
        } else {
            LIST_POLL_WAIT
        };
        self.poll(n, wait);
    }

    fn fail(&mut self, n: usize, failure: Failure) {
        let draw = self.rng.random();
        let now = self.now;
        let one = &mut self.instances[n];
        let knowledge = one.knowledge(now);
        if let Some(following) = one.following.take() {
            let address = address(following.peer);
            let followed = since(now, following.since);
            one.round.record_failure(
                address,
                failure,
                followed,
                following.time_left,
                &knowledge,
                draw,
            );
            self.choose_peer(n);
        }
    }

    fn end_seed_poll(&mut self, poll: Poll) {
        let one = &self.instances[poll.from];
        let is_same = |following: Following| following.since == poll.sent_at;
        if one.is_alive && one.following.is_some_and(is_same) {
            self.end_round(poll.from);
        }
    }
}

// Answering.
impl World {
    fn receive(&mut self, poll: Poll) {
        let now = self.now;
        let ability = Ability {
            reads_log: self.instances[poll.from].reads_log,
            has_list: poll.parts.is_none(),
            link_rate: self.instances[poll.from].link_rate,
        };
        let from = self.instances[poll.from].address;
        let one = &mut self.instances[poll.to];
        if !one.is_alive {
            return;
        }
        one.pollers.record_poll(Some(from), ability, now);
        if one.has_state() {
            self.answer(poll);
        } else {
            one.waiting.push(poll);
            self.push_after(poll.wait, Event::WaitEnd(poll));
        }
    }

    fn end_wait(&mut self, poll: Poll) {
        let one = &mut self.instances[poll.to];
        let before = one.waiting.len();
        one.waiting
            .retain(|other| (other.from, other.number) != (poll.from, poll.number));
        if !one.is_alive || one.waiting.len() == before {
            return;
        }
        let content = Content::NotReady(one.list_progress);
        self.send_answer(poll, SMALL_ANSWER_BYTES, content);
    }

    fn answer_waiting(&mut self, n: usize) {
        for poll in std::mem::take(&mut self.instances[n].waiting) {
            self.answer(poll);
        }
    }

    // Answers a poll: with a part of the list in its turn, or with changes at the end of
    // its wait.
    fn answer(&mut self, poll: Poll) {
        let now = self.now;
        let parts = self.size.parts();
        let endpoints = self.size.endpoints;
        let one = &mut self.instances[poll.to];
        let [Some(operator), Some(endpoints_at)] = one.topics.map(|topic| topic.confirmed_at)
        else {
            return;
        };
        let deadline = poll.sent_at + LATENCY + poll.wait;
        let mut content = Content::State {
            has_part: false,
            confirmed_at: [operator, endpoints_at],
            reads_log: one.reads_log,
        };
        let Some(sent) = poll.parts.filter(|sent| *sent < parts) else {
            let delay = since(deadline, now);
            let delay = if poll.parts.is_none() {
                delay
            } else {
                Duration::ZERO
            };
            return self.push_answer(poll, delay, SMALL_ANSWER_BYTES, content);
        };
        let length = MAX_CHANGES_PER_ANSWER.min(endpoints - sent * MAX_CHANGES_PER_ANSWER);
        let policy = if sent == 0 { POLICY_BYTES } else { 0 };
        let bytes = length * ENDPOINT_BYTES + policy;
        let reserved = u32::try_from(bytes).expect("a part is short");
        let from = self.instances[poll.from].address;
        let passes_on = self.seeds.contains(&from) || self.standbys_of(poll.to).contains(&from);
        let one = &mut self.instances[poll.to];
        let turn = if passes_on {
            one.pace.reserve_first(reserved, now);
            Some(Duration::ZERO)
        } else {
            one.pace.reserve(reserved, now, since(deadline, now))
        };
        let Some(delay) = turn else {
            return self.push_answer(poll, Duration::ZERO, SMALL_ANSWER_BYTES, content);
        };
        if let Content::State { has_part, .. } = &mut content {
            *has_part = true;
        }
        self.push_answer(poll, delay, bytes, content);
    }

    fn push_answer(&mut self, poll: Poll, delay: Duration, bytes: usize, content: Content) {
        self.push_after(delay, Event::Send(poll, bytes, content));
    }

    fn send_answer(&mut self, poll: Poll, bytes: usize, content: Content) {
        let now = self.now;
        let carry = |until: &mut Moment, from: Moment, rate: u64| {
            let bytes = u32::try_from(bytes).map_or(f64::MAX, f64::from);
            #[expect(clippy::cast_precision_loss, reason = "a link's rate is small")]
            let carried = Duration::from_secs_f64(bytes / rate as f64);
            *until = from.max(*until) + carried;
            *until
        };
        let sender = &mut self.instances[poll.to];
        let sent = carry(&mut sender.sends_until, now, sender.link_rate);
        let receiver = &mut self.instances[poll.from];
        let arrived = carry(&mut receiver.receives_until, sent, receiver.link_rate);
        let lost = receiver.cut.is_on(arrived) || self.instances[poll.to].cut.is_on(now);
        if !lost {
            self.push(arrived + LATENCY, Event::Answer(poll, content));
        }
    }

    fn standbys_of(&mut self, n: usize) -> Vec<SocketAddr> {
        let now = self.now;
        let one = &mut self.instances[n];
        if one.is_seed {
            one.pollers.standbys(one.incarnation, now).to_vec()
        } else {
            Vec::new()
        }
    }

    fn accept(&mut self, poll: Poll, content: Content) {
        let n = poll.from;
        // The poll is over, and no longer times out.
        self.instances[n].poll += 1;
        let standbys = self.standbys_of(poll.to);
        let (has_part, confirmed_at, reads_log) = match content {
            Content::NotReady(progress) => {
                if progress > self.instances[n].peer_progress {
                    self.instances[n].peer_progress = progress;
                    self.record_progress(n);
                }
                let round = &mut self.instances[n].round;
                round.set_standbys(address(poll.to), standbys);
                return self.fail(n, Failure::NotReady(progress));
            }
            Content::State {
                has_part,
                confirmed_at,
                reads_log,
            } => (has_part, confirmed_at, reads_log),
        };
        let now = self.now;
        let oldest = confirmed_at[0].min(confirmed_at[1]);
        let is_first = self.instances[n].following.is_some_and(|one| !one.answered);
        if is_first
            && !has_part
            && poll.parts.is_some()
            && !self.instances[n].knowledge(now).has_state()
        {
            self.instances[n]
                .round
                .set_standbys(address(poll.to), standbys);
            return self.fail(n, Failure::Busy);
        }
        let is_behind = self.instances[n].topics[1].confirmed_at > Some(confirmed_at[1]);
        if since(now, oldest) > max_age(MAX_UPDATE_DELAY) || (is_first && is_behind) {
            return self.fail(n, Failure::Other);
        }
        let one = &mut self.instances[n];
        one.round.set_standbys(address(poll.to), standbys);
        let total = self.size.parts();
        one.topics[0].confirmed_at = one.topics[0].confirmed_at.max(Some(confirmed_at[0]));
        let Some(following) = &mut one.following else {
            return;
        };
        following.answered = true;
        one.round.record_answer();
        following.parts += usize::from(has_part);
        let is_seed = one.is_seed;
        let is_complete = one.has_list || following.parts >= total;
        if is_complete {
            one.has_list = true;
            one.topics[1].confirmed_at = one.topics[1].confirmed_at.max(Some(confirmed_at[1]));
            if !reads_log && is_secondhand(since(now, oldest), MAX_UPDATE_DELAY, is_seed) {
                self.record_progress(n);
                return self.fail(n, Failure::Secondhand);
            }
            one.reads_log = false;
        }
        let pause = if has_part {
            PART_TIME
        } else if is_complete {
            Duration::ZERO
        } else {
            STARTUP_RETRY_PAUSE
        };
        let incarnation = one.incarnation;
        one.list_progress += u64::from(has_part);
        if has_part || is_complete {
            self.record_progress(n);
        }
        self.push_after(pause, Event::PollAgain(n, incarnation));
    }
}

// Reading the log.
impl World {
    fn begin_reading(&mut self, n: usize) {
        let one = &mut self.instances[n];
        for topic in &mut one.topics {
            topic.calls_done = 0;
        }
        let epoch = one.epoch;
        for topic in [TopicName::Operator, TopicName::Endpoints] {
            self.push_after(Duration::ZERO, Event::Call(n, topic, epoch));
        }
    }

    // How many calls it takes until everything is known.
    const fn calls_to_list(&self, topic: TopicName) -> usize {
        match topic {
            TopicName::Endpoints if self.size.pages() > 1 => self.size.pages() + 1,
            TopicName::Operator | TopicName::Endpoints => 1,
        }
    }

    fn call(&mut self, n: usize, topic: TopicName) {
        let now = self.now;
        let to_list = self.calls_to_list(topic);
        let one = &mut self.instances[n];
        let done = one.topic(topic).calls_done;
        let bytes = match topic {
            TopicName::Operator if done == 0 => POLICY_BYTES,
            TopicName::Endpoints if done < to_list => PAGE_ENTRIES * ENTRY_BYTES,
            _ => SMALL_ANSWER_BYTES,
        };
        let is_away = one.cut.is_on(now) || one.turned_away.is_on(now);
        let epoch = one.epoch;
        let reply = self
            .log
            .call(bytes, is_away, self.faults, now, &mut self.rng);
        self.push(reply.at, Event::CallEnd(n, topic, epoch, reply, now));
    }

    fn end_call(&mut self, n: usize, topic: TopicName, reply: Reply, sent_at: Moment) {
        let now = self.now;
        let to_list = self.calls_to_list(topic);
        let jitter = self.rng.random_range(0.75..1.25);
        let one = &mut self.instances[n];
        let has_peers = !one.is_seed && !one.pollers.any_recent(now);
        let is_seed = one.is_seed;
        let state = one.topic(topic);
        let pause = if reply.is_ok {
            state.failures = 0;
            state.calls_done += 1;
            match state.calls_done {
                done if done < to_list => Duration::ZERO,
                done if done == to_list && !is_seed => PAUSE_AFTER_LISTING,
                _ if is_seed => REFRESH / 2,
                _ => REFRESH,
            }
        } else {
            state.failures += 1;
            backoff::pause(state.failures - 1, has_peers).mul_f64(jitter)
        };
        let is_listed = state.calls_done >= to_list;
        let has_part = reply.is_ok && state.calls_done <= to_list;
        one.list_progress += u64::from(has_part);
        let state = one.topic(topic);
        if reply.is_ok && is_listed {
            state.confirmed_at = Some(sent_at);
        }
        if topic == TopicName::Operator {
            one.log_unavailable = !reply.is_ok;
        } else if is_listed {
            one.has_list = true;
        }
        let (epoch, incarnation) = (one.epoch, one.incarnation);
        let polls_now = is_seed && one.log_unavailable && !one.is_polling;
        one.is_polling |= polls_now;
        if reply.is_ok {
            self.record_progress(n);
        }
        self.push_after(pause, Event::Call(n, topic, epoch));
        if polls_now {
            let delay = FAST_RETRY_PAUSE.mul_f64(self.jitter());
            self.push_after(delay, Event::NewRound(n, incarnation));
        }
    }
}

// Checking.
impl World {
    fn check(&self) -> Result<(), String> {
        let latency = Duration::from_millis(8) * if self.faults.slow { SLOW_FACTOR } else { 1 };
        let calls = u32::try_from(self.size.pages() + 2).expect("few pages");
        let read_time = latency * calls + Duration::from_secs(1);
        let Some(first) = self.first_known_at else {
            return Err("no instance ever knew the list".to_owned());
        };
        let took = since(first, self.readable_from());
        if !self.faults.loses && took > read_time * MAX_FIRST_FACTOR {
            return Err(format!("the first instance knew the list after {first:?}"));
        }
        if self.longest_standstill > MAX_STANDSTILL {
            return Err(format!("no progress for {:?}", self.longest_standstill));
        }
        self.check_ready(first)?;
        self.check_calls()
    }

    // Returns from when on an instance can learn of anything: it runs, is not cut off, and
    // has a seed to ask or the log.
    fn owed_from(&self, n: usize) -> Moment {
        let one = &self.instances[n];
        let has_seed = (0..3).any(|seed| {
            let other = &self.instances[seed];
            seed != n && other.is_alive && other.cut.until < SIMULATED_TIME
        });
        let from = one.started_at.max(one.cut.until);
        if has_seed {
            from
        } else {
            from.max(one.turned_away.until)
        }
    }

    fn check_ready(&self, first: Moment) -> Result<(), String> {
        let mut times: Vec<Duration> = Vec::new();
        let mut never = 0_usize;
        for (n, one) in self.instances.iter().enumerate() {
            let from = self.owed_from(n).max(first);
            if !one.is_alive || from > LAST_OWED_TIME {
                continue;
            }
            match one.ready_at {
                Some(at) if one.is_ready(SIMULATED_TIME) => times.push(since(at, from)),
                Some(_) => return Err(format!("{} is no longer ready at the end", one.address)),
                None => never += 1,
            }
        }
        times.sort();
        let calls = self.log.calls();
        if never > 0 {
            let owed = times.len() + never;
            return Err(format!(
                "{never} of {owed} instances were never ready; first known at {first:?}; {calls} calls"
            ));
        }
        let most = times.get((times.len() * 9).div_ceil(10).saturating_sub(1));
        let most = most.copied().unwrap_or_default();
        let all = times.last().copied().unwrap_or_default();
        if most > MOST_READY_TIME || all > ALL_READY_TIME {
            return Err(format!(
                "nine of ten were ready after {most:?}, all after {all:?}; first known at {first:?}; {calls} calls"
            ));
        }
        Ok(())
    }

    fn check_calls(&self) -> Result<(), String> {
        let is_usual = self.faults.seeds == Seeds::All
            && self.faults.turned == Turned::None
            && !self.faults.loses;
        // Seeds go on reading, and each reads the whole list once.
        let seeds = 3 * (self.size.pages() + 150);
        let allowed = self.starts * MAX_CALLS_PER_START + seeds;
        if is_usual && self.log.calls() > allowed {
            return Err(format!("{} calls, {allowed} may", self.log.calls()));
        }
        Ok(())
    }
}
