//! Runs a schedule of cuts and checks what callers got.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_direct::forwarders::Fault;
use godwitpost_direct::reach::{Destination, Way};
use godwitpost_types::clock::Moment;
use godwitpost_types::id::EndpointId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::instance::Instance;

const TIME_STEP: Duration = Duration::from_millis(10);
const SIMULATED_TIME: Duration = Duration::from_secs(24);

/// When the last cut ends at the latest.
const LAST_CUT_END: Duration = Duration::from_secs(18);

/// Time from the beginning of a cut from which on callers have to be served.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time after the last cut from which on requests go directly again.
const MAX_RETURN_TIME: Duration = Duration::from_secs(4);

/// How many requests may still go through others by then: the one that has the path tried.
const MAX_LATE: usize = 1;

/// Interval at which instances are told of others.
const INTRODUCTION_INTERVAL: Duration = Duration::from_secs(1);

/// The callers' deadline, and what an attempt costs of it.
const DEADLINE: Duration = Duration::from_millis(600);
const HANDOVER_DELAY: Duration = Duration::from_millis(60);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const HOP_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
const ROUND_TRIP: Duration = Duration::from_millis(2);
const MAX_ASKING_TIME: Duration = Duration::from_millis(100);

const MAX_ATTEMPTS: usize = 4;
const MAX_ASKED: usize = 3;

/// How many requests an instance may get from others, as a multiple of the mean of those
/// that always have all their paths, and beside it.
const MAX_SHARE: usize = 6;
const SHARE_SLACK: usize = 20;

/// Zones over which instances are spread.
const ZONE_COUNT: u16 = 3;

/// How long an endpoint is down, and when all of them are at times.
const DOWNTIME: Duration = Duration::from_secs(3);
const OUTAGE_START: Duration = Duration::from_secs(19);
const OUTAGE_PROBABILITY: f64 = 0.2;

/// How many others an instance may ask for an endpoint that is down: three at a time, twice
/// a second.
const MAX_ASKED_FOR_DEAD: usize = 18;

/// How long an instance must have had all its paths for others to be owed that they find it.
const MAX_DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// How many instances may be asked in vain, while some reach all endpoints, for each request
/// that goes through another one.
const MAX_ASKED_IN_VAIN: usize = 1;

/// The size of a simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) instances: u16,
    pub(crate) endpoints: u16,
    pub(crate) per_second: u32,
}

/// Which instances lose their paths together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cuts {
    /// Any.
    Scattered,
    /// Most or all of those in one zone.
    ByZone,
}

/// A part of the production behaviour that a test can disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    /// Requests go through other instances.
    Forwarding,
    /// Paths are tried again.
    Probes,
    /// Different instances are told of different ones.
    Spread,
    /// Instances that don't reach an endpoint are passed over for a while, and those that do
    /// are preferred.
    Avoidance,
    /// Others are not asked again at once for an endpoint that nobody reaches.
    DeadEndpoints,
}

/// Instances that lose their paths to all endpoints or to those of one zone.
#[derive(Debug)]
struct Cut {
    from: Moment,
    until: Moment,
    instances: Vec<u16>,
    zone: Option<u64>,
    silent: bool,
}

impl Cut {
    fn is_on(&self, now: Moment) -> bool {
        (self.from..self.until).contains(&now)
    }
}

/// First tries at some instances.
#[derive(Clone, Copy, Debug, Default)]
struct Tries {
    sent: usize,
    served: usize,
}

/// Whether a connection is established, and how long that takes to be known.
enum Connection {
    Established,
    Refused,
    Silent,
}

struct World {
    rng: ChaCha8Rng,
    size: Size,
    disabled: Option<Guard>,
    now: Moment,
    endpoints: Vec<Destination>,
    // For each endpoint, when it is down.
    down: Vec<std::ops::Range<Moment>>,
    cuts: Vec<Cut>,
    instances: Vec<Instance>,
    // Requests that each instance sent on for others.
    taken: Vec<usize>,
    given: usize,
    // The least number of instances that had all their paths at a time.
    least_help: usize,
    asked_in_vain: usize,
    asked_for_dead: usize,
    at_cut_off: Tries,
    at_others: Tries,
    // Requests that did not go directly after the cuts, by instance and zone.
    late: BTreeMap<(u16, u64), usize>,
}

/// Runs a schedule.
///
/// # Errors
///
/// Returns the first violation.
pub(crate) fn run_schedule(
    seed: u64,
    size: Size,
    cuts: Cuts,
    disabled: Option<Guard>,
) -> Result<(), String> {
    let mut world = World::new(seed, size, cuts, disabled);
    while world.now < SIMULATED_TIME {
        world.now += TIME_STEP;
        world.introduce();
        let now = world.now;
        world.instances.iter_mut().for_each(|one| one.tick(now));
        world.count_help();
        world.send();
    }
    world.check()
}

impl World {
    fn new(seed: u64, size: Size, cuts: Cuts, disabled: Option<Guard>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let endpoints: Vec<Destination> = (0..u64::from(size.endpoints))
            .map(|n| Destination {
                endpoint: n + 1,
                service: 1,
                zone: n % 3,
            })
            .collect();
        let has_outage = rng.random_bool(OUTAGE_PROBABILITY);
        let down = endpoints
            .iter()
            .map(|_| {
                let alone = Duration::from_millis(rng.random_range(0..60_000));
                let from = if has_outage { OUTAGE_START } else { alone };
                from..from + DOWNTIME
            })
            .collect();
        let cuts = (0..rng.random_range(1..4))
            .map(|_| random_cut(&mut rng, size, cuts))
            .collect();
        Self {
            size,
            disabled,
            now: Moment::ZERO,
            endpoints,
            down,
            cuts,
            instances: (0..size.instances)
                .map(|n| Instance::new(address(n)))
                .collect(),
            taken: vec![0; usize::from(size.instances)],
            given: 0,
            least_help: usize::from(size.instances),
            asked_in_vain: 0,
            asked_for_dead: 0,
            at_cut_off: Tries::default(),
            at_others: Tries::default(),
            late: BTreeMap::new(),
            rng,
        }
    }

    fn is_disabled(&self, guard: Guard) -> bool {
        self.disabled == Some(guard)
    }

    // Tells each instance of some others, as seeds do.
    fn introduce(&mut self) {
        if !self
            .now
            .as_millis()
            .is_multiple_of(INTRODUCTION_INTERVAL.as_millis())
        {
            return;
        }
        for n in 0..self.size.instances {
            for _ in 0..8 {
                let other = if self.is_disabled(Guard::Spread) {
                    self.rng.random_range(0..self.size.instances.min(3))
                } else {
                    self.rng.random_range(0..self.size.instances)
                };
                let now = self.now;
                self.instances[usize::from(n)]
                    .forwarders
                    .record(address(other), now);
            }
        }
    }

    fn send(&mut self) {
        let mean = f64::from(self.size.per_second) * TIME_STEP.as_secs_f64();
        let mut count = mean.floor();
        if self.rng.random::<f64>() < mean - count {
            count += 1.0;
        }
        while count >= 1.0 {
            count -= 1.0;
            self.send_one();
        }
    }

    fn send_one(&mut self) {
        let n = self.rng.random_range(0..self.size.instances);
        let served = self.serve(n);
        // Where all lost their paths, none is served less than others.
        if !self.is_help_near() {
            return;
        }
        let is_long_cut = |cut: &&Cut| cut.zone.is_none() && self.now >= cut.from + CONTACT_TIME;
        let on = || self.cuts.iter().filter(|cut| cut.is_on(self.now));
        let is_cut_off = on()
            .filter(is_long_cut)
            .any(|cut| cut.instances.contains(&n));
        let is_other = on().any(|cut| is_long_cut(&cut)) && self.is_untouched(n);
        let tries = match (is_cut_off, is_other) {
            (true, _) => &mut self.at_cut_off,
            (false, true) => &mut self.at_others,
            (false, false) => return,
        };
        tries.sent += 1;
        tries.served += usize::from(served);
    }

    // Returns whether an instance has all its paths.
    fn is_untouched(&self, n: u16) -> bool {
        let mut on = self.cuts.iter().filter(|cut| cut.is_on(self.now));
        on.all(|cut| !cut.instances.contains(&n))
    }

    fn count_help(&mut self) {
        let untouched = (0..self.size.instances).filter(|n| self.is_untouched(*n));
        self.least_help = self.least_help.min(untouched.count());
    }

    // Returns whether some instance has had all its paths for long enough to be found.
    fn is_help_near(&self) -> bool {
        let is_recent = |cut: &&Cut| (cut.from..cut.until + MAX_DISCOVERY_TIME).contains(&self.now);
        let recent: Vec<&Cut> = self.cuts.iter().filter(is_recent).collect();
        let mut all = 0..self.size.instances;
        all.any(|n| recent.iter().all(|cut| !cut.instances.contains(&n)))
    }

    // Handles a request at an instance; returns whether it was served in time.
    fn serve(&mut self, n: u16) -> bool {
        let mut spent = Duration::ZERO;
        let mut tried = Vec::new();
        while tried.len() < MAX_ATTEMPTS && spent < DEADLINE {
            let chosen =
                self.instances[usize::from(n)].choose(&self.endpoints, &tried, &mut self.rng);
            let Some(to) = chosen else {
                return false;
            };
            tried.push(to);
            if self.attempt(n, to, &mut spent) {
                let now = self.now;
                self.instances[usize::from(n)].record_answer(to, now);
                return spent < DEADLINE;
            }
        }
        false
    }

    // Sends a request to an endpoint; returns whether it got there.
    fn attempt(&mut self, n: u16, to: Destination, spent: &mut Duration) -> bool {
        let now = self.now;
        let way = self.instances[usize::from(n)].way(to);
        if now > LAST_CUT_END + MAX_RETURN_TIME && way == Way::Forward {
            *self.late.entry((n, to.zone)).or_default() += 1;
        }
        let own = self.connect(n, to);
        if way == Way::Direct {
            match own {
                Connection::Established => {
                    *spent += ROUND_TRIP;
                    return true;
                }
                Connection::Refused => *spent += ROUND_TRIP,
                Connection::Silent => *spent += HANDOVER_DELAY,
            }
        } else if !self.is_disabled(Guard::Probes) {
            let draw = self.rng.random();
            let instance = &mut self.instances[usize::from(n)];
            if instance.reach.take_probe(to, now, draw) && matches!(own, Connection::Established) {
                instance.reach.record_connected(to);
            }
        }
        if self.give(n, to, spent) {
            if way == Way::Direct {
                let draw = self.rng.random();
                self.instances[usize::from(n)].record_loss(to, now, draw);
            }
            return true;
        }
        if way == Way::Direct && matches!(own, Connection::Silent) {
            *spent += CONNECT_TIMEOUT.saturating_sub(HANDOVER_DELAY);
        }
        self.instances[usize::from(n)].record_unreachable(to, now);
        false
    }

    // Gives a request to other instances; returns whether one sent it.
    fn give(&mut self, n: u16, to: Destination, spent: &mut Duration) -> bool {
        let now = self.now;
        let may_ask = self.is_disabled(Guard::DeadEndpoints)
            || self.instances[usize::from(n)]
                .reach
                .may_ask_others(to.endpoint, now);
        if self.is_disabled(Guard::Forwarding) || !may_ask {
            return false;
        }
        let is_dead = self.is_down(to.endpoint);
        let (mut asked, mut unreachable) = (Vec::new(), Vec::new());
        let started = *spent;
        while asked.len() < MAX_ASKED
            && unreachable.len() < 2
            && (asked.is_empty() || *spent < started + MAX_ASKING_TIME)
        {
            let draw = self.rng.random();
            let picked = self.instances[usize::from(n)]
                .forwarders
                .pick(&asked, draw, now);
            let Some(via) = picked else { break };
            asked.push(via);
            let other = via.port();
            *spent += ROUND_TRIP;
            self.asked_for_dead += usize::from(is_dead);
            let helper = &self.instances[usize::from(other)];
            if helper.way(to) == Way::Forward {
                self.asked_in_vain += usize::from(self.is_help_near());
                self.avoid(n, via, Fault::OutOfReach);
                continue;
            }
            match self.connect(other, to) {
                Connection::Established => {
                    *spent += ROUND_TRIP;
                    self.taken[usize::from(other)] += 1;
                    self.given += 1;
                    for one in unreachable {
                        self.avoid(n, one, Fault::OutOfReach);
                    }
                    if !self.is_disabled(Guard::Avoidance) {
                        let instance = &mut self.instances[usize::from(n)];
                        instance.forwarders.record_sent_on(via, now);
                    }
                    return true;
                }
                Connection::Silent => *spent += HOP_CONNECT_TIMEOUT,
                Connection::Refused => {}
            }
            self.instances[usize::from(other)].record_unreachable(to, now);
            self.asked_in_vain += usize::from(!is_dead && self.is_help_near());
            self.avoid(n, via, Fault::Unreachable);
            unreachable.push(via);
        }
        let is_unanimous = !unreachable.is_empty() && asked.len() == unreachable.len();
        if unreachable.len() >= 2 || is_unanimous {
            self.instances[usize::from(n)]
                .reach
                .record_down(to.endpoint, now);
        }
        false
    }

    fn avoid(&mut self, n: u16, other: SocketAddr, fault: Fault) {
        if !self.is_disabled(Guard::Avoidance) {
            let now = self.now;
            self.instances[usize::from(n)].avoid(other, fault, now);
        }
    }

    fn is_down(&self, endpoint: EndpointId) -> bool {
        let index = usize::try_from(endpoint - 1).unwrap_or(0);
        self.down[index].contains(&self.now)
    }

    fn connect(&self, n: u16, to: Destination) -> Connection {
        let on_path = |cut: &&Cut| {
            cut.is_on(self.now)
                && cut.instances.contains(&n)
                && cut.zone.is_none_or(|zone| zone == to.zone)
        };
        match self.cuts.iter().find(on_path) {
            Some(cut) if cut.silent => Connection::Silent,
            Some(_) => Connection::Refused,
            None if self.is_down(to.endpoint) => Connection::Refused,
            None => Connection::Established,
        }
    }

    fn check(&self) -> Result<(), String> {
        let (cut_off, others) = (self.at_cut_off, self.at_others);
        let failed = cut_off.sent - cut_off.served;
        let all = cut_off.sent + others.sent;
        let is_less = cut_off.served * 3 * others.sent < others.served * 2 * cut_off.sent;
        if is_less && failed > 10 + all / 50 {
            return Err(format!(
                "{cut_off:?} at instances without paths, {others:?} elsewhere"
            ));
        }
        if let Some((place, count)) = self.late.iter().find(|(_, count)| **count > MAX_LATE) {
            return Err(format!(
                "{count} requests through others long after the cuts at {place:?}"
            ));
        }
        let dead = self.endpoints.len() * usize::from(self.size.instances);
        if self.asked_for_dead > dead * MAX_ASKED_FOR_DEAD {
            return Err(format!(
                "{} asked for dead endpoints of {dead}",
                self.asked_for_dead
            ));
        }
        if self.given > 200 && self.asked_in_vain > self.given * MAX_ASKED_IN_VAIN {
            return Err(format!(
                "{} asked in vain for {} requests",
                self.asked_in_vain, self.given
            ));
        }
        let most = self.taken.iter().max().copied().unwrap_or(0);
        let mean = self.given / self.least_help.max(1) + 1;
        if most > mean * MAX_SHARE + SHARE_SLACK {
            return Err(format!(
                "one instance took {most} of {} requests, {} or more had all paths",
                self.given, self.least_help
            ));
        }
        Ok(())
    }
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn random_cut(rng: &mut ChaCha8Rng, size: Size, cuts: Cuts) -> Cut {
    let from = Duration::from_millis(rng.random_range(1_500..8_000));
    let lasting = Duration::from_millis(rng.random_range(500..10_000));
    let instances = match cuts {
        Cuts::Scattered => {
            let share = rng.random_range(0.1..0.6);
            let all = 0..size.instances;
            all.filter(|_| rng.random_bool(share)).collect()
        }
        Cuts::ByZone => {
            let zone = rng.random_range(0..ZONE_COUNT);
            let share = rng.random_range(0.7..=1.0);
            let all = (0..size.instances).filter(|n| n % ZONE_COUNT == zone);
            all.filter(|_| rng.random_bool(share)).collect()
        }
    };
    Cut {
        from,
        until: from + lasting,
        instances,
        zone: rng.random_bool(0.25).then(|| rng.random_range(0..3)),
        silent: rng.random_bool(0.5),
    }
}
