//! The metrics of a start: of this instance, and of those that it sends lists to.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter};

use crate::readiness::{self, Readiness};

#[derive(Debug)]
pub(crate) struct Start {
    readiness: Gauge<u64>,
    failures: Counter<u64>,
    lists: Counter<u64>,
    parts: Counter<u64>,
    failed_tasks: Counter<u64>,
}

impl Start {
    pub(super) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, description: &'static str| {
            let counter = meter.u64_counter(name);
            counter.with_description(description).build()
        };
        let readiness = meter
            .u64_gauge("godwitpost.readiness")
            .with_description("1 for what the instance is, ready or why not, and 0 for the rest")
            .build();
        Self {
            readiness,
            failures: counter(
                "godwitpost.peers_not_followed",
                "Instances that were polled in vain or left, by cause",
            ),
            lists: counter(
                "godwitpost.lists_received",
                "Lists of endpoints that were received, by whether they were complete",
            ),
            parts: counter(
                "godwitpost.list_parts",
                "Requests of others for a part of the list, by whether it was sent or the link was busy",
            ),
            failed_tasks: counter(
                "godwitpost.failed_tasks",
                "Tasks that the instance needs and that ended by a fault of the program",
            ),
        }
    }

    pub(crate) fn record_readiness(&self, now: Readiness) {
        for one in readiness::ALL {
            let state = [KeyValue::new("state", one.to_string())];
            self.readiness.record(u64::from(one == now), &state);
        }
    }

    pub(crate) fn count_failure(&self, cause: &'static str) {
        self.failures.add(1, &[KeyValue::new("cause", cause)]);
    }

    pub(crate) fn count_list(&self, complete: bool) {
        self.lists.add(1, &[KeyValue::new("complete", complete)]);
    }

    pub(crate) fn count_failed_task(&self, task: &'static str) {
        self.failed_tasks.add(1, &[KeyValue::new("task", task)]);
    }

    pub(crate) fn count_part(&self, sent: bool) {
        self.parts.add(1, &[KeyValue::new("sent", sent)]);
    }
}
