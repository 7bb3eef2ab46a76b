//! Runs a schedule of endpoint events and checks the guarantees of instances.

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

const TIME_STEP: Duration = Duration::from_millis(5);
const SIMULATED_TIME: Duration = Duration::from_secs(12);

/// Interval at which an instance applies received notices to its roster.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after an instance learned that an endpoint leaves in which it may still send to it.
const MAX_SENDING_TO_LEAVING: Duration = Duration::from_secs(2);

/// Time in which requests in flight may still reach an endpoint that asked for a pause, and
/// the number of requests that may reach it later during the pause.
const PAUSE_GRACE: Duration = Duration::from_millis(500);
const MAX_ARRIVALS_DURING_PAUSE: usize = 2;

/// Time after its last disturbance within which an endpoint must be used by some instance.
const MAX_TIME_UNUSED: Duration = Duration::from_secs(3);

/// Time until entries expire during a log outage, and time until they are written again
/// after it.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);
const MAX_ENTRY_RETURN_TIME: Duration = Duration::from_secs(2);

/// The size of a simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) instances: usize,
    pub(crate) endpoints: u16,
    pub(crate) per_second: u32,
}

/// A part of the production behaviour that a test can disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    /// Leaving announced in responses is recorded.
    Leaving,
    /// Pauses are respected.
    Pauses,
    /// After a pause an endpoint is tried with one request at a time.
    Trials,
    /// Notices are recorded for one incarnation of an endpoint.
    Incarnations,
}

/// A request on its way to an endpoint, or its response on the way back.
#[derive(Clone, Debug)]
struct InFlightRequest {
    instance: usize,
    sent: Moment,
    due: Moment,
    to: Registration,
    // The endpoint's reply, once there is one, and whether it announced a leaving.
    response: Option<(Reply, bool)>,
}

/// A pause that an endpoint requested from an instance.
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
    in_flight: Vec<InFlightRequest>,
    // Start and end of the log outage.
    outage: Option<(Moment, Moment)>,
    // When each instance first learned that an endpoint leaves.
    leaving_known_at: BTreeMap<(usize, EndpointId), Moment>,
    pauses: BTreeMap<(usize, EndpointId), Vec<Pause>>,
    // When endpoints last served a request.
    last_served: BTreeMap<EndpointId, Moment>,
}

/// Runs a schedule.
///
/// # Errors
///
/// Returns the first violation.
pub(crate) fn run_schedule(seed: u64, size: Size, disabled: Option<Guard>) -> Result<(), String> {
    let mut world = World::new(seed, size, disabled);
    while world.now < SIMULATED_TIME {
        world.now += TIME_STEP;
        world.change_endpoints();
        world.write_entries();
        world.run_instances();
        world.send()?;
        world.deliver_due()?;
        world.check_use()?;
    }
    Ok(())
}

impl World {
    fn new(seed: u64, size: Size, disabled: Option<Guard>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Duration::from_millis(rng.random_range(500..6_000));
        let end = start + Duration::from_millis(rng.random_range(300..6_000));
        Self {
            rng,
            size,
            now: Duration::ZERO,
            endpoints: (0..size.endpoints).map(Endpoint::new).collect(),
            instances: (0..size.instances)
                .map(|_| Instance::new(disabled))
                .collect(),
            in_flight: Vec::new(),
            outage: Some((start, end)),
            leaving_known_at: BTreeMap::new(),
            pauses: BTreeMap::new(),
            last_served: BTreeMap::new(),
        }
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn log_is_unavailable(&self) -> bool {
        self.outage
            .is_some_and(|(start, end)| self.now >= start && self.now < end)
    }

    // An endpoint begins to leave or to refuse everything. One of five is left undisturbed.
    fn change_endpoints(&mut self) {
        let now = self.now;
        for endpoint in &mut self.endpoints {
            if endpoint.ends_at.is_some_and(|at| now >= at) {
                endpoint.restart(now);
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
        let (leaves, has_pause) = (self.rng.random_bool(0.3), self.rng.random_bool(0.7));
        let endpoint = &mut self.endpoints[at];
        if leaves && endpoint.leaves_at.is_none() {
            endpoint.leaves_at = Some(now);
            endpoint.ends_at = Some(now + time + pause);
        } else if !leaves {
            endpoint.refuses_until = Some((now + time, has_pause.then_some(pause)));
        }
        endpoint.usable_since = now + time + pause;
    }

    // Endpoints write to the log while it is available; a leaving endpoint may never do so.
    fn write_entries(&mut self) {
        if let Some((start, end)) = self.outage
            && self.log_is_unavailable()
        {
            for endpoint in &mut self.endpoints {
                if self.now >= start + ENTRY_LIFETIME && end > start + ENTRY_LIFETIME {
                    endpoint.entry = None;
                }
            }
            return;
        }
        let end = self.outage.map_or(Duration::ZERO, |(_, end)| end);
        for (number, endpoint) in self.endpoints.iter_mut().enumerate() {
            // Half of the leaving endpoints never say so in the log.
            let announces = endpoint.is_leaving(self.now) && number % 2 == 0;
            let standing = if announces {
                Standing::Leaving
            } else {
                Standing::Live
            };
            let return_delay = MAX_ENTRY_RETURN_TIME * u32::try_from(number % 4).unwrap_or(0) / 4;
            if endpoint.entry.is_some() || self.now >= end + return_delay {
                endpoint.entry = Some((endpoint.incarnation, standing));
            }
        }
    }

    fn run_instances(&mut self) {
        let now = self.now;
        let log_is_unavailable = self.log_is_unavailable();
        for at in 0..self.instances.len() {
            if now >= self.instances[at].next_read {
                if !log_is_unavailable {
                    self.instances[at].read(&self.endpoints, now);
                }
                self.instances[at].next_read = now + self.millis(250..500);
            }
        }
        if now.as_millis().is_multiple_of(TICK_INTERVAL.as_millis()) {
            for instance in &mut self.instances {
                instance.tick(now);
            }
        }
    }

    fn send(&mut self) -> Result<(), String> {
        let mean = f64::from(self.size.per_second) * TIME_STEP.as_secs_f64();
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
        let Some(to) = self.instances[at].place_request(draw, now) else {
            return Ok(());
        };
        let id = to.endpoint.id;
        let others = self.has_alternative(at, id);
        if self.instances[at].own_requests(id) > 1
            && self.instances[at].is_on_trial(id, now)
            && others
        {
            return Err(format!(
                "{now:?}: instance {at} tries {} with two requests at once",
                to.endpoint.name
            ));
        }
        let delay = if self.rng.random_bool(0.02) {
            self.millis(50..250)
        } else {
            self.millis(1..5)
        };
        self.in_flight.push(InFlightRequest {
            instance: at,
            sent: now,
            due: now + delay,
            to,
            response: None,
        });
        Ok(())
    }

    // Returns whether the instance could send to another endpoint without a trial.
    fn has_alternative(&self, at: usize, id: EndpointId) -> bool {
        self.endpoints.iter().any(|one| {
            let other = one.id_of(one.incarnation);
            let known = one.entry == Some((one.incarnation, Standing::Live));
            let undisturbed = one.usable_since == Duration::ZERO;
            other != id && known && undisturbed && !self.instances[at].is_on_trial(other, self.now)
        })
    }

    fn deliver_due(&mut self) -> Result<(), String> {
        let now = self.now;
        let (due, later): (Vec<InFlightRequest>, Vec<InFlightRequest>) =
            std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|request| request.due <= now);
        self.in_flight = later;
        for request in due {
            match request.response {
                None => self.deliver_request(request)?,
                Some((reply, leaving)) => self.deliver_response(&request, reply, leaving),
            }
        }
        Ok(())
    }

    // Delivers a request to its endpoint.
    fn deliver_request(&mut self, mut request: InFlightRequest) -> Result<(), String> {
        let now = self.now;
        let id = request.to.endpoint.id;
        let name = &request.to.endpoint.name;
        let endpoint = self.endpoints.iter().find(|one| one.name == *name);
        let endpoint = endpoint.expect("an endpoint that was listed");
        let reply = endpoint.reply(id, now);
        let leaving = endpoint.is_leaving(now);
        if reply != Reply::Misdirected {
            self.check_leaving(&request)?;
            self.check_pauses(&request)?;
        }
        let pair = (request.instance, id);
        match reply {
            Reply::Served => drop(self.last_served.insert(id, now)),
            Reply::Misdirected => {}
            Reply::Refused(pause) => {
                let pause = pause.map(|pause| Pause {
                    from: now + PAUSE_GRACE,
                    until: now + pause,
                    arrivals: 0,
                });
                self.pauses.entry(pair).or_default().extend(pause);
            }
        }
        let service_time = if reply == Reply::Served {
            self.millis(10..60)
        } else {
            Duration::ZERO
        };
        request.due = now + service_time + self.millis(1..5);
        request.response = Some((reply, leaving));
        self.in_flight.push(request);
        Ok(())
    }

    fn deliver_response(&mut self, request: &InFlightRequest, reply: Reply, leaving: bool) {
        let id = request.to.endpoint.id;
        if leaving && reply != Reply::Misdirected {
            self.leaving_known_at
                .entry((request.instance, id))
                .or_insert(self.now);
        }
        self.instances[request.instance].record_reply(&request.to, reply, leaving, self.now);
    }

    fn check_leaving(&self, request: &InFlightRequest) -> Result<(), String> {
        let known_at = self
            .leaving_known_at
            .get(&(request.instance, request.to.endpoint.id));
        if known_at.is_none_or(|known_at| request.sent <= *known_at + MAX_SENDING_TO_LEAVING) {
            return Ok(());
        }
        Err(format!(
            "{:?}: instance {} sent to {} at {:?}, although it knew since {known_at:?} that it leaves",
            self.now, request.instance, request.to.endpoint.name, request.sent
        ))
    }

    fn check_pauses(&mut self, request: &InFlightRequest) -> Result<(), String> {
        let now = self.now;
        let pauses = self
            .pauses
            .entry((request.instance, request.to.endpoint.id))
            .or_default();
        pauses.retain(|pause| now < pause.until);
        for pause in pauses.iter_mut().filter(|pause| now > pause.from) {
            pause.arrivals += 1;
            if pause.arrivals > MAX_ARRIVALS_DURING_PAUSE {
                return Err(format!(
                    "{now:?}: {} got too many requests of instance {} during a pause until {:?}",
                    request.to.endpoint.name, request.instance, pause.until
                ));
            }
        }
        Ok(())
    }

    // Checks that each usable endpoint is used.
    fn check_use(&self) -> Result<(), String> {
        let now = self.now;
        let end = self.outage.map_or(Duration::ZERO, |(_, end)| end);
        if now < end + MAX_ENTRY_RETURN_TIME + MAX_TIME_UNUSED {
            return Ok(());
        }
        for one in self.endpoints.iter().filter(|one| one.leaves_at.is_none()) {
            let since = one.usable_since.max(end + MAX_ENTRY_RETURN_TIME);
            let served = self.last_served.get(&one.id_of(one.incarnation)).copied();
            let last = served.unwrap_or_default().max(since);
            if now > last + MAX_TIME_UNUSED {
                return Err(format!(
                    "{now:?}: {} gets no requests, although it is usable since {:?}",
                    one.name, one.usable_since
                ));
            }
        }
        Ok(())
    }
}
