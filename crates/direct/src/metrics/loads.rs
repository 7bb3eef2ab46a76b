//! The metrics of endpoints' loads and of how late they are known.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};

/// Upper bounds of the histograms' buckets, in seconds: streams take up to fifteen, and loads
/// count for four.
const BUCKET_SECONDS: [f64; 12] = [
    0.01, 0.03, 0.1, 0.2, 0.4, 0.7, 1.0, 1.5, 2.0, 3.0, 5.0, 15.0,
];

/// Upper bounds of the histogram of reported loads, as a part of the load bound. Close around
/// 1, where the margin is.
const BUCKET_BOUND_PARTS: [f64; 10] = [0.25, 0.5, 0.7, 0.8, 0.9, 1.0, 1.1, 1.25, 1.5, 2.0];

/// How an instance learned of a load that an endpoint reported to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadSource {
    /// From an instance that polls this one.
    Poll,
    /// From the peer that this one polls.
    Answer,
}

impl LoadSource {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Poll => "poll",
            Self::Answer => "answer",
        }
    }
}

#[derive(Debug)]
pub(crate) struct Loads {
    endpoint_time: Histogram<f64>,
    report_age: Histogram<f64>,
    poll_time: Histogram<f64>,
    reports: Counter<u64>,
    bound_part: Histogram<f64>,
    overloads: Counter<u64>,
    late_responses: Counter<u64>,
}

impl Loads {
    pub(super) fn new(meter: &Meter) -> Self {
        let seconds = |name: &'static str, description: &'static str| {
            let histogram = meter.f64_histogram(name).with_unit("s");
            let histogram = histogram.with_description(description);
            histogram.with_boundaries(BUCKET_SECONDS.to_vec()).build()
        };
        Self {
            endpoint_time: seconds(
                "godwitpost.endpoint_time",
                "Time from sending a request to an endpoint to the end of its response",
            ),
            report_age: seconds(
                "godwitpost.load_report_age",
                "Age of the oldest load in a message between instances on arrival",
            ),
            poll_time: seconds(
                "godwitpost.peer_poll",
                "Time from a poll of another instance to its answer",
            ),
            reports: meter
                .u64_counter("godwitpost.endpoint_loads")
                .with_description(
                    "Loads reported in responses to this instance, by whether they were above the load bound as believed when the request was sent",
                )
                .build(),
            bound_part: meter
                .f64_histogram("godwitpost.endpoint_load_bound_part")
                .with_description(
                    "Loads reported in responses to this instance, as a part of the load bound as believed when the request was sent",
                )
                .with_boundaries(BUCKET_BOUND_PARTS.to_vec())
                .build(),
            overloads: meter
                .u64_counter("godwitpost.overloads_learned")
                .with_description(
                    "Endpoints that others found near the load bound, by how this instance learned it",
                )
                .build(),
            late_responses: meter
                .u64_counter("godwitpost.late_responses")
                .with_description(
                    "Attempts given up as no response had begun in time, by whether the endpoint counts as busy or as failing",
                )
                .build(),
        }
    }

    pub(crate) fn count_overloads(&self, source: LoadSource, count: usize) {
        let source = KeyValue::new("told_by", source.as_str());
        self.overloads.add(count as u64, &[source]);
    }

    pub(crate) fn count_late_response(&self, service: &str, is_busy: bool) {
        let service = KeyValue::new("service", service.to_owned());
        self.late_responses
            .add(1, &[service, KeyValue::new("busy", is_busy)]);
    }

    pub(crate) fn record_endpoint_time(&self, service: &str, time: Duration) {
        let service = KeyValue::new("service", service.to_owned());
        self.endpoint_time.record(time.as_secs_f64(), &[service]);
    }

    pub(crate) fn record_report_age(&self, source: LoadSource, age: Duration) {
        let source = KeyValue::new("told_by", source.as_str());
        self.report_age.record(age.as_secs_f64(), &[source]);
    }

    pub(crate) fn record_poll(&self, time: Duration) {
        self.poll_time.record(time.as_secs_f64(), &[]);
    }

    /// Records a reported load, of which no endpoint of the service should have more than
    /// `limit`.
    pub(crate) fn record_reported_load(&self, service: &str, load: u32, limit: f64) {
        let part = f64::from(load) / limit.max(1.0);
        let service_label = KeyValue::new("service", service.to_owned());
        self.bound_part.record(part, &[service_label]);
        let above = f64::from(load) > limit;
        let set = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("above", above),
        ];
        self.reports.add(1, &set);
    }
}
