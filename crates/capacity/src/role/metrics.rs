//! The operators' metrics: histograms for workspace and class.
//!
//! Beyond a number of workspaces all others share one label, so the last point
//! measured is also what 8,900 workspaces take.

use std::time::Duration;

use godwitpost_process::metrics::{MAX_LABELLED_WORKSPACES, Metrics};
use godwitpost_types::outcome::Outcome;

use super::{Cost, Measure};
use crate::letter;
use crate::meter::{self, Allocated};

const ROLE: &str = "metrics";
const CLASSES: [&str; 3] = ["order", "stock", "draft"];
const OUTCOMES: [(Outcome, u16); 3] = [
    (Outcome::Ran, 200),
    (Outcome::NotRun, 503),
    (Outcome::Unknown, 502),
];

/// Measures the role.
#[must_use]
pub fn measure(allocated: Allocated) -> Vec<Measure> {
    let point = |workspaces: u32| {
        let (_metrics, bytes) = meter::memory(allocated, || seen(workspaces));
        let labels = f64::from(workspaces).min(most());
        (labels, bytes)
    };
    vec![Measure {
        role: ROLE,
        what: "histograms and counters; the last size is 8,900 workspaces",
        against: "labels",
        points: [8, 32, 8_900].map(point).into(),
        size: letter::WORKSPACES.min(most()),
        cost: Cost::Memory,
        control: true,
    }]
}

#[expect(clippy::cast_precision_loss, reason = "a small constant")]
const fn most() -> f64 {
    MAX_LABELLED_WORKSPACES as f64 + 1.0
}

fn seen(workspaces: u32) -> Metrics {
    let metrics = Metrics::new("router-0");
    for workspace in 0..workspaces {
        for class in CLASSES {
            let labels = metrics.labels(&format!("workspace-{workspace:05}"), class);
            for (outcome, status) in OUTCOMES {
                metrics.record_response_head(&labels, outcome, status, Duration::from_millis(40));
            }
            Metrics::record_response_end(&labels, Duration::from_secs(2));
        }
    }
    drop(metrics.text());
    metrics
}
