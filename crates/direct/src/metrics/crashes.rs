//! The metrics of crashed endpoints and of the requests that may have crashed them.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter};

/// What a connection's break during a request was taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CheckResult {
    /// The endpoint crashed, which counts against the request.
    Crashed,
    /// The endpoint didn't refuse another connection.
    Accepts,
    /// Other instances reach the endpoint.
    ReachedByOthers,
    /// The endpoint crashed while it was full.
    Overloaded,
}

impl CheckResult {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Crashed => "crashed",
            Self::Accepts => "accepts",
            Self::ReachedByOthers => "reached-by-others",
            Self::Overloaded => "overloaded",
        }
    }
}

/// Where evidence on crashes comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EvidenceSource {
    /// This instance.
    Own,
    /// An instance that this one is polled by or exchanges evidence with.
    Message,
    /// The instance that this one polls.
    Poll,
}

impl EvidenceSource {
    /// Returns the source's name in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Message => "message",
            Self::Poll => "poll",
        }
    }
}

#[derive(Debug)]
pub(crate) struct Crashes {
    checks: Counter<u64>,
    evidence: Counter<u64>,
    withdrawals: Counter<u64>,
    parts: Gauge<u64>,
    refused: Counter<u64>,
    trials: Counter<u64>,
}

impl Crashes {
    pub(super) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, description: &'static str| {
            let counter = meter.u64_counter(name);
            counter.with_description(description).build()
        };
        Self {
            checks: counter(
                "godwitpost.crash_checks",
                "Connections to endpoints that broke during a request, by what that was taken for",
            ),
            evidence: counter(
                "godwitpost.crash_evidence",
                "New evidence on requests that may crash endpoints, by source",
            ),
            withdrawals: counter(
                "godwitpost.crash_withdrawals",
                "Endpoints that ran on after evidence that they had crashed",
            ),
            parts: meter
                .u64_gauge("godwitpost.crashing_parts")
                .with_description(
                    "Parts of prompts that are suspected of crashing endpoints, or held for it",
                )
                .build(),
            refused: counter(
                "godwitpost.crashing_part_refusals",
                "Requests refused or withdrawn for a part of their prompts that crashes endpoints, by route",
            ),
            trials: counter(
                "godwitpost.crashing_part_trials",
                "Requests let through after a hold time to try a part of prompts again",
            ),
        }
    }

    pub(crate) fn record_parts(&self, suspects: usize, held: usize) {
        for (state, count) in [("suspect", suspects), ("held", held)] {
            let state = [KeyValue::new("state", state)];
            self.parts.record(count as u64, &state);
        }
    }

    pub(crate) fn count_refusal(&self, route: &str) {
        self.refused
            .add(1, &[KeyValue::new("route", route.to_owned())]);
    }

    pub(crate) fn count_trial(&self) {
        self.trials.add(1, &[]);
    }

    pub(crate) fn count_withdrawal(&self) {
        self.withdrawals.add(1, &[]);
    }

    pub(crate) fn count_check(&self, result: CheckResult) {
        self.checks
            .add(1, &[KeyValue::new("result", result.as_str())]);
    }

    pub(crate) fn count_evidence(&self, source: EvidenceSource) {
        self.evidence
            .add(1, &[KeyValue::new("source", source.as_str())]);
    }
}
