//! Leases and orders: makes engines load the models that the bundle wants.
//!
//! Each service with engines has one lease. An instance tries to hold it if it
//! is the rendezvous winner among the instances that are live in its own view.
//! Two instances with different views may both try; the order of the log
//! decides which one holds the lease. The holder compares the bundle with the
//! engines' reports through `godwitpost_state::order`. It sends each order with
//! the lease's fencing number, after it has checked its clock.
//!
//! The holder doesn't own most of the engines, so it polls them for reports
//! itself, at a bounded rate (`reports.rs`). Nothing here blocks: calls run as
//! tasks, and their results come back as events.

mod lease;
mod reports;
mod send;

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_decide::view;
use godwitpost_state::claim::AppendFailure;
use godwitpost_state::lease::{Holder, Next};
use godwitpost_state::order::{Action, Limits, Order, Planner, View};
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::Standing;
use godwitpost_types::hash;
use godwitpost_types::id::{EndpointId, Offset, ServiceId, Version};
use godwitpost_types::policy::{Kind, Policy};

use serde_json::json;

use super::Control;
use super::batchers::page_of;
pub(crate) use lease::Call;
use reports::Reports;
pub(super) use reports::split_model;

/// Period of checks of leases and orders; loads take minutes.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Period of a holder's planning. A plan sorts the engines for each model; with
/// 3,300 engines and 35 models that takes some tens of milliseconds in all.
const PLAN_PERIOD: Duration = Duration::from_secs(2);

/// Delay between a new bundle version and unloading the models that it dropped.
/// The version is in force everywhere within 6 s; the rest is for requests that
/// were accepted under the previous version to end.
const UNLOAD_DELAY: Duration = Duration::from_secs(30);

/// Limits on a service's use of the weight store.
///
/// The store's rate isn't known here, and engines retry a refused pull by
/// themselves. At most two loads run at a time, which bounds a service's
/// requests to the store. A refused load still counts as running, so no more
/// loads start while the store refuses.
const PLANNER_LIMITS: Limits = Limits {
    max_concurrent_loads: 2,
    min_load_interval: Duration::from_secs(5),
};

/// Leases and orders of this instance.
#[derive(Debug, Default)]
pub(super) struct Orders {
    last_check: Moment,
    services: BTreeMap<ServiceId, ServiceOrders>,
    reports: Reports,
    version: Version,
    version_since: Moment,
}

/// Lease and orders of one service.
#[derive(Debug)]
struct ServiceOrders {
    holder: Holder,
    planner: Planner,
    fence: Option<Offset>,
    last_plan: Moment,
    logged_blocked: Vec<String>,
}

/// The result of sending an order.
#[derive(Debug)]
pub(crate) enum SendResult {
    /// The engine accepted the order.
    Accepted,
    /// The engine has already accepted a greater fencing number.
    FenceRefused(Option<Offset>),
    /// The engine refused the order, or it isn't known whether it arrived.
    Failed(String),
}

impl Control {
    /// Maintains the leases and sends the orders that are due under them.
    pub(super) fn run_orders(&mut self, now: Moment) {
        if since(now, self.orders.last_check) < CHECK_PERIOD {
            return;
        }
        self.orders.last_check = now;
        let snapshot = self.shared.snapshot();
        let Some(bundle) = snapshot.bundle.as_ref() else {
            return;
        };
        self.update_candidates(now, &bundle.policy, &snapshot.view);
        let services: Vec<ServiceId> = self.orders.services.keys().copied().collect();
        for &service in &services {
            self.pump_lease(now, service);
        }
        self.sweep_reports(now, &snapshot.view);
        for service in services {
            self.plan_orders(now, service, &bundle.policy, &snapshot.view);
        }
    }

    /// Releases all leases, because this instance is leaving.
    pub(super) fn release_leases(&mut self, now: Moment) {
        let services: Vec<ServiceId> = self.orders.services.keys().copied().collect();
        for service in services {
            if let Some(ordered) = self.orders.services.get_mut(&service) {
                ordered.holder.set_candidate(false);
            }
            self.pump_lease(now, service);
        }
    }

    fn update_candidates(&mut self, now: Moment, policy: &Policy, view: &view::View) {
        if self.orders.version != policy.version {
            self.orders.version = policy.version;
            self.orders.version_since = now;
        }
        for (&service, wanted) in &policy.services {
            if wanted.kind == Kind::Engine {
                let (own, incarnation) = (self.shared.local(), self.shared.settings.incarnation);
                let entry = self.orders.services.entry(service);
                entry.or_insert_with(|| ServiceOrders {
                    holder: Holder::new(service, own, incarnation),
                    planner: Planner::new(service, PLANNER_LIMITS),
                    fence: None,
                    last_plan: Moment::ZERO,
                    logged_blocked: Vec::new(),
                });
            }
        }
        let leaving = self.shared.is_leaving();
        self.orders.services.retain(|service, ordered| {
            let engines = policy.services.get(service);
            let wanted = engines.is_some_and(|service| service.kind == Kind::Engine);
            let candidate = wanted && !leaving && is_candidate(*service, view);
            ordered.holder.set_candidate(candidate);
            // A service that is no longer wanted stays until its lease is released.
            wanted || ordered.holder.held_since().is_some()
        });
    }

    fn pump_lease(&mut self, now: Moment, service: ServiceId) {
        let Some(ordered) = self.orders.services.get_mut(&service) else {
            return;
        };
        loop {
            match ordered.holder.next(now) {
                Next::Append { ticket, body } => {
                    tokio::spawn(lease::append(self.io.clone(), service, ticket, body));
                }
                Next::Read { from, limit } => {
                    tokio::spawn(lease::read(self.io.clone(), service, from, limit));
                }
                // The next periodic check is soon enough.
                Next::Wait(_) => break,
            }
        }
        ordered.update_fence(now, service);
    }

    /// Applies the log's response to a lease's call.
    pub(super) fn apply_lease_call(&mut self, now: Moment, service: ServiceId, call: Call) {
        let Some(ordered) = self.orders.services.get_mut(&service) else {
            return;
        };
        let holder = &mut ordered.holder;
        match call {
            Call::Appended(ticket, Ok(_)) => holder.appended(now, ticket),
            Call::Appended(ticket, Err(error)) => {
                log::debug!(error:% = error; "could not append a lease record to the log");
                let failure = if error.may_have_taken_effect() {
                    AppendFailure::Unknown
                } else {
                    AppendFailure::NotApplied
                };
                holder.append_failed(now, ticket, failure);
            }
            Call::Read(limit, Ok(page)) => holder.apply_page(now, &page_of(page, limit)),
            Call::Read(_, Err(error)) => {
                log::debug!(error:% = error; "could not read leases from the log");
                holder.read_failed(now);
            }
        }
        self.pump_lease(now, service);
    }

    fn plan_orders(&mut self, now: Moment, service: ServiceId, policy: &Policy, view: &view::View) {
        let orders = &mut self.orders;
        let Some(ordered) = orders.services.get_mut(&service) else {
            return;
        };
        if since(now, ordered.last_plan) < PLAN_PERIOD {
            return;
        }
        let (Some(fence), Some(since_held)) =
            (ordered.holder.may_order(now), ordered.holder.held_since())
        else {
            return;
        };
        ordered.last_plan = now;
        let views = orders.reports.views(now, service, policy, view);
        let policy = wanted_models(service, policy, &views);
        let plan = ordered
            .planner
            .plan(now, fence, since_held, &policy, &views);
        let blocked: Vec<String> = plan.blocked.iter().map(ToString::to_string).collect();
        if blocked != ordered.logged_blocked {
            for reason in &blocked {
                log::warn!(reason:% = reason; "can't load the models that the bundle wants");
            }
            ordered.logged_blocked = blocked;
        }
        for order in plan.orders {
            let unloads = matches!(order.action, Action::Unload { .. });
            if unloads && since(now, orders.version_since) < UNLOAD_DELAY {
                ordered.planner.forget(order.endpoint);
                continue;
            }
            let Some(body) = order_body(&order, &policy, &orders.reports) else {
                ordered.planner.forget(order.endpoint);
                continue;
            };
            self.io.spawn_order(now, service, &order, body, view);
            orders.reports.expedite(order.endpoint);
        }
    }

    /// Applies the result of an order.
    pub(super) fn apply_order_result(
        &mut self,
        service: ServiceId,
        endpoint: EndpointId,
        fence: Offset,
        sent: &SendResult,
    ) {
        match sent {
            SendResult::Accepted => return,
            // The lease's records say which instance holds it. Until this
            // instance has read them, its clock bounds how long it sends
            // orders.
            SendResult::FenceRefused(highest) => {
                log::warn!(fence = fence, highest:? = highest; "engine refused an order because of its fencing number");
            }
            SendResult::Failed(reason) => log::warn!(reason:% = reason; "order failed"),
        }
        if let Some(ordered) = self.orders.services.get_mut(&service)
            && ordered.fence == Some(fence)
        {
            ordered.planner.forget(endpoint);
        }
    }
}

impl ServiceOrders {
    // Updates the fencing number and logs if the lease was acquired or lost.
    fn update_fence(&mut self, now: Moment, service: ServiceId) {
        let fence = self.holder.may_order(now);
        if fence == self.fence {
            return;
        }
        match fence {
            Some(fence) => log::info!(service = service, fence = fence; "lease acquired"),
            None => log::info!(service = service; "lease no longer held"),
        }
        self.fence = fence;
    }
}

// Returns whether the local instance should hold a service's lease.
fn is_candidate(service: ServiceId, view: &view::View) -> bool {
    let instances = view.instances();
    let live = instances.filter(|instance| instance.standing == Standing::Live);
    hash::winner(service, live.map(|instance| instance.id)) == Some(view.local())
}

// Returns the part of the bundle that the planner needs: the service's models.
//
// Engines that serve a model beyond its number of replicas keep it and are
// updated like the others. Routers place requests by the platform's list, which
// lags; an engine that unloaded the model would get requests for it for seconds
// and refuse them.
fn wanted_models(service: ServiceId, policy: &Policy, views: &[View]) -> Policy {
    let models = policy.models.iter().filter(|(_, m)| m.service == service);
    let models = models.map(|(&id, model)| {
        let live = views.iter().filter(|view| view.standing == Standing::Live);
        let have = live.filter(|view| view.loaded.contains_key(&id)).count();
        let mut model = model.clone();
        model.replicas = model.replicas.max(u32::try_from(have).unwrap_or(u32::MAX));
        (id, model)
    });
    Policy {
        version: policy.version,
        models: models.collect(),
        ..Policy::default()
    }
}

// Orders name models. The name of a model that the bundle dropped is taken from
// the engine's report.
fn order_body(order: &Order, policy: &Policy, reports: &Reports) -> Option<serde_json::Value> {
    let body = match &order.action {
        Action::Load { model, weights } => {
            let model = &policy.models.get(model)?.name;
            json!({"fence": order.fence, "load": {"model": model, "weights": weights}})
        }
        Action::Unload { model } => {
            let model = reports.model_name(order.endpoint, *model)?;
            json!({"fence": order.fence, "unload": {"model": model}})
        }
    };
    Some(body)
}

impl super::Io {
    // Sends an order in its own task.
    fn spawn_order(
        &self,
        now: Moment,
        service: ServiceId,
        order: &Order,
        body: serde_json::Value,
        view: &view::View,
    ) {
        let Some(endpoint) = view.endpoint(order.endpoint).cloned() else {
            return;
        };
        log::info!(endpoint:% = endpoint.name, order:% = body; "order");
        let (io, fence) = (self.clone(), order.fence);
        tokio::spawn(send::send_order(io, now, service, endpoint, fence, body));
    }
}
