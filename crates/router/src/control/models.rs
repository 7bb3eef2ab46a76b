//! Models that owned engines report.
//!
//! The platform's list lags: for seconds after an order it names models that
//! the engine no longer has. Each owner polls its engines for reports anyway,
//! and in its view a report takes precedence over the list. Other instances use
//! the list; if they send a request for a model that the engine lacks, the
//! owner forwards it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::{Endpoint, Report};
use godwitpost_types::id::{self, EndpointId, Incarnation, ModelId};
use godwitpost_types::policy::Kind;

use super::orders;

/// How long a report takes precedence over the list: the time of five reports.
/// After that the endpoint has another owner or does not respond, and the list
/// is more recent.
const REPORT_MAX_AGE: Duration = Duration::from_secs(10);

/// The last reports of owned engines.
#[derive(Debug, Default)]
pub(super) struct Models {
    reported: BTreeMap<EndpointId, Reported>,
}

#[derive(Debug)]
struct Reported {
    received_at: Moment,
    incarnation: Incarnation,
    models: BTreeSet<ModelId>,
}

impl Models {
    /// Records the models of a report and returns whether they changed.
    pub(super) fn record_report(
        &mut self,
        now: Moment,
        id: EndpointId,
        report: &Report,
        models: &[String],
    ) -> bool {
        self.reported
            .retain(|_, known| since(now, known.received_at) < REPORT_MAX_AGE);
        let names = models.iter().map(|model| orders::split_model(model).0);
        let reported = Reported {
            received_at: now,
            incarnation: report.incarnation,
            models: names.map(id::from_name).collect(),
        };
        let models = reported.models.clone();
        let known = self.reported.insert(id, reported);
        known.is_none_or(|known| known.models != models)
    }

    /// Returns an engine with the models of its report, if that is recent enough.
    ///
    /// Other endpoints are returned unchanged. A plain service's endpoint may
    /// name models in its report; applying them would remove it from the pool
    /// of its service, whose requests name no model, and callers would be told
    /// that there is no endpoint.
    pub(super) fn apply_reported_models(
        &self,
        now: Moment,
        kind: Option<Kind>,
        mut endpoint: Endpoint,
    ) -> Endpoint {
        if kind != Some(Kind::Engine) {
            return endpoint;
        }
        let reported = self.reported.get(&endpoint.id);
        let reported = reported.filter(|r| r.incarnation == endpoint.incarnation);
        if let Some(reported) = reported.filter(|r| since(now, r.received_at) < REPORT_MAX_AGE) {
            endpoint.models.clone_from(&reported.models);
        }
        endpoint
    }
}

#[cfg(test)]
mod tests;
