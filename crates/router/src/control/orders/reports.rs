//! Reports of engines on their models, polled at a bounded rate.
//!
//! A lease's holder plans for engines that other instances own. Reports through
//! gossip would cost every instance bytes, and polling the owners would cost
//! them; polling the engines costs only the holder. The platform's list is used
//! until an engine has responded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_decide::view;
use godwitpost_state::order::View;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::{Endpoint, Report, Standing};
use godwitpost_types::id::{self, EndpointId, ModelId, ServiceId};
use godwitpost_types::policy::Policy;

use super::super::{Control, probe};

/// Bytes per second that a holder spends on reports of engines that it doesn't
/// own: a sixth of the control budget of 6 KB. Polling 3,300 engines at 600
/// bytes each takes 33 minutes. Loads start 5 s apart, so polling isn't what
/// delays a rollout.
const SWEEP_BYTES_PER_SECOND: u64 = 1_000;

/// Bytes that may be spent at once after an idle time: 13 reports.
const MAX_SWEEP_BURST_BYTES: u64 = 8_000;

/// Assumed size of a report until it is known: heads, TCP/IP headers, and a body
/// with a few models.
const ESTIMATED_REPORT_BYTES: u64 = 600;

/// Minimum time between two reports of one engine. Polling ten engines every
/// five seconds takes 1.2 KB/s, about [`SWEEP_BYTES_PER_SECOND`].
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Minimum time between two reports of an engine that got an order.
const MIN_INTERVAL_AFTER_ORDER: Duration = Duration::from_secs(1);

/// How long the last report of an engine that doesn't respond is used.
///
/// With a shorter time, the models of an engine that is briefly unreachable
/// would be loaded elsewhere.
const UNRESPONSIVE_GRACE: Duration = Duration::from_secs(30);

/// The engine reports that this instance has, and its byte allowance.
#[derive(Debug, Default)]
pub(super) struct Reports {
    engines: BTreeMap<EndpointId, Engine>,
    allowance: u64,
    refilled: Moment,
}

#[derive(Debug, Default)]
struct Engine {
    last_request: Option<Moment>,
    // When the engine first failed to respond, if it has not responded since.
    unresponsive_since: Option<Moment>,
    expedited: bool,
    report: Option<Reported>,
}

#[derive(Debug)]
struct Reported {
    report: Report,
    // In the engine's spelling, each `name@weights`.
    models: Vec<String>,
}

impl Control {
    /// Polls engines of the services whose leases are held.
    pub(super) fn sweep_reports(&mut self, now: Moment, view: &view::View) {
        let services = self.orders.services.iter();
        let held = services.filter(|(_, ordered)| ordered.holder.may_order(now).is_some());
        let held: Vec<ServiceId> = held.map(|(service, _)| *service).collect();
        let engines = view.endpoints();
        let engines: Vec<&Endpoint> = engines.filter(|e| held.contains(&e.service)).collect();
        for endpoint in self.orders.reports.due(now, &engines) {
            tokio::spawn(probe::fetch_sweep_report(self.io.clone(), endpoint.clone()));
        }
    }

    /// Applies a polled engine's report, or records that it did not respond.
    pub(in crate::control) fn apply_sweep_report(
        &mut self,
        now: Moment,
        id: EndpointId,
        response: Option<probe::ReportResponse>,
    ) {
        let Some(response) = response else {
            self.orders.reports.record_no_response(now, id);
            return;
        };
        self.orders.reports.charge(response.bytes as u64);
        self.endpoints.apply_report(now, id, &response.report);
        let models = response.models.unwrap_or_default();
        self.orders
            .reports
            .record_report(id, response.report, models);
    }

    /// Records the models of an owned engine's report, which takes no extra
    /// request.
    pub(in crate::control) fn record_owned_report(
        &mut self,
        now: Moment,
        id: EndpointId,
        report: Report,
        models: Vec<String>,
    ) {
        // Only a lease's holder uses them; others would only use up memory.
        if self.orders.reports.engines.contains_key(&id) {
            self.orders.reports.record_request(now, id);
            self.orders.reports.record_report(id, report, models);
        }
    }
}

impl Reports {
    /// Returns the engines to poll now, those with orders first and then those not
    /// polled yet. Drops the state of engines not in `engines`.
    fn due<'e>(&mut self, now: Moment, engines: &[&'e Endpoint]) -> Vec<&'e Endpoint> {
        let refill = since(now, self.refilled).as_millis();
        let refill = u64::try_from(refill).unwrap_or(u64::MAX);
        let refill = refill.saturating_mul(SWEEP_BYTES_PER_SECOND) / 1000;
        self.allowance = self
            .allowance
            .saturating_add(refill)
            .min(MAX_SWEEP_BURST_BYTES);
        self.refilled = now;
        let present: BTreeSet<EndpointId> = engines.iter().map(|e| e.id).collect();
        self.engines.retain(|id, _| present.contains(id));
        let mut due: Vec<(bool, Option<Moment>, &Endpoint)> = Vec::new();
        for endpoint in engines {
            let engine = self.engines.entry(endpoint.id).or_default();
            let period = if engine.expedited {
                MIN_INTERVAL_AFTER_ORDER
            } else {
                MIN_REPORT_INTERVAL
            };
            if engine
                .last_request
                .is_none_or(|at| since(now, at) >= period)
            {
                due.push((!engine.expedited, engine.last_request, endpoint));
            }
        }
        due.sort_by_key(|(normal, last_request, endpoint)| (*normal, *last_request, endpoint.id));
        due.truncate(
            usize::try_from(self.allowance / ESTIMATED_REPORT_BYTES).unwrap_or(usize::MAX),
        );
        self.allowance -= due.len() as u64 * ESTIMATED_REPORT_BYTES;
        let due: Vec<&Endpoint> = due.into_iter().map(|(.., endpoint)| endpoint).collect();
        for endpoint in &due {
            self.record_request(now, endpoint.id);
        }
        due
    }

    /// Shortens the time to an engine's next report, because it got an order.
    pub(super) fn expedite(&mut self, id: EndpointId) {
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.expedited = true;
        }
    }

    /// Returns the service's endpoints in the form that the planner takes.
    pub(super) fn views(
        &self,
        now: Moment,
        service: ServiceId,
        policy: &Policy,
        view: &view::View,
    ) -> Vec<View> {
        view.endpoints()
            .filter(|endpoint| endpoint.service == service)
            .map(|endpoint| self.view(now, endpoint, policy))
            .collect()
    }

    fn view(&self, now: Moment, endpoint: &Endpoint, policy: &Policy) -> View {
        let engine = self.engines.get(&endpoint.id);
        let unresponsive = engine.and_then(|engine| engine.unresponsive_since);
        let unresponsive = unresponsive.is_some_and(|from| since(now, from) >= UNRESPONSIVE_GRACE);
        let report = engine.and_then(|engine| engine.report.as_ref());
        // Models of an earlier incarnation are no longer loaded.
        let report = report.filter(|r| r.report.incarnation >= endpoint.incarnation);
        let (reported_at, loaded) = match report {
            Some(reported) => (reported.report.taken, parse_models(&reported.models)),
            None => (Moment::ZERO, listed_models(endpoint, policy)),
        };
        View {
            id: endpoint.id,
            incarnation: endpoint.incarnation,
            standing: if unresponsive {
                Standing::Leaving
            } else {
                endpoint.standing
            },
            reported_at,
            loaded,
        }
    }

    /// Returns the name under which an engine reports a model.
    pub(super) fn model_name(&self, endpoint: EndpointId, model: ModelId) -> Option<&str> {
        let reported = self.engines.get(&endpoint)?.report.as_ref()?;
        let mut names = reported.models.iter().map(|model| split_model(model).0);
        names.find(|name| id::from_name(name) == model)
    }

    fn record_request(&mut self, now: Moment, id: EndpointId) {
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.last_request = Some(now);
        }
    }

    fn record_no_response(&mut self, now: Moment, id: EndpointId) {
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.unresponsive_since.get_or_insert(now);
        }
    }

    fn record_report(&mut self, id: EndpointId, report: Report, models: Vec<String>) {
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        engine.unresponsive_since = None;
        let old = engine.report.as_ref();
        let old = old.is_some_and(|old| {
            let known = &old.report;
            (report.incarnation, report.taken) < (known.incarnation, known.taken)
        });
        if old {
            return;
        }
        let changed = engine.report.as_ref().is_none_or(|r| r.models != models);
        engine.expedited &= !changed;
        engine.report = Some(Reported { report, models });
    }

    // Deducts a report's bytes beyond the estimate from the allowance.
    const fn charge(&mut self, bytes: u64) {
        self.allowance = self
            .allowance
            .saturating_sub(bytes.saturating_sub(ESTIMATED_REPORT_BYTES));
    }
}

// The list has no reliable information on weights. An engine that has not
// responded yet is assumed to have the wanted ones, so that nothing is reloaded
// because of the list alone.
fn listed_models(endpoint: &Endpoint, policy: &Policy) -> BTreeMap<ModelId, String> {
    let models = endpoint.models.iter();
    models
        .filter_map(|id| Some((*id, policy.models.get(id)?.weights.clone())))
        .collect()
}

// Parses a report's models, each `name@weights`.
fn parse_models(models: &[String]) -> BTreeMap<ModelId, String> {
    let parts = models.iter().map(|model| {
        let (name, weights) = split_model(model);
        (id::from_name(name), weights.to_owned())
    });
    parts.collect()
}

/// Splits a reported model into its name and its weights.
///
/// A name alone has unknown weights, which never equal the wanted ones.
pub(in crate::control) fn split_model(model: &str) -> (&str, &str) {
    model.split_once('@').unwrap_or((model, ""))
}
