//! The engine's load report, optionally delayed.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

use godwitpost_types::clock::Moment;
use http::{Response, StatusCode};
use serde::Serialize;

use super::core::{Core, State};
use crate::answer;
use crate::faults::lock;
use crate::serve::Body;

/// The load at one point in time.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Report {
    #[serde(skip)]
    taken: Moment,
    taken_ms: u64,
    incarnation: u64,
    standing: &'static str,
    requests: usize,
    work: u64,
    models: BTreeSet<String>,
    role: String,
}

impl Core {
    /// Records the current load for delayed reports.
    pub(super) fn record_report(&self) {
        let faults = self.faults.get();
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let report = state.report(now, faults.leaving);
        state.reports.push_back(report);
        // The newest report that is old enough for the lag becomes the first.
        let until = now.saturating_sub(faults.report_lag);
        while state.reports.get(1).is_some_and(|next| next.taken <= until) {
            state.reports.pop_front();
        }
    }

    pub(super) fn report(&self) -> Response<Body> {
        self.record_report();
        let state = lock(&self.state);
        answer::json(StatusCode::OK, &state.reports.front())
    }
}

impl State {
    fn report(&self, taken: Moment, leaving: bool) -> Report {
        let running = self.jobs.values().filter(|job| !job.ended());
        Report {
            taken,
            taken_ms: u64::try_from(taken.as_millis()).unwrap_or(u64::MAX),
            incarnation: self.incarnation,
            standing: if leaving { "leaving" } else { "live" },
            requests: running.clone().count(),
            work: running
                .map(|job| job.remaining_tokens.load(Ordering::Relaxed))
                .sum(),
            models: self.orders.models.clone(),
            role: self.orders.role.clone(),
        }
    }
}
