//! A schedule: what endpoints do and say, and what has to hold.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_direct::roster::Registration;
use godwitpost_types::clock::Moment;
use godwitpost_types::endpoint::Standing;
use godwitpost_types::id::EndpointId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::endpoint::{Endpoint, Reply};
use crate::instance::Instance;

const STEP: Duration = Duration::from_millis(5);
const DAY: Duration = Duration::from_secs(12);

/// How often an instance hands what it heard on to its roster.
const TICK: Duration = Duration::from_millis(100);

/// How long after an instance was told that an endpoint leaves requests may still reach it.
const DRAIN: Duration = Duration::from_secs(2);

/// How long what was under way may reach an endpoint that wants none, and how many requests
/// may do so later.
const UNDER_WAY: Duration = Duration::from_millis(500);
const STILL: usize = 2;

/// Within what time of its last trouble an endpoint has to be used by somebody.
const USED: Duration = Duration::from_secs(3);

/// How long entries take to lapse while the log is away, and to be there again after it.
const LAPSE: Duration = Duration::from_millis(3_600);
const RETURN: Duration = Duration::from_secs(2);

/// How large a world is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) instances: usize,
    pub(crate) endpoints: u16,
    pub(crate) per_second: u32,
}

/// What may be taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    /// An answer's word on leaving is taken.
    Leaving,
    /// Pauses are kept to.
    Pauses,
    /// After a pause an endpoint is tried by one request at a time.
    Trials,
    /// Words are noted for one life of an endpoint.
    Lives,
}

/// A request on its way there, or its answer on the way back.
#[derive(Clone, Debug)]
struct Flight {
    instance: usize,
    sent: Moment,
    due: Moment,
    to: Registration,
    // What the endpoint did, once it has, and whether it said that it leaves.
    answer: Option<(Reply, bool)>,
}

/// An endpoint asked an instance for a pause.
#[derive(Debug)]
struct Pause {
    from: Moment,
    until: Moment,
    arrivals: usize,
}

struct World {
    rng: ChaCha8Rng,
    size: Size,
    now: Moment,
    endpoints: Vec<Endpoint>,
    instances: Vec<Instance>,
    flights: Vec<Flight>,
    // When the log goes away, and is back.
    away: Option<(Moment, Moment)>,
    // When instances were first told that an endpoint leaves.
    told: BTreeMap<(usize, EndpointId), Moment>,
    pauses: BTreeMap<(usize, EndpointId), Vec<Pause>>,
    // When endpoints last served a request.
    served: BTreeMap<EndpointId, Moment>,
}

/// Plays a schedule.
///
/// # Errors
///
/// Returns the first promise that is broken.
pub(crate) fn play(seed: u64, size: Size, without: Option<Guard>) -> Result<(), String> {
    let mut world = World::new(seed, size, without);
    while world.now < DAY {
        world.now += STEP;
        world.change();
        world.write();
        world.turn();
        world.send()?;
        world.arrive()?;
        world.check_use()?;
    }
    Ok(())
}

impl World {
    fn new(seed: u64, size: Size, without: Option<Guard>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let goes = Duration::from_millis(rng.random_range(500..6_000));
        let back = goes + Duration::from_millis(rng.random_range(300..6_000));
        Self {
            rng,
            size,
            now: Duration::ZERO,
            endpoints: (0..size.endpoints).map(Endpoint::new).collect(),
            instances: (0..size.instances)
                .map(|_| Instance::new(without))
                .collect(),
            flights: Vec::new(),
            away: Some((goes, back)),
            told: BTreeMap::new(),
            pauses: BTreeMap::new(),
            served: BTreeMap::new(),
        }
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn log_is_away(&self) -> bool {
        self.away
            .is_some_and(|(goes, back)| self.now >= goes && self.now < back)
    }

    // An endpoint begins to leave or to turn all away; one of five is left alone.
    fn change(&mut self) {
        let now = self.now;
        for endpoint in &mut self.endpoints {
            if endpoint.ends.is_some_and(|at| now >= at) {
                endpoint.next_life(now);
            }
        }
        let per_step = 0.0015 * f64::from(self.size.endpoints);
        if !self.rng.random_bool(per_step.min(1.0)) {
            return;
        }
        let at = self.rng.random_range(0..self.endpoints.len());
        if at % 5 == 0 {
            return;
        }
        let (time, pause) = (self.millis(300..4_000), self.millis(100..3_500));
        let (leaves, names) = (self.rng.random_bool(0.3), self.rng.random_bool(0.7));
        let endpoint = &mut self.endpoints[at];
        if leaves && endpoint.leaves.is_none() {
            endpoint.leaves = Some(now);
            endpoint.ends = Some(now + time + pause);
        } else if !leaves {
            endpoint.refuses = Some((now + time, names.then_some(pause)));
        }
        endpoint.sound = now + time + pause;
    }

    // Endpoints write to the log while it is there; a leaving one may never get to it.
    fn write(&mut self) {
        if let Some((goes, back)) = self.away
            && self.log_is_away()
        {
            for endpoint in &mut self.endpoints {
                if self.now >= goes + LAPSE && back > goes + LAPSE {
                    endpoint.entry = None;
                }
            }
            return;
        }
        let back = self.away.map_or(Duration::ZERO, |(_, back)| back);
        for (number, endpoint) in self.endpoints.iter_mut().enumerate() {
            // Half of those that leave never say so in the log.
            let says = endpoint.is_leaving(self.now) && number % 2 == 0;
            let standing = if says {
                Standing::Leaving
            } else {
                Standing::Live
            };
            let late = RETURN * u32::try_from(number % 4).unwrap_or(0) / 4;
            if endpoint.entry.is_some() || self.now >= back + late {
                endpoint.entry = Some((endpoint.life, standing));
            }
        }
    }

    fn turn(&mut self) {
        let now = self.now;
        let away = self.log_is_away();
        for at in 0..self.instances.len() {
            if now >= self.instances[at].reads {
                if !away {
                    self.instances[at].read(&self.endpoints, now);
                }
                self.instances[at].reads = now + self.millis(250..500);
            }
        }
        if now.as_millis().is_multiple_of(TICK.as_millis()) {
            for instance in &mut self.instances {
                instance.tick(now);
            }
        }
    }

    fn send(&mut self) -> Result<(), String> {
        let mean = f64::from(self.size.per_second) * STEP.as_secs_f64();
        let mut left = mean;
        while left > 0.0 && self.rng.random_bool(left.min(1.0)) {
            left -= 1.0;
            self.send_one()?;
        }
        Ok(())
    }

    fn send_one(&mut self) -> Result<(), String> {
        let now = self.now;
        let at = self.rng.random_range(0..self.instances.len());
        let draw = self.rng.random();
        let Some(to) = self.instances[at].place(draw, now) else {
            return Ok(());
        };
        let id = to.endpoint.id;
        let others = self.live_elsewhere(at, id);
        if self.instances[at].under_way(id) > 1 && self.instances[at].tries(id, now) && others {
            return Err(format!(
                "{now:?}: two requests of instance {at} try {} at once",
                to.endpoint.name
            ));
        }
        let way = if self.rng.random_bool(0.02) {
            self.millis(50..250)
        } else {
            self.millis(1..5)
        };
        self.flights.push(Flight {
            instance: at,
            sent: now,
            due: now + way,
            to,
            answer: None,
        });
        Ok(())
    }

    // Whether the instance could send to another endpoint than this one without a trial.
    fn live_elsewhere(&self, at: usize, id: EndpointId) -> bool {
        self.endpoints.iter().any(|one| {
            let other = one.id_of(one.life);
            let known = one.entry == Some((one.life, Standing::Live));
            let calm = one.sound == Duration::ZERO;
            other != id && known && calm && !self.instances[at].tries(other, self.now)
        })
    }

    fn arrive(&mut self) -> Result<(), String> {
        let now = self.now;
        let (due, later): (Vec<Flight>, Vec<Flight>) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|flight| flight.due <= now);
        self.flights = later;
        for flight in due {
            match flight.answer {
                None => self.reach(flight)?,
                Some((reply, leaving)) => self.back(&flight, reply, leaving),
            }
        }
        Ok(())
    }

    // A request reaches its endpoint.
    fn reach(&mut self, mut flight: Flight) -> Result<(), String> {
        let now = self.now;
        let id = flight.to.endpoint.id;
        let name = &flight.to.endpoint.name;
        let endpoint = self.endpoints.iter().find(|one| one.name == *name);
        let endpoint = endpoint.expect("an endpoint that was listed");
        let reply = endpoint.reply(id, now);
        let leaving = endpoint.is_leaving(now);
        if reply != Reply::Misdirected {
            self.check_drain(&flight)?;
            self.check_pauses(&flight)?;
        }
        let pair = (flight.instance, id);
        match reply {
            Reply::Served => drop(self.served.insert(id, now)),
            Reply::Misdirected => {}
            Reply::Refused(pause) => {
                let pause = pause.map(|pause| Pause {
                    from: now + UNDER_WAY,
                    until: now + pause,
                    arrivals: 0,
                });
                self.pauses.entry(pair).or_default().extend(pause);
            }
        }
        let takes = if reply == Reply::Served {
            self.millis(10..60)
        } else {
            Duration::ZERO
        };
        flight.due = now + takes + self.millis(1..5);
        flight.answer = Some((reply, leaving));
        self.flights.push(flight);
        Ok(())
    }

    fn back(&mut self, flight: &Flight, reply: Reply, leaving: bool) {
        let id = flight.to.endpoint.id;
        if leaving && reply != Reply::Misdirected {
            self.told.entry((flight.instance, id)).or_insert(self.now);
        }
        self.instances[flight.instance].answered(&flight.to, reply, leaving, self.now);
    }

    fn check_drain(&self, flight: &Flight) -> Result<(), String> {
        let told = self.told.get(&(flight.instance, flight.to.endpoint.id));
        if told.is_none_or(|told| flight.sent <= *told + DRAIN) {
            return Ok(());
        }
        Err(format!(
            "{:?}: instance {} sent to {} at {:?}, and had been told at {told:?} that it leaves",
            self.now, flight.instance, flight.to.endpoint.name, flight.sent
        ))
    }

    fn check_pauses(&mut self, flight: &Flight) -> Result<(), String> {
        let now = self.now;
        let pauses = self
            .pauses
            .entry((flight.instance, flight.to.endpoint.id))
            .or_default();
        pauses.retain(|pause| now < pause.until);
        for pause in pauses.iter_mut().filter(|pause| now > pause.from) {
            pause.arrivals += 1;
            if pause.arrivals > STILL {
                return Err(format!(
                    "{now:?}: {} wanted nothing of instance {} until {:?}",
                    flight.to.endpoint.name, flight.instance, pause.until
                ));
            }
        }
        Ok(())
    }

    // An endpoint that nothing keeps from being used is used.
    fn check_use(&self) -> Result<(), String> {
        let now = self.now;
        let back = self.away.map_or(Duration::ZERO, |(_, back)| back);
        if now < back + RETURN + USED {
            return Ok(());
        }
        for one in self.endpoints.iter().filter(|one| one.leaves.is_none()) {
            let since = one.sound.max(back + RETURN);
            let served = self.served.get(&one.id_of(one.life)).copied();
            let last = served.unwrap_or_default().max(since);
            if now > last + USED {
                return Err(format!(
                    "{now:?}: {} gets nothing, and has been sound since {:?}",
                    one.name, one.sound
                ));
            }
        }
        Ok(())
    }
}
