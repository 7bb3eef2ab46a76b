//! Load and health of each endpoint as known to this instance.
//!
//! The instance's own requests are counted exactly. The requests of other instances
//! follow from the reports in the endpoint's responses, which name what it runs and has
//! queued: the reported number less the own requests at that time. How reports age is the
//! subject of `belief`. An endpoint without reports is assumed to be like those of its
//! service that have some. With hundreds of instances most endpoints have none, and when
//! those counted as idle, every endpoint that had just responded looked overloaded.
//!
//! Instances forward the reports they receive through the instances that peers poll, so
//! that each of many instances knows the load of endpoints that it rarely sends to.

mod belief;
mod observation;
mod sample;
mod silence;
mod turns;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use godwitpost_decide::health::{Access, Event, Machine};
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{EndpointId, ServiceId};
use serde::{Deserialize, Serialize};

use self::belief::{DurationStats, ReportHistory, WeightedMean};
pub use self::observation::Observation;
pub use self::sample::LoadSample;
pub use self::silence::SILENCE_TOLD_INTERVAL;
use self::silence::{HeadTimes, Silence};
use self::turns::Turns;
use crate::dialect::Part;
use crate::place::Affinity;

/// Up to this age, the last report counts in full towards the observed load. Each
/// endpoint responds about every 0.7 s where six instances share 80 requests a second.
const FULL_WEIGHT_AGE: Duration = Duration::from_secs(1);

/// From this age on, the last report doesn't count. Most requests last less than 3 s, so
/// hardly any of those reported is left by then.
const ZERO_WEIGHT_AGE: Duration = Duration::from_secs(4);

/// The weight of a new prompt in the mean length of a service's prompts. One of many
/// instances gets some ten prompts a second, so the mean covers about ten seconds.
const LENGTH_SMOOTHING: f64 = 0.01;

/// The time in which the weight of a past request for a prompt part falls to 1/e. In a
/// fleet of eighty, an instance gets a request for an ordinary part every four minutes,
/// and one for a part in sudden demand every half second.
const DEMAND_DECAY: Duration = Duration::from_secs(1);

/// How many parts are counted before those without recent requests are dropped.
const MAX_TRACKED_PARTS: usize = 2_000;

/// Loads older than this are not sent to peers, since they count for little when they
/// arrive.
const MAX_SHARED_LOAD_AGE: Duration = Duration::from_secs(2);

/// The load that an endpoint reported in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests that the endpoint runs.
    pub running: u32,
    /// Requests that wait at the endpoint.
    pub waiting: u32,
    /// How many requests the endpoint runs at once.
    pub slots: u32,
}

/// Load and health of all endpoints.
#[derive(Debug, Default)]
pub struct EndpointStats {
    entries: BTreeMap<EndpointId, Entry>,
    // The mean length of prompts' shared prefixes, by service.
    mean_lengths: BTreeMap<ServiceId, f64>,
    // The demand for prompt parts.
    demands: BTreeMap<u64, Demand>,
    // How long endpoints take to begin responses, by service.
    head_times: BTreeMap<ServiceId, HeadTimes>,
    // Reported loads that were not sent to a peer yet.
    new_loads: BTreeMap<EndpointId, (u32, Moment)>,
}

/// An endpoint's load as sent between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The endpoint's id.
    pub endpoint: EndpointId,
    /// Requests that the endpoint runs or has queued.
    #[serde(rename = "all")]
    pub requests: u32,
    /// The age of the report.
    pub age: Duration,
}

/// News of an endpoint near the load bound, as sent between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overload {
    /// The endpoint's id.
    pub endpoint: EndpointId,
    /// Requests that the endpoint runs or has queued; `None` if that isn't known since it begins
    /// no responses.
    #[serde(rename = "all")]
    pub requests: Option<u32>,
    /// The time since it reported them, or was found to be silent.
    pub age: Duration,
}

// The number of requests for a part, decayed by their age.
#[derive(Clone, Copy, Debug)]
struct Demand {
    count: f64,
    at: Moment,
}

/// When an endpoint last sent data, on any connection to it.
///
/// Shared with the readers of its responses, so that each event of a stream counts
/// without taking a lock.
#[derive(Clone, Debug, Default)]
pub struct Liveness(Arc<AtomicU64>);

impl Liveness {
    /// Records that the endpoint sent data.
    pub fn record(&self, now: Moment) {
        let nanos = u64::try_from(now.as_nanos()).unwrap_or(u64::MAX);
        self.0.store(nanos, Ordering::Relaxed);
    }

    /// Returns whether the endpoint sent data after this moment.
    #[must_use]
    pub fn alive_since(&self, time: Moment) -> bool {
        Duration::from_nanos(self.0.load(Ordering::Relaxed)) > time
    }
}

struct Entry {
    own: u32,
    // Own requests that were sent since the last report.
    sent_since_report: u32,
    liveness: Liveness,
    reports: ReportHistory,
    silence: Silence,
    turns: Turns,
    durations: DurationStats,
    health: Machine,
}

impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Entry")
            .field("own", &self.own)
            .field("sent_since_report", &self.sent_since_report)
            .field("liveness", &self.liveness)
            .field("reports", &self.reports)
            .field("silence", &self.silence)
            .field("turns", &self.turns)
            .field("durations", &self.durations)
            .field("health", &self.health)
            .finish()
    }
}

impl Entry {
    fn new() -> Self {
        Self {
            own: 0,
            sent_since_report: 0,
            liveness: Liveness::default(),
            reports: ReportHistory::default(),
            silence: Silence::default(),
            turns: Turns::default(),
            durations: DurationStats::default(),
            // Each incarnation of an endpoint has its own id, and so its own entry.
            health: Machine::new(0),
        }
    }

    // Returns what the endpoint may get after the event if that changed.
    fn handle_health_event(&mut self, event: Event) -> Option<Access> {
        let before = self.health.access();
        self.health.handle(event);
        let after = self.health.access();
        (after != before).then_some(after)
    }

    // Returns the own requests and what is left of the last report.
    fn observed_load(&self, now: Moment) -> f64 {
        f64::from(self.own) + f64::from(self.reports.last_others()) * self.report_weight(now)
    }

    // Returns the weight of the last report at `now`.
    fn report_weight(&self, now: Moment) -> f64 {
        self.reports
            .last_at()
            .map_or(0.0, |at| report_weight(since(now, at)))
    }
}

/// The estimated load of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// Requests that it runs or has queued.
    pub load: f64,
    /// The standard deviation of the estimate.
    pub std_dev: f64,
    /// This instance's own requests among them.
    pub own_requests: u32,
    /// The load by the endpoint's own last report, without the mean of other endpoints.
    pub observed_load: f64,
    /// How much of the estimate is based on the endpoint's own reports rather than on
    /// other endpoints, 0 to 1.
    pub known: f64,
    /// The age of the endpoint's last report, if there is one.
    pub report_age: Option<Duration>,
    /// Whether it was found to begin no responses since.
    pub is_silent: bool,
    /// How many more requests than `load` an endpoint that is used again may have got from
    /// instances that believe it to be idle.
    pub filling: f64,
    /// How many requests of other instances are expected to have arrived since the last
    /// report; infinite if there is none.
    pub arrivals: f64,
    /// This instance's requests sent there since the last report.
    pub sent_since_report: u32,
    /// How many of the other instances' requests in the last report are expected to be
    /// left.
    pub remaining: f64,
    /// How long requests of the service stay at an endpoint on average, in seconds.
    pub duration_seconds: f64,
    /// Which requests the endpoint may get, given its health.
    pub access: Access,
}

impl LoadEstimate {
    /// Returns the part of the load that is known: this instance's own requests, and what
    /// the endpoint's own reports say of the others.
    ///
    /// `is_sound` tells whether the service's endpoints are known to withstand refusals.
    /// Otherwise the last report counts for longer, until `ZERO_WEIGHT_AGE`, as sending too little
    /// costs less than a crash.
    #[must_use]
    pub fn known_load(&self, is_sound: bool) -> f64 {
        if !is_sound {
            return self.observed_load;
        }
        let own = f64::from(self.own_requests);
        own + (self.load - own) * self.known
    }

    /// Returns how many requests of other instances are expected to have arrived since the last
    /// report, of which this instance has to take account.
    ///
    /// `is_sound` tells whether the service's endpoints are known to withstand refusals. Others
    /// get from each instance only what its share of their room allows.
    #[must_use]
    pub const fn unseen_arrivals(&self, is_sound: bool) -> f64 {
        if is_sound { self.arrivals } else { 0.0 }
    }
}

// Returns the weight of a report of this age: one at first, then falling linearly to
// zero.
fn report_weight(age: Duration) -> f64 {
    let left = ZERO_WEIGHT_AGE.saturating_sub(age);
    (left.as_secs_f64()
        / ZERO_WEIGHT_AGE
            .saturating_sub(FULL_WEIGHT_AGE)
            .as_secs_f64())
    .min(1.0)
}

impl EndpointStats {
    /// Counts a request that is sent to an endpoint; returns the record of when the
    /// endpoint last sent data.
    pub fn start_request(&mut self, endpoint: EndpointId) -> Liveness {
        let entry = self.entry(endpoint);
        entry.own += 1;
        entry.sent_since_report = entry.sent_since_report.saturating_add(1);
        entry.liveness.clone()
    }

    /// Returns the record of when an endpoint last sent data.
    pub fn liveness(&mut self, endpoint: EndpointId) -> Liveness {
        self.entry(endpoint).liveness.clone()
    }

    /// Counts a request as ended, `duration` after it was sent.
    pub fn end_request(&mut self, endpoint: EndpointId, duration: Duration) {
        if let Some(entry) = self.entries.get_mut(&endpoint) {
            entry.own = entry.own.saturating_sub(1);
            entry.durations.add(duration);
        }
    }

    /// Records a load report from an endpoint.
    pub fn record_report(&mut self, endpoint: EndpointId, report: Report, now: Moment) {
        let entry = self.entry(endpoint);
        let requests = report.running.saturating_add(report.waiting);
        entry.sent_since_report = 0;
        entry.reports.add(requests.saturating_sub(entry.own), now);
        self.new_loads.insert(endpoint, (requests, now));
    }

    /// Records a load that an endpoint reported to another instance at `at`.
    pub fn record_peer_load(&mut self, endpoint: EndpointId, requests: u32, at: Moment) {
        let entry = self.entry(endpoint);
        if entry.reports.last_at() < Some(at) {
            entry.sent_since_report = 0;
            entry.reports.add(requests.saturating_sub(entry.own), at);
        }
    }

    /// Records that an endpoint near the load bound reported this load to another instance
    /// at `at`. Returns whether it is newer than the last report known here.
    pub fn record_overload(&mut self, endpoint: EndpointId, requests: u32, at: Moment) -> bool {
        let entry = self.entry(endpoint);
        let is_newer = entry.reports.last_at() < Some(at);
        if is_newer {
            entry.sent_since_report = 0;
            entry
                .reports
                .set_last(requests.saturating_sub(entry.own), at);
        }
        is_newer
    }

    /// Records that an endpoint was found at `at` to begin no responses. Returns whether that is
    /// news here.
    pub fn record_silence(&mut self, endpoint: EndpointId, at: Moment) -> bool {
        let entry = self.entry(endpoint);
        let reported_since = entry.reports.last_at() >= Some(at);
        !reported_since && entry.silence.record(at)
    }

    /// Records that a request sent at `sent_at` still waits for its response at `now`. Returns
    /// whether the endpoint is now found to be silent, and others don't know.
    pub fn record_late_head(&mut self, endpoint: EndpointId, sent_at: Moment, now: Moment) -> bool {
        let last_at = self.entry(endpoint).reports.last_at();
        // A response that began since shows that only this request waits.
        last_at < Some(sent_at) && self.record_silence(endpoint, now)
    }

    /// Records how long an endpoint of a service took to begin a response.
    pub fn record_head_time(&mut self, service: ServiceId, time: Duration) {
        self.head_times.entry(service).or_default().add(time);
    }

    /// Records that an endpoint begins the response to a request sent at `sent_at`.
    pub fn record_response(&mut self, endpoint: EndpointId, sent_at: Moment, now: Moment) {
        self.entry(endpoint).turns.record(sent_at, now);
    }

    /// Records that the response to a request sent at `sent_at` is late. Returns whether it is
    /// so in turn: the endpoint begins late ones to earlier requests, or none for anyone, but
    /// not for long yet.
    pub fn record_late_response(
        &mut self,
        endpoint: EndpointId,
        sent_at: Moment,
        now: Moment,
    ) -> bool {
        let entry = self.entry(endpoint);
        let answered_at = entry.reports.last_at().max(entry.turns.last_at());
        let is_in_turn = if answered_at < Some(sent_at) {
            entry.turns.record_none_begun(sent_at, answered_at, now)
        } else {
            entry.turns.is_late_in_turn(sent_at, now)
        };
        is_in_turn && !entry.turns.has_passed_over(sent_at)
    }

    /// Returns how long a request waits for its response before its endpoint may be silent.
    #[must_use]
    pub fn late_head(&self, service: ServiceId) -> Duration {
        let times = self.head_times.get(&service).copied();
        times.unwrap_or_default().late()
    }

    /// Records that no instance sent requests to an endpoint recently, and all may again.
    /// Its load is then what is left of its last report, without the mean of other
    /// endpoints, and what it may have got since until it reports.
    pub fn set_idle(&mut self, endpoint: EndpointId, now: Moment) {
        let entry = self.entry(endpoint);
        let left = entry.reports.decayed_others(entry.report_weight(now));
        entry.reports = ReportHistory::idle(left, now);
    }

    /// Takes the loads that were reported since the last call.
    pub fn take_new_loads(&mut self, now: Moment) -> Vec<Load> {
        std::mem::take(&mut self.new_loads)
            .into_iter()
            .map(|(endpoint, (requests, at))| Load {
                endpoint,
                requests,
                age: since(now, at),
            })
            .collect()
    }

    /// Returns the recently reported loads.
    #[must_use]
    pub fn recent_loads(&self, now: Moment) -> Vec<Load> {
        let recent = self.entries.iter().filter_map(|(endpoint, entry)| {
            let age = since(now, entry.reports.last_at()?);
            let requests = entry.reports.last_others().saturating_add(entry.own);
            (age < MAX_SHARED_LOAD_AGE).then_some(Load {
                endpoint: *endpoint,
                requests,
                age,
            })
        });
        recent.collect()
    }

    /// Records an event of an endpoint's health. Returns what the endpoint may get now if
    /// that changed.
    pub fn record_health_event(&mut self, endpoint: EndpointId, event: Event) -> Option<Access> {
        self.entry(endpoint).handle_health_event(event)
    }

    /// Records that an endpoint can't be reached. One refused connection counts as much
    /// as two broken ones, so it alone is enough to stop sending to the endpoint. Returns
    /// what the endpoint may get now if that changed.
    pub fn record_unreachable(&mut self, endpoint: EndpointId, now: Moment) -> Option<Access> {
        let first = self.record_health_event(endpoint, Event::Failure(now));
        let second = self.record_health_event(endpoint, Event::Failure(now));
        second.or(first)
    }

    /// Forgets failures of an endpoint, which turned out to be its path's. Returns what the
    /// endpoint may get now if that changed.
    pub fn forget_failures(&mut self, endpoint: EndpointId) -> Option<Access> {
        let entry = self.entry(endpoint);
        let before = entry.health.access();
        entry.health = Machine::new(0);
        (before != Access::Full).then_some(Access::Full)
    }

    /// Advances the time for endpoints that count as down. Returns those that are on trial
    /// from now on.
    pub fn tick(&mut self, now: Moment) -> Vec<EndpointId> {
        let mut on_trial = Vec::new();
        for (endpoint, entry) in &mut self.entries {
            if entry.handle_health_event(Event::Tick(now)).is_some() {
                on_trial.push(*endpoint);
            }
        }
        on_trial
    }

    /// Returns the load estimates of the endpoints of one service, in order.
    #[must_use]
    pub fn estimate(&self, endpoints: &[EndpointId], now: Moment) -> Vec<LoadEstimate> {
        // Each endpoint is looked up once, as lookups take most of the time with
        // thousands of endpoints.
        let entries: Vec<Option<&Entry>> =
            endpoints.iter().map(|id| self.entries.get(id)).collect();
        let known = || entries.iter().copied().flatten();
        let reported: WeightedMean = known().map(|entry| entry.reports.decayed_mean(now)).sum();
        let mean = reported.mean();
        let duration_seconds = belief::mean_duration(known().map(|entry| entry.durations));
        let estimate_load =
            |entry: Option<&Entry>| estimate_load(entry, mean, duration_seconds, now);
        entries.into_iter().map(estimate_load).collect()
    }

    /// Records a prompt's shared prefix and returns what its placement depends on.
    ///
    /// `all` is the number of requests that the service's endpoints run or have queued
    /// for all instances, and `own` the number of these that are this instance's.
    pub fn record_prompt(
        &mut self,
        service: ServiceId,
        part: Part,
        (own, all): (f64, f64),
        now: Moment,
    ) -> Affinity {
        let tokens = f64::from(part.tokens);
        let mean_length = self.mean_lengths.entry(service).or_insert(tokens);
        *mean_length += (tokens - *mean_length) * LENGTH_SMOOTHING;
        let mean_length = *mean_length;
        let recent = self.count_demand(part.id, now);
        let others = (all / own.max(1.0)).max(1.0);
        Affinity::new(part, mean_length, recent, others)
    }

    // Counts a request for a part; returns the decayed number of requests before it.
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

    /// Returns which requests an endpoint may get, given its health.
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

    /// Drops endpoints that are gone and have none of this instance's requests.
    pub fn retain_endpoints(&mut self, known: impl Fn(EndpointId) -> bool) {
        self.entries
            .retain(|endpoint, entry| entry.own > 0 || known(*endpoint));
        self.new_loads.retain(|endpoint, _| known(*endpoint));
    }

    fn entry(&mut self, endpoint: EndpointId) -> &mut Entry {
        self.entries.entry(endpoint).or_insert_with(Entry::new)
    }
}

// Estimates the load of an endpoint, given the mean number of other instances' requests
// at endpoints with reports and the mean duration of requests in seconds.
fn estimate_load(
    entry: Option<&Entry>,
    mean: f64,
    duration_seconds: f64,
    now: Moment,
) -> LoadEstimate {
    let unknown = ReportHistory::default();
    let reports = entry.map_or(&unknown, |entry| &entry.reports);
    let others = reports.estimate(mean, duration_seconds, now);
    let own = entry.map_or(0, |entry| entry.own);
    LoadEstimate {
        load: f64::from(own) + others.others,
        std_dev: others.std_dev,
        own_requests: own,
        observed_load: entry.map_or(0.0, |entry| entry.observed_load(now)),
        known: others.known,
        report_age: reports.last_at().map(|at| since(now, at)),
        is_silent: entry.is_some_and(|entry| entry.silence.lasts(reports.last_at(), now)),
        filling: others.filling,
        arrivals: others.arrivals,
        sent_since_report: entry.map_or(0, |entry| entry.sent_since_report),
        remaining: others.remaining,
        duration_seconds,
        access: entry.map_or(Access::Full, |entry| entry.health.access()),
    }
}

#[cfg(test)]
mod tests;
