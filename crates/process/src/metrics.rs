//! OpenTelemetry metrics, exported as Prometheus text.
//!
//! Each label set of a histogram costs memory, and 8,900 workspaces in several
//! classes would take tens of megabytes. Therefore the first
//! [`MAX_LABELLED_WORKSPACES`] workspaces that send requests get their own label, and
//! the others share one.
//!
//! The label set of a request is resolved once to bound instruments. Otherwise each
//! measurement would allocate the set, hash its strings and look it up.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use godwitpost_types::id::Version;
use godwitpost_types::outcome::Outcome;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{
    BoundCounter, BoundHistogram, Counter, Gauge, Histogram, Meter, MeterProvider as _,
};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Maximum number of workspaces with their own label. A histogram of 14 buckets takes
/// about 200 bytes per workspace, class and outcome. With 3 classes and 3 outcomes,
/// 64 workspaces take about 115 KB.
pub const MAX_LABELLED_WORKSPACES: usize = 64;

/// The label of all other workspaces.
const OTHER_WORKSPACES: &str = "(others)";

/// Upper bounds of the latency buckets in seconds. 0.8 s is the objective for the
/// first token, so it has its own bound.
const BUCKET_SECONDS: [f64; 14] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 10.0, 30.0, 120.0,
];

/// The kind of control traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Traffic {
    /// Between instances.
    Peers,
    /// To and from the platform's services.
    Platform,
    /// Reports and cache events of endpoints.
    Probes,
}

/// The instruments of one router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    // Retained because dropping it would stop the instruments.
    provider: SdkMeterProvider,
    first_byte: Histogram<f64>,
    response_end: Histogram<f64>,
    requests: Counter<u64>,
    unauthenticated: Counter<u64>,
    stripped: Counter<u64>,
    control: Counter<u64>,
    claims: Counter<u64>,
    in_flight: Arc<AtomicI64>,
    version: Gauge<u64>,
    labelled: Mutex<BTreeMap<String, Classes>>,
    unknown_workspace: Labels,
}

impl Metrics {
    /// Returns the instruments of the named router.
    ///
    /// # Panics
    ///
    /// Never: the registry is new, so no name can clash.
    #[must_use]
    pub fn new(name: &str) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry has no clashing names");
        let resource = Resource::builder_empty()
            .with_service_name(name.to_owned())
            .build();
        let provider = SdkMeterProvider::builder()
            .with_resource(resource)
            .with_reader(exporter)
            .build();
        let meter = provider.meter("godwitpost");
        let seconds = |name: &'static str, text: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(text)
                .with_boundaries(BUCKET_SECONDS.to_vec())
                .build()
        };
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let first_byte = seconds("godwitpost.first_byte", "Time to the head of the answer");
        let response_end = seconds("godwitpost.whole", "Time to the end of the answer");
        let requests = counter("godwitpost.requests", "Requests by outcome and status");
        let in_flight = Arc::new(AtomicI64::new(0));
        let observed = Arc::clone(&in_flight);
        // Read when metrics are exported; a request only updates the counter.
        meter
            .i64_observable_up_down_counter("godwitpost.in_flight")
            .with_description("Requests in flight")
            .with_callback(move |to| to.observe(observed.load(Ordering::Relaxed), &[]))
            .build();
        Self {
            unknown_workspace: Labels::bind("(none)", "(none)", &first_byte, &response_end),
            first_byte,
            response_end,
            requests,
            in_flight,
            unauthenticated: counter(
                "godwitpost.strangers",
                "Messages on the peers' port without a valid seal",
            ),
            stripped: counter(
                "godwitpost.stripped_headers",
                "Internal headers that callers sent",
            ),
            control: counter("godwitpost.control_bytes", "Bytes of control traffic"),
            claims: counter(
                "godwitpost.claim_bytes",
                "Bytes of claims on unrepeatable requests",
            ),
            version: meter
                .u64_gauge("godwitpost.bundle_version")
                .with_description("The bundle version in force")
                .build(),
            labelled: Mutex::default(),
            registry,
            provider,
        }
    }

    /// Returns the meter for additional instruments.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("godwitpost")
    }

    /// Records a request whose response head is known.
    pub fn record_response_head(
        &self,
        labels: &Labels,
        outcome: Outcome,
        status: u16,
        took: Duration,
    ) {
        labels.0.first_byte.record(took.as_secs_f64());
        labels.count(&self.requests, outcome, status);
    }

    /// Records a request whose response has ended.
    pub fn record_response_end(labels: &Labels, took: Duration) {
        labels.0.response_end.record(took.as_secs_f64());
    }

    /// Counts a message without a valid seal on the peer port.
    pub fn count_unauthenticated(&self) {
        self.unauthenticated.add(1, &[]);
    }

    /// Counts internal headers that a caller sent.
    pub fn stripped(&self, headers: usize) {
        self.stripped.add(headers as u64, &[]);
    }

    /// Counts control bytes, sent and received.
    pub fn control(&self, traffic: Traffic, bytes: u64) {
        let to = match traffic {
            Traffic::Peers => "peers",
            Traffic::Platform => "platform",
            Traffic::Probes => "probes",
        };
        self.control.add(bytes, &[KeyValue::new("to", to)]);
    }

    /// Counts bytes of claims, sent and received.
    pub fn claim_bytes(&self, bytes: u64) {
        self.claims.add(bytes, &[]);
    }

    /// Adds to the number of requests in flight.
    pub fn in_flight(&self, by: i64) {
        self.in_flight.fetch_add(by, Ordering::Relaxed);
    }

    /// Sets the bundle version in force.
    pub fn version(&self, version: Version) {
        self.version.record(version, &[]);
    }

    /// Returns the labels of a workspace and class.
    #[must_use]
    pub fn labels(&self, workspace: &str, class: &str) -> Labels {
        let mut labelled = self.labelled.lock().unwrap_or_else(PoisonError::into_inner);
        // The shared label does not count towards the limit.
        let limit = MAX_LABELLED_WORKSPACES + usize::from(labelled.contains_key(OTHER_WORKSPACES));
        let own = labelled.contains_key(workspace) || labelled.len() < limit;
        let workspace = if own { workspace } else { OTHER_WORKSPACES };
        let known = labelled.get(workspace).and_then(|known| known.get(class));
        if let Some(labels) = known {
            return labels.clone();
        }
        let classes = labelled.entry(workspace.to_owned()).or_default();
        let bind = || Labels::bind(workspace, class, &self.first_byte, &self.response_end);
        let labels = classes.entry(class.to_owned()).or_insert_with(bind);
        labels.clone()
    }

    /// Returns the labels of a request that named no known workspace.
    #[must_use]
    pub fn unknown_workspace(&self) -> Labels {
        self.unknown_workspace.clone()
    }

    /// Returns all metrics as Prometheus text.
    #[must_use]
    pub fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# unreadable metrics: {error}\n"))
    }
}

/// The labels of one workspace, by class.
type Classes = BTreeMap<String, Labels>;

/// The labels of one request: instruments bound to them.
#[derive(Clone, Debug)]
pub struct Labels(Arc<Bound>);

#[derive(Debug)]
struct Bound {
    set: Vec<KeyValue>,
    first_byte: BoundHistogram<f64>,
    response_end: BoundHistogram<f64>,
    // By outcome and status; both have few values.
    requests: Mutex<BTreeMap<(Outcome, u16), BoundCounter<u64>>>,
}

impl Labels {
    fn bind(
        workspace: &str,
        class: &str,
        first_byte: &Histogram<f64>,
        response_end: &Histogram<f64>,
    ) -> Self {
        let set = vec![
            KeyValue::new("workspace", workspace.to_owned()),
            KeyValue::new("class", class.to_owned()),
        ];
        Self(Arc::new(Bound {
            first_byte: first_byte.bind(&set),
            response_end: response_end.bind(&set),
            requests: Mutex::default(),
            set,
        }))
    }

    fn count(&self, requests: &Counter<u64>, outcome: Outcome, status: u16) {
        let bound = &self.0;
        let mut counters = bound
            .requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let bind = || {
            let mut set = bound.set.clone();
            set.push(KeyValue::new("outcome", outcome.as_str()));
            set.push(KeyValue::new("status", i64::from(status)));
            requests.bind(&set)
        };
        counters
            .entry((outcome, status))
            .or_insert_with(bind)
            .add(1);
    }
}

#[cfg(test)]
mod tests;
