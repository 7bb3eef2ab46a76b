//! What this instance knows of each endpoint's load and health.
//!
//! Its own requests are counted exactly. What other instances have there shows
//! in the endpoint's answers, which name what it runs and holds: the reported
//! figure less the own requests at that time is theirs. What is made of reports as
//! they get old is in `belief`; what is not known of an endpoint is taken to be as
//! with those of its service that are. With hundreds of instances most of it is not
//! known, and taken for nothing it made every endpoint that had just answered look
//! overloaded.
//!
//! What one instance hears it passes on through those that are asked for the
//! log, so that an instance of many knows of endpoints that it rarely sends to.

mod belief;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use godwitpost_decide::health::{Access, Event, Machine};
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::hash;
use godwitpost_types::id::{EndpointId, ServiceId};
use serde::{Deserialize, Serialize};

use self::belief::{DurationStats, ReportHistory, WeightedMean};
use crate::dialect::Part;
use crate::place::Affinity;

/// Until when a report that an endpoint is full counts whole. An answer comes from
/// each about every 0.7 s where six instances share 80 requests a second.
const FULL_WEIGHT_AGE: Duration = Duration::from_secs(1);

/// When it no longer counts. Most requests last less than 3 s, so hardly any of
/// those that it speaks of is left by then.
const ZERO_WEIGHT_AGE: Duration = Duration::from_secs(4);

/// The weight of a prompt in the usual length of its service's. An instance of
/// many has some ten prompts a second, so the mean is over about ten seconds.
const LENGTH_SMOOTHING: f64 = 0.01;

/// The time in which a request for a part counts as lately. In a fleet of eighty
/// one for an ordinary part comes to the same instance every four minutes, and
/// for one in sudden demand every half second.
const DEMAND_DECAY: Duration = Duration::from_secs(1);

/// Parts that are counted before those not asked for lately are forgotten.
const MAX_TRACKED_PARTS: usize = 2_000;

/// The age up to which a load is passed on: what is older counts for little
/// when it arrives.
const MAX_SHARED_LOAD_AGE: Duration = Duration::from_secs(2);

/// Loads that are passed on at most, about 15 bytes each.
const MAX_SHARED_LOADS: usize = 512;

/// What an endpoint said of its load in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// What is known of all endpoints.
#[derive(Debug, Default)]
pub struct EndpointStats {
    entries: BTreeMap<EndpointId, Entry>,
    // The usual length of prompts' shared prefixes, by service.
    mean_lengths: BTreeMap<ServiceId, f64>,
    // Requests for parts of prompts.
    demands: BTreeMap<u64, Demand>,
    // Loads that endpoints told this instance and that it has not passed on.
    new_loads: BTreeMap<EndpointId, (u32, Moment)>,
}

/// An endpoint's load as one instance passes it on to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Requests that it runs or holds.
    #[serde(rename = "all")]
    pub requests: u32,
    /// How long ago it said so.
    pub age: Duration,
}

// Requests for a part, each counting less with its age.
#[derive(Clone, Copy, Debug)]
struct Demand {
    count: f64,
    at: Moment,
}

/// When an endpoint last gave a sign of life, on any connection to it.
///
/// Shared with whoever reads its answers, so that each event of a stream counts
/// without a lock.
#[derive(Clone, Debug, Default)]
pub struct Liveness(Arc<AtomicU64>);

impl Liveness {
    /// Notes a sign of life.
    pub fn record(&self, now: Moment) {
        let nanos = u64::try_from(now.as_nanos()).unwrap_or(u64::MAX);
        self.0.store(nanos, Ordering::Relaxed);
    }

    /// Returns whether there was one after this moment.
    #[must_use]
    pub fn alive_since(&self, then: Moment) -> bool {
        Duration::from_nanos(self.0.load(Ordering::Relaxed)) > then
    }
}

struct Entry {
    own: u32,
    liveness: Liveness,
    reports: ReportHistory,
    durations: DurationStats,
    health: Machine,
}

impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Entry")
            .field("own", &self.own)
            .field("liveness", &self.liveness)
            .field("reports", &self.reports)
            .field("durations", &self.durations)
            .field("health", &self.health)
            .finish()
    }
}

impl Entry {
    fn new() -> Self {
        Self {
            own: 0,
            liveness: Liveness::default(),
            reports: ReportHistory::default(),
            durations: DurationStats::default(),
            // Each life of an endpoint has an id, and so an entry, of its own.
            health: Machine::new(0),
        }
    }

    // The load that was seen here and may still be.
    fn observed_load(&self, now: Moment) -> f64 {
        f64::from(self.own) + f64::from(self.reports.last_others()) * self.report_weight(now)
    }

    // What the last report still counts.
    fn report_weight(&self, now: Moment) -> f64 {
        self.reports
            .last_at()
            .map_or(0.0, |at| report_weight(since(now, at)))
    }
}

/// What is believed of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// Requests that it runs or holds.
    pub load: f64,
    /// How far that may be off, as a standard deviation.
    pub std_dev: f64,
    /// This instance's own requests among them.
    pub own_requests: u32,
    /// The load that was last seen there, and not taken from others.
    pub observed_load: f64,
    /// How much of the load is known rather than taken from others, 0 to 1.
    pub known: f64,
    /// What it may get by what was seen of it.
    pub access: Access,
}

// One while fresh, falling to zero when stale.
fn report_weight(age: Duration) -> f64 {
    let left = ZERO_WEIGHT_AGE.saturating_sub(age);
    (left.as_secs_f64()
        / ZERO_WEIGHT_AGE
            .saturating_sub(FULL_WEIGHT_AGE)
            .as_secs_f64())
    .min(1.0)
}

impl EndpointStats {
    /// Counts a request that is sent to an endpoint; returns where its signs of
    /// life are noted.
    pub fn start_request(&mut self, endpoint: EndpointId) -> Liveness {
        let entry = self.entry(endpoint);
        entry.own += 1;
        entry.liveness.clone()
    }

    /// Counts a request that has ended there, this long after it was sent.
    pub fn end_request(&mut self, endpoint: EndpointId, duration: Duration) {
        if let Some(entry) = self.entries.get_mut(&endpoint) {
            entry.own = entry.own.saturating_sub(1);
            entry.durations.add(duration);
        }
    }

    /// Takes in what an endpoint says of its load.
    pub fn record_report(&mut self, endpoint: EndpointId, report: Report, now: Moment) {
        let entry = self.entry(endpoint);
        let all = report.running.saturating_add(report.waiting);
        entry.reports.add(all.saturating_sub(entry.own), now);
        self.new_loads.insert(endpoint, (all, now));
    }

    /// Takes in a load that another instance was told at `at`.
    pub fn record_peer_load(&mut self, endpoint: EndpointId, all: u32, at: Moment) {
        let entry = self.entry(endpoint);
        if entry.reports.last_at() < Some(at) {
            entry.reports.add(all.saturating_sub(entry.own), at);
        }
    }

    /// Takes in that nothing was sent to an endpoint lately, by anybody: it has no more
    /// than what is left of what was seen there, and not what is usual elsewhere.
    pub fn set_idle(&mut self, endpoint: EndpointId, now: Moment) {
        let entry = self.entry(endpoint);
        let left = entry.reports.decayed_others(entry.report_weight(now));
        entry.reports = ReportHistory::default();
        entry.reports.add(left, now);
    }

    /// Returns the loads that were heard since this was last asked.
    pub fn take_new_loads(&mut self, now: Moment) -> Vec<Load> {
        std::mem::take(&mut self.new_loads)
            .into_iter()
            .map(|(endpoint, (all, at))| Load {
                endpoint,
                requests: all,
                age: since(now, at),
            })
            .collect()
    }

    /// Returns the loads that are known from lately, no more than are worth their
    /// bytes; `draw` decides which.
    ///
    /// They are not chosen by their size: whoever is told the greatest alone takes the
    /// rest to be like them, believes in too great a mean, and lets prompts stay at
    /// homes that are above the true bound.
    #[must_use]
    pub fn recent_loads(&self, now: Moment, selection_seed: u64) -> Vec<Load> {
        let mut loads: Vec<Load> = self
            .entries
            .iter()
            .filter_map(|(endpoint, entry)| {
                let age = since(now, entry.reports.last_at()?);
                let all = entry.reports.last_others().saturating_add(entry.own);
                (age < MAX_SHARED_LOAD_AGE).then_some(Load {
                    endpoint: *endpoint,
                    requests: all,
                    age,
                })
            })
            .collect();
        if loads.len() > MAX_SHARED_LOADS {
            loads.sort_by_key(|load| hash::score(selection_seed, load.endpoint));
            loads.truncate(MAX_SHARED_LOADS);
        }
        loads
    }

    /// Takes in what was seen of an endpoint's health.
    pub fn record_health_event(&mut self, endpoint: EndpointId, event: Event) {
        self.entry(endpoint).health.handle(event);
    }

    /// Takes in that an endpoint can't be reached. One refused connection says
    /// as much as two broken ones, so it closes the endpoint by itself.
    pub fn record_unreachable(&mut self, endpoint: EndpointId, now: Moment) {
        self.record_health_event(endpoint, Event::Failure(now));
        self.record_health_event(endpoint, Event::Failure(now));
    }

    /// Lets time pass for the endpoints that are held to be down.
    pub fn tick(&mut self, now: Moment) {
        for entry in self.entries.values_mut() {
            entry.health.handle(Event::Tick(now));
        }
    }

    /// Returns what is believed of the endpoints of one service, in order.
    #[must_use]
    pub fn estimate(&self, endpoints: &[EndpointId], now: Moment) -> Vec<LoadEstimate> {
        // Looked up once each: of thousands, most of the time goes into that.
        let entries: Vec<Option<&Entry>> =
            endpoints.iter().map(|id| self.entries.get(id)).collect();
        let known = || entries.iter().copied().flatten();
        let usual: WeightedMean = known().map(|entry| entry.reports.decayed_mean(now)).sum();
        let mean = usual.mean();
        let duration_seconds = belief::mean_duration(known().map(|entry| entry.durations));
        let estimate_load =
            |entry: Option<&Entry>| estimate_load(entry, mean, duration_seconds, now);
        entries.into_iter().map(estimate_load).collect()
    }

    /// Takes in a prompt's shared prefix; returns what its placement goes by.
    ///
    /// `all` is what the service's endpoints run and hold for all instances, and
    /// `own` the part of it that is this one's.
    pub fn record_prompt(
        &mut self,
        service: ServiceId,
        part: Part,
        (own, all): (f64, f64),
        now: Moment,
    ) -> Affinity {
        let tokens = f64::from(part.tokens);
        let usual = self.mean_lengths.entry(service).or_insert(tokens);
        *usual += (tokens - *usual) * LENGTH_SMOOTHING;
        let usual = *usual;
        let recent = self.count_demand(part.id, now);
        let others = (all / own.max(1.0)).max(1.0);
        Affinity::new(part, usual, recent, others)
    }

    // Counts a request for a part; returns how many came lately before it.
    fn count_demand(&mut self, part: u64, now: Moment) -> f64 {
        if self.demands.len() >= MAX_TRACKED_PARTS {
            self.demands
                .retain(|_, demand| since(now, demand.at) < DEMAND_DECAY);
        }
        let demand = self.demands.entry(part).or_insert(Demand {
            count: 0.0,
            at: now,
        });
        let age = since(now, demand.at).as_secs_f64() / DEMAND_DECAY.as_secs_f64();
        let before = demand.count * (-age).exp();
        *demand = Demand {
            count: before + 1.0,
            at: now,
        };
        before
    }

    /// Returns what an endpoint may get by what was seen of it.
    #[must_use]
    pub fn access(&self, endpoint: EndpointId) -> Access {
        let entry = self.entries.get(&endpoint);
        entry.map_or(Access::Full, |entry| entry.health.access())
    }

    /// Returns how many of this instance's requests an endpoint has.
    #[must_use]
    pub fn own_requests(&self, endpoint: EndpointId) -> u32 {
        self.entries.get(&endpoint).map_or(0, |entry| entry.own)
    }

    /// Forgets endpoints that are gone, once none of our requests is there.
    pub fn retain_endpoints(&mut self, known: impl Fn(EndpointId) -> bool) {
        self.entries
            .retain(|endpoint, entry| entry.own > 0 || known(*endpoint));
        self.new_loads.retain(|endpoint, _| known(*endpoint));
    }

    fn entry(&mut self, endpoint: EndpointId) -> &mut Entry {
        self.entries.entry(endpoint).or_insert_with(Entry::new)
    }
}

// What is believed of an endpoint; others have `mean` requests each on those
// that are known, and requests last this many seconds.
fn estimate_load(
    entry: Option<&Entry>,
    mean: f64,
    duration_seconds: f64,
    now: Moment,
) -> LoadEstimate {
    let unknown = ReportHistory::default();
    let reports = entry.map_or(&unknown, |entry| &entry.reports);
    let belief = reports.estimate(mean, duration_seconds, now);
    let own = entry.map_or(0, |entry| entry.own);
    LoadEstimate {
        load: f64::from(own) + belief.others,
        std_dev: belief.std_dev,
        own_requests: own,
        observed_load: entry.map_or(0.0, |entry| entry.observed_load(now)),
        known: belief.known,
        access: entry.map_or(Access::Full, |entry| entry.health.access()),
    }
}

#[cfg(test)]
mod tests;
