//! The metrics of one instance: those of its requests, and those of its own state.

mod crashes;
mod loads;
mod start;
mod streams;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use godwitpost_client::connect::Framing;
use godwitpost_decide::health::Access;
use godwitpost_process::metrics::{Labels, Metrics as RequestMetrics};
use godwitpost_types::id::Era;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter};

use self::crashes::Crashes;
pub(crate) use self::crashes::{CheckResult, EvidenceSource};
pub(crate) use self::loads::LoadSource;
use self::loads::Loads;
use self::start::Start;
use self::streams::Streams;
use crate::hop::Outcome;
use crate::refusal::Reason;
use crate::stats::Observation;

/// An instance's use of the endpoints of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceUsage {
    pub(crate) service: String,
    /// This instance's in-flight requests at the service.
    pub(crate) in_flight: f64,
    /// The estimated number of requests that all endpoints of the service run or have
    /// queued.
    pub(crate) load: f64,
    /// This instance's idle connections.
    pub(crate) idle: f64,
    /// Retries that are left in the budget.
    pub(crate) repeats_left: f64,
}

/// The services as of the last read of the metrics. A gauge that is set once keeps its
/// labels for ever; the entries here go away with their services.
type SharedUsage = Arc<Mutex<Vec<ServiceUsage>>>;

#[derive(Debug)]
pub(crate) struct Metrics {
    requests: RequestMetrics,
    refusals: Counter<u64>,
    turned_away: Counter<u64>,
    repeats: Counter<u64>,
    streams: Streams,
    crashes: Crashes,
    loads: Loads,
    start: Start,
    sources: Counter<u64>,
    shares: Counter<u64>,
    notices: Counter<u64>,
    access_changes: Counter<u64>,
    response_ends: Counter<u64>,
    forwards: Counter<u64>,
    taken: Counter<u64>,
    lost: Gauge<u64>,
    calls: Counter<u64>,
    listed: Counter<u64>,
    ignored: Counter<u64>,
    era: Gauge<u64>,
    era_age: Gauge<u64>,
    endpoints: Gauge<u64>,
    evacuated: Gauge<u64>,
    paused: Gauge<u64>,
    age: Gauge<u64>,
    spans: Gauge<u64>,
    dropped: Gauge<u64>,
    usages: SharedUsage,
}

impl Metrics {
    pub(crate) fn new(name: &str) -> Self {
        let requests = RequestMetrics::new(name);
        let meter = requests.meter();
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        Self {
            refusals: counter(
                "godwitpost.refusals",
                "Requests that got an answer of the instance's own, by reason",
            ),
            turned_away: counter(
                "godwitpost.connections_turned_away",
                "New connections that were closed with their requests unread",
            ),
            repeats: counter(
                "godwitpost.repeats",
                "Requests sent to a further endpoint, by whether the budget allowed it",
            ),
            streams: Streams::new(&meter),
            crashes: Crashes::new(&meter),
            loads: Loads::new(&meter),
            start: Start::new(&meter),
            shares: counter(
                "godwitpost.warming_shares",
                "Requests placed at endpoints that are warming up, by whether a share was left",
            ),
            notices: counter(
                "godwitpost.endpoint_notices",
                "Answers in which an endpoint says that it is leaving or wants no requests for a while, by which",
            ),
            forwards: counter(
                "godwitpost.forwards",
                "Requests given to another instance to send on, by what came of it",
            ),
            taken: counter(
                "godwitpost.forwards_taken",
                "Requests of other instances, by what came of them",
            ),
            lost: gauge(
                "godwitpost.endpoints_out_of_reach",
                "Endpoints that other instances reach and this one can't connect to",
            ),
            access_changes: counter(
                "godwitpost.access_changes",
                "Changes of what an endpoint may get, by what it may get now and what was observed",
            ),
            response_ends: counter(
                "godwitpost.response_ends",
                "Ends of endpoints' responses, by how the body is delimited, whether an event was unfinished, and whether it counts as whole",
            ),
            sources: counter(
                "godwitpost.prompt_sources",
                "Requests with a shared prompt, by where their endpoint gets it from",
            ),
            spans: gauge(
                "godwitpost.prompt_spans",
                "Beginnings of prompts with a known holder",
            ),
            calls: counter("godwitpost.log_calls", "Reads of the log, by outcome"),
            listed: counter(
                "godwitpost.log_listed_anew",
                "Topics listed anew since the records to read on from were not there",
            ),
            ignored: counter(
                "godwitpost.log_records_ignored",
                "Records not taken, as older than what is known of their key",
            ),
            era: gauge("godwitpost.log_era", "The log's era, as last heard"),
            era_age: gauge(
                "godwitpost.log_era_age_ms",
                "Milliseconds since this instance first heard of the log's era",
            ),
            endpoints: gauge("godwitpost.endpoints", "Endpoints that may get new work"),
            evacuated: gauge(
                "godwitpost.evacuated_zones",
                "Availability zones kept empty",
            ),
            paused: gauge(
                "godwitpost.paused_endpoints",
                "Endpoints that want no requests of this instance for now",
            ),
            age: gauge(
                "godwitpost.policy_age_ms",
                "Milliseconds since the configuration was last confirmed",
            ),
            dropped: gauge("godwitpost.log_lines_dropped", "Log lines dropped so far"),
            usages: service_gauges(&meter),
            requests,
        }
    }

    /// Returns the metrics of requests.
    pub(crate) const fn requests(&self) -> &RequestMetrics {
        &self.requests
    }

    pub(crate) fn labels(&self, workspace: &str, class: &str) -> Labels {
        self.requests.labels(workspace, class)
    }

    pub(crate) fn count_refusal(&self, reason: Reason) {
        self.refusals
            .add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    pub(crate) fn count_turned_away(&self) {
        self.turned_away.add(1, &[]);
    }

    pub(crate) fn count_repeat(&self, allowed: bool) {
        self.repeats.add(1, &[KeyValue::new("allowed", allowed)]);
    }

    /// Returns the metrics of streams that go on elsewhere.
    pub(crate) const fn streams(&self) -> &Streams {
        &self.streams
    }

    /// Returns the metrics of crashed endpoints.
    pub(crate) const fn crashes(&self) -> &Crashes {
        &self.crashes
    }

    /// Returns the metrics of endpoints' loads.
    pub(crate) const fn loads(&self) -> &Loads {
        &self.loads
    }

    /// Returns the metrics of how this instance and those that ask it start.
    pub(crate) const fn start(&self) -> &Start {
        &self.start
    }

    pub(crate) fn count_prompt_source(&self, basis: &'static str) {
        self.sources.add(1, &[KeyValue::new("basis", basis)]);
    }

    pub(crate) fn count_warming_share(&self, taken: bool) {
        self.shares.add(1, &[KeyValue::new("taken", taken)]);
    }

    pub(crate) fn count_endpoint_notice(&self, notice: &'static str) {
        self.notices.add(1, &[KeyValue::new("says", notice)]);
    }

    pub(crate) fn count_access_change(&self, access: Access, observation: Observation) {
        let set = [
            KeyValue::new("access", access_name(access)),
            KeyValue::new("observation", observation.to_string()),
        ];
        self.access_changes.add(1, &set);
    }

    pub(crate) fn count_response_end(&self, framing: Framing, inside_event: bool, whole: bool) {
        let set = [
            KeyValue::new("framing", framing.as_str()),
            KeyValue::new("inside_event", inside_event),
            KeyValue::new("whole", whole),
        ];
        self.response_ends.add(1, &set);
    }

    pub(crate) fn count_forward(&self, outcome: Outcome) {
        self.forwards
            .add(1, &[KeyValue::new("outcome", outcome.as_str())]);
    }

    pub(crate) fn count_taken_forward(&self, outcome: Outcome) {
        self.taken
            .add(1, &[KeyValue::new("outcome", outcome.as_str())]);
    }

    pub(crate) fn record_lost_endpoints(&self, count: usize) {
        self.lost.record(count as u64, &[]);
    }

    pub(crate) fn record_prompt_spans(&self, count: usize) {
        self.spans.record(count as u64, &[]);
    }

    pub(crate) fn count_log_read(&self, topic: &'static str, outcome: &'static str) {
        let set = [
            KeyValue::new("topic", topic),
            KeyValue::new("outcome", outcome),
        ];
        self.calls.add(1, &set);
    }

    pub(crate) fn count_log_listing(&self, topic: &'static str) {
        self.listed.add(1, &[KeyValue::new("topic", topic)]);
    }

    pub(crate) fn count_ignored_records(&self, topic: &'static str, count: u64) {
        self.ignored.add(count, &[KeyValue::new("topic", topic)]);
    }

    pub(crate) fn record_log_era(&self, era: Era, age: Duration) {
        self.era.record(era, &[]);
        self.era_age.record(millis(age), &[]);
    }

    pub(crate) fn record_endpoints(&self, count: usize) {
        self.endpoints.record(count as u64, &[]);
    }

    pub(crate) fn record_evacuated_zones(&self, zones: usize) {
        self.evacuated.record(zones as u64, &[]);
    }

    pub(crate) fn record_paused_endpoints(&self, endpoints: usize) {
        self.paused.record(endpoints as u64, &[]);
    }

    pub(crate) fn record_policy_age(&self, age: Duration) {
        self.age.record(millis(age), &[]);
    }

    pub(crate) fn record_dropped_lines(&self, lines: u64) {
        self.dropped.record(lines, &[]);
    }

    /// Replaces the values of the services' gauges.
    pub(crate) fn set_service_usage(&self, usages: Vec<ServiceUsage>) {
        *self.usages.lock().unwrap_or_else(PoisonError::into_inner) = usages;
    }
}

const fn access_name(access: Access) -> &'static str {
    match access {
        Access::Full => "full",
        Access::Trial => "trial",
        Access::None => "none",
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

// Creates the gauges of the services.
fn service_gauges(meter: &Meter) -> SharedUsage {
    let usages = SharedUsage::default();
    let gauge = |name: &'static str, description: &'static str, value: fn(&ServiceUsage) -> f64| {
        let observed = Arc::clone(&usages);
        meter
            .f64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |to| {
                for usage in &*observed.lock().unwrap_or_else(PoisonError::into_inner) {
                    let service = KeyValue::new("service", usage.service.clone());
                    to.observe(value(usage), &[service]);
                }
            })
            .build();
    };
    gauge(
        "godwitpost.service_in_flight",
        "Requests of this instance at a service's endpoints",
        |usage| usage.in_flight,
    );
    gauge(
        "godwitpost.service_load",
        "Requests that a service's endpoints run or hold, as believed",
        |usage| usage.load,
    );
    gauge(
        "godwitpost.service_idle_connections",
        "Connections to a service's endpoints that wait for a request",
        |usage| usage.idle,
    );
    gauge(
        "godwitpost.repeats_left",
        "Repeats that the budget of a service has left",
        |usage| usage.repeats_left,
    );
    usages
}
