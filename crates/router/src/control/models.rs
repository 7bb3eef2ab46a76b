//! The models that owned engines have, by their own word.
//!
//! The platform's list lags; an engine that took an order has other models
//! than the list says for seconds. Each owner asks its engines for reports
//! anyway, and the report goes before the list in the owner's view. Other
//! instances go by the list: a request that they send for a model that the
//! engine hasn't got is passed on by its owner.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::{Endpoint, Report};
use godwitpost_types::id::{self, EndpointId, Incarnation, ModelId};
use godwitpost_types::policy::Kind;

use super::orders;

/// How long a report goes before the list: five reports. After that the
/// endpoint has another owner, or is silent, and the list knows better.
const REPORT_MAX_AGE: Duration = Duration::from_secs(10);

/// What owned engines reported last.
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
    /// Takes the models of a report; returns whether they changed.
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
            models: names.map(id::of).collect(),
        };
        let models = reported.models.clone();
        let known = self.reported.insert(id, reported);
        known.is_none_or(|known| known.models != models)
    }

    /// Returns an engine with the models that it has by its own word, if that
    /// is fresh; other endpoints as they are.
    ///
    /// The failure: a plain service's back end names models in its report. It
    /// would be taken out of its service, whose requests ask for none, and the
    /// callers hear that there is no endpoint.
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
