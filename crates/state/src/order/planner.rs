//! Plans the orders for the endpoints of one pool.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::Standing;
use godwitpost_types::hash;
use godwitpost_types::id::{EndpointId, Incarnation, ModelId, Offset, ServiceId};
use godwitpost_types::policy::{Model, Policy};

/// How long an order counts as in flight before it may be sent again.
///
/// An endpoint needs a minute or two to fetch weights from a store that limits
/// rates.
pub const ORDER_TIMEOUT: Duration = Duration::from_mins(5);

/// How long a new holder waits before its first order.
///
/// An endpoint that ignores fencing numbers executes whichever order arrives
/// last. The former holder sent its last order before its lease expired. The
/// delay covers the transit of that order and the lag of the reports that show
/// its effect.
pub const FIRST_ORDER_DELAY: Duration = Duration::from_secs(10);

/// An endpoint's state as last reported, the planner's input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The endpoint.
    pub id: EndpointId,
    /// The endpoint's incarnation; orders in flight are dropped when it changes.
    pub incarnation: Incarnation,
    /// Whether the endpoint may get requests.
    pub standing: Standing,
    /// When the endpoint made the report.
    pub reported_at: Moment,
    /// The loaded models, with the version of their weights.
    pub loaded: BTreeMap<ModelId, String>,
}

/// One order to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The fencing number of the pool's lease.
    pub fence: Offset,
    /// What the endpoint is to do.
    pub action: Action,
}

/// The action that an order requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load a model, replacing any other weights of it.
    Load {
        /// The model.
        model: ModelId,
        /// The version of its weights.
        weights: String,
    },
    /// Unload a model and free its memory.
    Unload {
        /// The model.
        model: ModelId,
    },
}

/// Why the desired state of a model cannot be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Blocked {
    /// too few endpoints are live for the replicas of model {0}; add endpoints or lower its replicas
    TooFewEndpoints(ModelId),
    /// model {0} is served by one endpoint alone, which would stop serving while it loads; add an endpoint to the pool
    SoleEndpoint(ModelId),
}

/// Limits on the load orders of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of loads in flight; the pool's share of the weight
    /// store's capacity.
    pub max_concurrent_loads: usize,
    /// The minimum time between two load orders of the pool.
    pub min_load_interval: Duration,
}

/// The result of planning.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Orders to send, each only if the lease is still valid at that time.
    pub orders: Vec<Order>,
    /// Models whose desired state cannot be reached at present.
    pub blocked: Vec<Blocked>,
}

/// The planner of one pool.
#[derive(Debug)]
pub struct Planner {
    service: ServiceId,
    limits: Limits,
    fence: Offset,
    in_flight: BTreeMap<EndpointId, InFlightOrder>,
    next_load_at: Moment,
}

#[derive(Clone, Debug)]
struct InFlightOrder {
    incarnation: Incarnation,
    issued_at: Moment,
    action: Action,
}

impl Planner {
    /// Returns a planner for the endpoints of one service.
    #[must_use]
    pub const fn new(service: ServiceId, limits: Limits) -> Self {
        Self {
            service,
            limits,
            fence: 0,
            in_flight: BTreeMap::new(),
            next_load_at: Moment::ZERO,
        }
    }

    /// Returns the orders to send now under a lease held since `held_since`.
    pub fn plan(
        &mut self,
        now: Moment,
        fence: Offset,
        held_since: Moment,
        policy: &Policy,
        views: &[View],
    ) -> Plan {
        if fence != self.fence {
            self.fence = fence;
            self.in_flight.clear();
        }
        let mut plan = Plan::default();
        if since(now, held_since) < FIRST_ORDER_DELAY {
            return plan;
        }
        self.drop_finished(now, views);
        for (&id, model) in &policy.models {
            if model.service == self.service {
                self.plan_model(now, id, model, views, &mut plan);
            }
        }
        self.plan_unloads(now, policy, views, &mut plan);
        plan
    }

    /// Drops the order in flight to an endpoint, because it was not accepted.
    pub fn forget(&mut self, endpoint: EndpointId) {
        self.in_flight.remove(&endpoint);
    }

    // Drops orders in flight that are done, timed out, or lost because their
    // endpoint restarted or is gone.
    fn drop_finished(&mut self, now: Moment, views: &[View]) {
        self.in_flight.retain(|id, order| {
            let Some(view) = views.iter().find(|view| view.id == *id) else {
                return false;
            };
            view.incarnation == order.incarnation
                && since(now, order.issued_at) < ORDER_TIMEOUT
                && !is_done(&order.action, view)
        });
    }

    fn plan_model(
        &mut self,
        now: Moment,
        id: ModelId,
        model: &Model,
        views: &[View],
        plan: &mut Plan,
    ) {
        let desired = target_endpoints(id, model, views);
        if desired.len() < model.replicas as usize {
            plan.blocked.push(Blocked::TooFewEndpoints(id));
        }
        let missing: Vec<&View> = desired
            .into_iter()
            .filter(|view| view.loaded.get(&id) != Some(&model.weights))
            .filter(|view| !self.in_flight.contains_key(&view.id))
            .collect();
        // Endpoints without the model go first, because they add capacity. An
        // endpoint with other weights of the model does not serve it while
        // loading.
        let (stale, fresh): (Vec<&View>, Vec<&View>) = missing
            .into_iter()
            .partition(|view| view.loaded.contains_key(&id));
        for view in fresh {
            self.issue_load(now, id, model, view, plan);
        }
        for view in stale {
            if self.serving_count(id, views) > min_serving(model) {
                self.issue_load(now, id, model, view, plan);
            } else if !self.is_loading(id) {
                self.issue_spare_load(now, id, model, views, plan);
            }
        }
    }

    // Loads a model on one more endpoint when too few serve it for a reload. An
    // endpoint with the old weights is replaced once the additional one serves.
    fn issue_spare_load(
        &mut self,
        now: Moment,
        id: ModelId,
        model: &Model,
        views: &[View],
        plan: &mut Plan,
    ) {
        let spare = views
            .iter()
            .filter(|view| usable(view) && !view.loaded.contains_key(&id))
            .filter(|view| !self.in_flight.contains_key(&view.id))
            .max_by_key(|view| hash::score(id, view.id));
        match spare {
            Some(view) => self.issue_load(now, id, model, view, plan),
            None => plan.blocked.push(Blocked::SoleEndpoint(id)),
        }
    }

    fn issue_load(
        &mut self,
        now: Moment,
        id: ModelId,
        model: &Model,
        view: &View,
        plan: &mut Plan,
    ) {
        let loads = self
            .in_flight
            .values()
            .filter(|order| order.is_load())
            .count();
        if loads >= self.limits.max_concurrent_loads || now < self.next_load_at {
            return;
        }
        self.next_load_at = now + self.limits.min_load_interval;
        let action = Action::Load {
            model: id,
            weights: model.weights.clone(),
        };
        self.issue(now, view, action, plan);
    }

    // Unloads models that the bundle no longer requires on an endpoint, once
    // enough other endpoints serve them.
    fn plan_unloads(&mut self, now: Moment, policy: &Policy, views: &[View], plan: &mut Plan) {
        // Computed once per model, since each computation sorts all endpoints.
        let targets: BTreeMap<ModelId, BTreeSet<EndpointId>> = policy
            .models
            .iter()
            .map(|(&id, model)| {
                (
                    id,
                    target_endpoints(id, model, views)
                        .iter()
                        .map(|v| v.id)
                        .collect(),
                )
            })
            .collect();
        for view in views.iter().filter(|view| usable(view)) {
            if self.in_flight.contains_key(&view.id) {
                continue;
            }
            let surplus = view.loaded.keys().copied().find(|id| {
                let Some(model) = policy.models.get(id) else {
                    return true;
                };
                !targets[id].contains(&view.id)
                    && self.serving_desired_count(*id, model, views) >= model.replicas as usize
            });
            if let Some(model) = surplus {
                self.issue(now, view, Action::Unload { model }, plan);
            }
        }
    }

    fn issue(&mut self, now: Moment, view: &View, action: Action, plan: &mut Plan) {
        let order = InFlightOrder {
            incarnation: view.incarnation,
            issued_at: now,
            action: action.clone(),
        };
        self.in_flight.insert(view.id, order);
        plan.orders.push(Order {
            endpoint: view.id,
            fence: self.fence,
            action,
        });
    }

    // Counts the endpoints that serve the model with any weights and have no
    // order in flight.
    fn serving_count(&self, id: ModelId, views: &[View]) -> usize {
        views
            .iter()
            .filter(|view| usable(view) && view.loaded.contains_key(&id))
            .filter(|view| !self.in_flight.contains_key(&view.id))
            .count()
    }

    fn is_loading(&self, id: ModelId) -> bool {
        let mut orders = self.in_flight.values();
        orders.any(|order| matches!(&order.action, Action::Load { model, .. } if *model == id))
    }

    fn serving_desired_count(&self, id: ModelId, model: &Model, views: &[View]) -> usize {
        views
            .iter()
            .filter(|view| usable(view) && view.loaded.get(&id) == Some(&model.weights))
            .filter(|view| !self.in_flight.contains_key(&view.id))
            .count()
    }
}

impl InFlightOrder {
    const fn is_load(&self) -> bool {
        matches!(self.action, Action::Load { .. })
    }
}

fn usable(view: &View) -> bool {
    view.standing == Standing::Live
}

fn is_done(action: &Action, view: &View) -> bool {
    match action {
        Action::Load { model, weights } => view.loaded.get(model) == Some(weights),
        Action::Unload { model } => !view.loaded.contains_key(model),
    }
}

// Returns the endpoints that should have a model. They are chosen by rendezvous
// hashing, so that a change of one endpoint moves one replica. Endpoints that
// have the model come first, those with the desired weights before others, so
// that no replica is moved only because an endpoint joined.
fn target_endpoints<'a>(id: ModelId, model: &Model, views: &'a [View]) -> Vec<&'a View> {
    let mut ranked: Vec<&View> = views.iter().filter(|view| usable(view)).collect();
    ranked.sort_by_key(|view| {
        let loaded = view.loaded.get(&id);
        let has = (loaded == Some(&model.weights), loaded.is_some());
        std::cmp::Reverse((has, hash::score(id, view.id), view.id))
    });
    ranked.truncate(model.replicas as usize);
    ranked
}

// Returns how many endpoints must keep serving while others load new weights:
// three in four, and at least one.
fn min_serving(model: &Model) -> usize {
    let replicas = model.replicas as usize;
    (replicas - replicas.div_ceil(4)).max(1)
}

#[cfg(test)]
mod tests;
