//! Keeps instances from crashing fragile endpoints with requests that these refuse.
//!
//! A fragile endpoint states in its responses that it crashes if it has to refuse more than
//! some number of requests in a second. That number counts the requests of all instances,
//! and none sees what the others are refused. So a request is sent to a fragile endpoint
//! only if it has a free slot by all that is known of its load, and if it would have one
//! although all other instances send as much as this one.
//!
//! A request of which that isn't known may be refused. Of a fifth of the refusals that the
//! endpoint withstands, each instance may cause its share: it sends such requests until as
//! many are refused. All others wait for a slot at the instance, or are refused there.
//!
//! What an endpoint states counts for its service as well, since most instances of a large
//! fleet rarely hear from most endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::hash;
use godwitpost_types::id::{EndpointId, ServiceId};

use crate::place::Room;
use crate::policy::Ramp;
use crate::ramp::Shares;
use crate::stats::LoadEstimate;

/// How long a statement counts without another one.
const STATEMENT_LIFETIME: Duration = Duration::from_secs(30);

/// How long a refusal, or a report that an endpoint is full, may explain its crash.
const OVERLOAD_LIFETIME: Duration = Duration::from_secs(3);

/// The fraction of the refusals that an endpoint withstands that is sent to it knowingly.
/// [`Shares`] allocates half of its rate. The rest is for requests that are refused although
/// a slot was expected to be free.
const KNOWN_RISK_FRACTION: f64 = 0.4;

/// The fraction of the refusals that an endpoint withstands that may come from requests for
/// which a slot was expected to be free.
const UNKNOWN_RISK_FRACTION: f64 = 0.25;

/// The most standard deviations by which the load of an endpoint with a free slot has to be
/// below its slots.
const MAX_MARGIN_DEVIATIONS: f64 = 5.0;

/// By how many times the requests of other instances may grow between two reports: 1.6 times
/// as many callers while half of the endpoints are gone, and some more.
const SURGE_FACTOR: f64 = 5.0;

/// The fraction of a load that has to be known to rely on its estimate.
const MIN_KNOWN_FRACTION: f64 = 0.1;

/// The fraction of the slots that is shared among the instances if nothing is known of their
/// use. Shares are drawn, and all together vary by the root of the slots.
const SHARED_SLOTS_FRACTION: f64 = 0.85;

/// The number of instances that is assumed if it is unknown: the order of the largest
/// fleets.
const DEFAULT_INSTANCES: f64 = 256.0;

/// How long after a refusal a service doesn't count as sound: twice the second in which
/// refusals count towards what an endpoint withstands.
const REFUSAL_MEMORY: Duration = Duration::from_secs(2);

/// The number of values of a 32-bit half of a draw.
const HALF_DRAW_VALUES: f64 = 4_294_967_296.0;

/// How many refusals in a second an endpoint withstands.
pub type MaxRefusals = u32;

/// The largest number that an endpoint may state: more than any gets in a second.
pub const MAX_REFUSALS: MaxRefusals = 100_000;

/// What an endpoint, or any endpoint of a service, stated last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Statement {
    /// `None` if it doesn't say that it is fragile.
    max_refusals: Option<MaxRefusals>,
    at: Moment,
}

/// A change of what is known of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Its endpoints state that they are fragile, or another number than before.
    Fragile(MaxRefusals),
    /// They no longer state it.
    Sound,
}

/// The instances of a fleet, and this one's part of its requests.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// The number of instances, if it is known.
    pub instances: Option<u32>,
    /// This instance's part of the requests at the service's endpoints, 0 to 1.
    pub own_fraction: f64,
}

/// Which endpoints are fragile, and what this instance may send them.
#[derive(Debug)]
pub struct Fragility {
    // Makes this instance's draws differ from those of others.
    seed: u64,
    services: BTreeMap<ServiceId, Statement>,
    // Services whose endpoints responded, and never stated that they are fragile.
    sound: BTreeSet<ServiceId>,
    // When an endpoint of a service last refused a request for lack of room.
    refusals: BTreeMap<ServiceId, Moment>,
    endpoints: BTreeMap<EndpointId, Statement>,
    // When they last refused a request or reported that they are full.
    overloads: BTreeMap<EndpointId, Moment>,
    shares: Shares,
    // The services of which an invalid statement was logged.
    logged_invalid: BTreeSet<ServiceId>,
}

impl Fleet {
    /// Returns a fleet of so many instances, of which this one has `own` of `all` requests.
    #[must_use]
    pub fn new(instances: Option<u32>, own: f64, all: f64) -> Self {
        Self {
            instances,
            own_fraction: own / all.max(1.0),
        }
    }

    fn equal_fraction(self) -> f64 {
        1.0 / self.instances.map_or(DEFAULT_INSTANCES, f64::from).max(1.0)
    }

    // Returns the part of an endpoint's free slots that is this instance's: an instance with
    // few requests may get as many as the others at any moment.
    fn fraction(self) -> f64 {
        self.own_fraction.max(self.equal_fraction()).min(1.0)
    }
}

impl Fragility {
    /// Returns the state of an instance that has heard of no fragile endpoint. `seed` makes
    /// its draws its own.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            seed,
            services: BTreeMap::new(),
            sound: BTreeSet::new(),
            refusals: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            overloads: BTreeMap::new(),
            shares: Shares::new(seed),
            logged_invalid: BTreeSet::new(),
        }
    }

    /// Records what an endpoint stated in a response. Returns what changed for its service.
    pub fn record_statement(
        &mut self,
        service: ServiceId,
        endpoint: EndpointId,
        max_refusals: Option<MaxRefusals>,
        now: Moment,
    ) -> Option<Change> {
        let before = self.services.get(&service).copied();
        if max_refusals.is_none() && before.is_none() {
            self.sound.insert(service);
            return None;
        }
        self.sound.remove(&service);
        let statement = Statement {
            max_refusals,
            at: now,
        };
        self.services.insert(service, statement);
        self.endpoints.insert(endpoint, statement);
        let stated_before = before.and_then(|before| before.max_refusals);
        match max_refusals {
            Some(most) if stated_before != Some(most) => Some(Change::Fragile(most)),
            None if stated_before.is_some() => Some(Change::Sound),
            _ => None,
        }
    }

    /// Records that an endpoint of a service refused a request for lack of room.
    pub fn record_refusal(&mut self, service: ServiceId, now: Moment) {
        self.refusals.insert(service, now);
    }

    /// Returns whether endpoints of a service have responded, none stated that they are
    /// fragile and none refused within `REFUSAL_MEMORY`.
    ///
    /// An instance that has just started has no response yet. Refusals count because an endpoint
    /// that becomes fragile counts those of the last second too.
    #[must_use]
    pub fn is_sound(&self, service: ServiceId, now: Moment) -> bool {
        let refused_at = self.refusals.get(&service);
        let has_refused = refused_at.is_some_and(|at| since(now, *at) < REFUSAL_MEMORY);
        self.sound.contains(&service) && !has_refused
    }

    /// Records that an endpoint stated something that is no usable number; returns whether
    /// that is the first time for its service.
    pub fn record_invalid_statement(&mut self, service: ServiceId) -> bool {
        self.logged_invalid.insert(service)
    }

    /// Records that an endpoint refused a request for lack of room, or reported that all its
    /// slots are taken.
    pub fn record_overload(&mut self, endpoint: EndpointId, now: Moment) {
        self.overloads.insert(endpoint, now);
    }

    /// Returns whether a crash of an endpoint may be due to its load, and not to a request.
    #[must_use]
    pub fn may_crash_of_load(&self, service: ServiceId, endpoint: EndpointId, now: Moment) -> bool {
        let overloaded = self.overloads.get(&endpoint);
        self.max_refusals(service, endpoint, now).is_some()
            && overloaded.is_some_and(|at| since(now, *at) < OVERLOAD_LIFETIME)
    }

    /// Returns how many refusals in a second an endpoint withstands, if it is fragile.
    #[must_use]
    pub fn max_refusals(
        &self,
        service: ServiceId,
        endpoint: EndpointId,
        now: Moment,
    ) -> Option<MaxRefusals> {
        let counts = |one: &&Statement| since(now, one.at) < STATEMENT_LIFETIME;
        let of_service = self.services.get(&service).filter(counts)?;
        match self.endpoints.get(&endpoint).filter(counts) {
            Some(own) if own.max_refusals.is_some() || own.at >= of_service.at => own.max_refusals,
            _ => of_service.max_refusals,
        }
    }

    /// Returns whether a fragile endpoint has room for a request.
    #[must_use]
    pub fn room(
        &self,
        endpoint: EndpointId,
        max_refusals: MaxRefusals,
        slots: u32,
        estimate: &LoadEstimate,
        fleet: Fleet,
        now: Moment,
    ) -> Room {
        let rate = known_risk_rate(max_refusals);
        if self.has_free_slot(endpoint, max_refusals, slots, estimate, fleet, now) {
            Room::Free
        } else if self.shares.has_share(endpoint, rate, fleet.instances, now) {
            Room::Unsure
        } else {
            Room::None
        }
    }

    /// Takes one request from this instance's share of those that a fragile endpoint may
    /// refuse; returns false if none is left.
    pub fn try_take(
        &mut self,
        endpoint: EndpointId,
        max_refusals: MaxRefusals,
        instances: Option<u32>,
        now: Moment,
    ) -> bool {
        let rate = known_risk_rate(max_refusals);
        self.shares.try_take(endpoint, rate, instances, now)
    }

    /// Records that an endpoint ran a request that it might have refused. This instance may
    /// send it another one in its place.
    pub fn give_back(&mut self, endpoint: EndpointId, now: Moment) {
        self.shares.give_back(endpoint, now);
    }

    /// Drops endpoints that are gone.
    pub fn retain_endpoints(&mut self, known: impl Fn(EndpointId) -> bool) {
        self.endpoints.retain(|endpoint, _| known(*endpoint));
        self.overloads.retain(|endpoint, _| known(*endpoint));
    }

    // Returns whether an endpoint has a free slot by all that is known of its load.
    fn has_free_slot(
        &self,
        endpoint: EndpointId,
        max_refusals: MaxRefusals,
        slots: u32,
        estimate: &LoadEstimate,
        fleet: Fleet,
        now: Moment,
    ) -> bool {
        let slots = f64::from(slots);
        let own = f64::from(estimate.own_requests);
        if estimate.known < MIN_KNOWN_FRACTION {
            let share = slots * SHARED_SLOTS_FRACTION * fleet.equal_fraction();
            return own < (share + self.draw(endpoint, 0)).floor();
        }
        let margin = margin_deviations(max_refusals, estimate) * estimate.std_dev;
        let others = estimate.load - own;
        if own + others * SURGE_FACTOR + margin + 1.0 <= slots {
            return true;
        }
        let sent = f64::from(estimate.sent_since_report);
        let free_at_report = slots - estimate.remaining - (own - sent).max(0.0);
        let share = free_at_report * fleet.fraction() + self.draw(endpoint, now.as_secs());
        estimate.load + margin + 1.0 <= slots && sent + 1.0 <= share
    }

    // Returns a number between 0 and 1 that differs between instances.
    fn draw(&self, endpoint: EndpointId, salt: u64) -> f64 {
        let bits = hash::score(hash::score(self.seed, salt), endpoint);
        let half = u32::try_from(bits & u64::from(u32::MAX)).unwrap_or(0);
        f64::from(half) / HALF_DRAW_VALUES
    }
}

// Returns by how many standard deviations a load has to be below the slots, so that no more
// requests are refused than the endpoint withstands. A normal deviate exceeds `z` with a
// probability of less than `exp(-z²/2) / 2`.
fn margin_deviations(max_refusals: MaxRefusals, estimate: &LoadEstimate) -> f64 {
    let requests_per_second = estimate.load / estimate.duration_seconds;
    let most = f64::from(max_refusals) * UNKNOWN_RISK_FRACTION / requests_per_second;
    let squared = -2.0 * (2.0 * most).min(1.0).ln();
    squared.sqrt().min(MAX_MARGIN_DEVIATIONS)
}

// Returns the rate of which shares are allocated to the instances.
fn known_risk_rate(max_refusals: MaxRefusals) -> Ramp {
    let per_second = f64::from(max_refusals.max(1)) * KNOWN_RISK_FRACTION;
    Ramp {
        time: Duration::MAX,
        spacing: Duration::from_secs_f64(1.0 / per_second),
    }
}

#[cfg(test)]
mod tests;
