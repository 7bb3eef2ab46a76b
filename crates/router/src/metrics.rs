//! Metrics by OpenTelemetry, shown as Prometheus text to operators.
//!
//! Each label set of a histogram costs memory, and the letter's 8,900
//! workspaces in several classes would cost tens of megabytes. So the first
//! [`LABELLED`] workspaces that send requests get a label of their own and
//! the others share one.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use godwitpost_types::id::Version;
use godwitpost_types::outcome::Outcome;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider as _, UpDownCounter};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Workspaces with a label of their own. A histogram of 14 buckets takes
/// about 200 bytes for each of them, class and outcome; with 3 classes and 3
/// outcomes 64 workspaces take about 115 KB.
pub const LABELLED: usize = 64;

/// The label of all other workspaces.
const OTHERS: &str = "(others)";

/// Upper ends of the latency buckets in seconds. The letter asks for the
/// first token within 0.8 s, which is an end of its own.
const SECONDS: [f64; 14] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 10.0, 30.0, 120.0,
];

/// Where control bytes go.
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
    // Dropping it would stop the instruments.
    _provider: SdkMeterProvider,
    first_byte: Histogram<f64>,
    whole: Histogram<f64>,
    requests: Counter<u64>,
    strangers: Counter<u64>,
    stripped: Counter<u64>,
    control: Counter<u64>,
    claims: Counter<u64>,
    in_flight: UpDownCounter<i64>,
    version: Gauge<u64>,
    labelled: Mutex<BTreeSet<String>>,
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
                .with_boundaries(SECONDS.to_vec())
                .build()
        };
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        Self {
            first_byte: seconds("godwitpost.first_byte", "Time to the head of the answer"),
            whole: seconds("godwitpost.whole", "Time to the end of the answer"),
            requests: counter("godwitpost.requests", "Requests by outcome and status"),
            strangers: counter(
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
            in_flight: meter
                .i64_up_down_counter("godwitpost.in_flight")
                .with_description("Requests in flight")
                .build(),
            version: meter
                .u64_gauge("godwitpost.bundle_version")
                .with_description("The bundle version in force")
                .build(),
            labelled: Mutex::default(),
            registry,
            _provider: provider,
        }
    }

    /// Counts a request whose answer's head is known.
    pub fn head(&self, labels: &Labels, outcome: Outcome, status: u16, took: Duration) {
        let mut set = labels.set();
        self.first_byte.record(took.as_secs_f64(), &set);
        set.push(KeyValue::new("outcome", outcome.as_str()));
        set.push(KeyValue::new("status", i64::from(status)));
        self.requests.add(1, &set);
    }

    /// Counts a request whose answer ended.
    pub fn end(&self, labels: &Labels, took: Duration) {
        self.whole.record(took.as_secs_f64(), &labels.set());
    }

    /// Counts a message of a stranger.
    pub fn stranger(&self) {
        self.strangers.add(1, &[]);
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

    /// Moves the number of requests in flight.
    pub fn in_flight(&self, by: i64) {
        self.in_flight.add(by, &[]);
    }

    /// Sets the bundle version in force.
    pub fn version(&self, version: Version) {
        self.version.record(version, &[]);
    }

    /// Returns the labels of a workspace and class.
    #[must_use]
    pub fn labels(&self, workspace: &str, class: &str) -> Labels {
        let mut labelled = self.labelled.lock().unwrap_or_else(PoisonError::into_inner);
        let known = labelled.contains(workspace);
        if !known && labelled.len() < LABELLED {
            labelled.insert(workspace.to_owned());
        }
        let own = known || labelled.contains(workspace);
        Labels {
            workspace: if own { workspace } else { OTHERS }.to_owned(),
            class: class.to_owned(),
        }
    }

    /// Returns all metrics as Prometheus text.
    #[must_use]
    pub fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# unreadable metrics: {error}\n"))
    }
}

/// The labels of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Labels {
    workspace: String,
    class: String,
}

impl Labels {
    /// Returns the labels of a request that named no known workspace.
    #[must_use]
    pub fn nobody() -> Self {
        Self {
            workspace: "(none)".to_owned(),
            class: "(none)".to_owned(),
        }
    }

    fn set(&self) -> Vec<KeyValue> {
        vec![
            KeyValue::new("workspace", self.workspace.clone()),
            KeyValue::new("class", self.class.clone()),
        ]
    }
}

#[cfg(test)]
mod tests;
