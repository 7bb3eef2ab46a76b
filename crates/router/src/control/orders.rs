//! Leases and orders: brings engines to the models that the bundle wants.
//!
//! Each service with engines has one lease, and one instance, the rendezvous
//! winner among those live in its own view, tries to hold it. Two instances
//! whose views differ both try, and the log's order says who holds it. The
//! holder compares the bundle with the engines' reports through
//! `godwitpost_state::order` and sends each order under the lease's fencing
//! number, after a look at its own clock.
//!
//! The holder doesn't own most of the engines, so it asks them for reports
//! itself, at a bounded rate (`reports.rs`). Nothing here waits: calls run as
//! tasks, and what they bring comes back as events.

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

/// How often a holder plans. At 3,300 engines and 35 models a plan sorts the
/// engines for each model, some tens of milliseconds in all.
const PLAN_PERIOD: Duration = Duration::from_secs(2);

/// How long a new bundle version is in force before a model that it dropped is
/// unloaded. The version is in force everywhere within 6 s; requests that came
/// in under the last one get the rest to end.
const UNLOAD_DELAY: Duration = Duration::from_secs(30);

/// What a service's share of the weight store is taken to be.
///
/// The store's rate isn't known here, and engines repeat a refused pull by
/// themselves. Two loads under way bound what a service asks of the store; a
/// refused one stays under way, so while the store refuses no more start.
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

/// One service that engines are ordered for.
#[derive(Debug)]
struct ServiceOrders {
    holder: Holder,
    planner: Planner,
    fence: Option<Offset>,
    last_plan: Moment,
    logged_blocked: Vec<String>,
}

/// What came of an order.
#[derive(Debug)]
pub(crate) enum SendResult {
    /// The engine took it.
    Accepted,
    /// The engine has obeyed a greater fencing number.
    FenceRefused(Option<Offset>),
    /// Whether it arrived isn't known, or the engine refused it.
    Failed(String),
}

impl Control {
    /// Keeps the leases, and gives the orders that are due under them.
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

    /// Gives up all leases, because this instance leaves.
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
            // One that is not wanted any more is kept until it has released.
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
                // The next look comes soon enough.
                Next::Wait(_) => break,
            }
        }
        ordered.update_fence(now, service);
    }

    /// Takes the log's answer to a lease's call.
    pub(super) fn apply_lease_call(&mut self, now: Moment, service: ServiceId, call: Call) {
        let Some(ordered) = self.orders.services.get_mut(&service) else {
            return;
        };
        let holder = &mut ordered.holder;
        match call {
            Call::Appended(ticket, Ok(_)) => holder.appended(now, ticket),
            Call::Appended(ticket, Err(error)) => {
                log::debug!(error:% = error; "lease not appended");
                let failure = if error.may_have_taken_effect() {
                    AppendFailure::Unknown
                } else {
                    AppendFailure::NotApplied
                };
                holder.append_failed(now, ticket, failure);
            }
            Call::Read(limit, Ok(page)) => holder.apply_page(now, &page_of(page, limit)),
            Call::Read(_, Err(error)) => {
                log::debug!(error:% = error; "leases not read");
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
                log::warn!(reason:% = reason; "wanted models can't be reached");
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

    /// Takes what came of an order.
    pub(super) fn apply_order_result(
        &mut self,
        service: ServiceId,
        endpoint: EndpointId,
        fence: Offset,
        sent: &SendResult,
    ) {
        match sent {
            SendResult::Accepted => return,
            // The lease's records say who holds it; until this instance has
            // read them its clock stops it.
            SendResult::FenceRefused(highest) => {
                log::warn!(fence = fence, highest:? = highest; "an engine refused an order's fencing number");
            }
            SendResult::Failed(reason) => log::warn!(reason:% = reason; "order not taken"),
        }
        if let Some(ordered) = self.orders.services.get_mut(&service)
            && ordered.fence == Some(fence)
        {
            ordered.planner.forget(endpoint);
        }
    }
}

impl ServiceOrders {
    // Logs a lease that came or went.
    fn update_fence(&mut self, now: Moment, service: ServiceId) {
        let fence = self.holder.may_order(now);
        if fence == self.fence {
            return;
        }
        match fence {
            Some(fence) => log::info!(service = service, fence = fence; "lease held"),
            None => log::info!(service = service; "lease given up"),
        }
        self.fence = fence;
    }
}

// Whether the local instance should hold a service's lease.
fn is_candidate(service: ServiceId, view: &view::View) -> bool {
    let instances = view.instances();
    let live = instances.filter(|instance| instance.standing == Standing::Live);
    hash::winner(service, live.map(|instance| instance.id)) == Some(view.local())
}

// What the planner has to know of the bundle: the service's models.
//
// An endpoint that serves a model beyond its replicas keeps it, and is rolled
// like the others. The failure that this guards against: routers place by the
// platform's list, which lags; an engine freed of a model would be sent
// requests for it for seconds, and refuse them.
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

// An engine is told names; one that the bundle dropped is known from reports.
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
    // Sends an order in a task of its own.
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
