//! Plans the orders of one pool.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::Standing;
use godwitpost_types::hash;
use godwitpost_types::id::{EndpointId, Incarnation, ModelId, Offset, ServiceId};
use godwitpost_types::policy::{Model, Policy};

/// How long an order counts as under way before it is given again.
///
/// A runner pulls weights for a minute or two at a store that limits rates.
pub const ORDER_TIMEOUT: Duration = Duration::from_mins(5);

/// How long a new holder waits before its first order.
///
/// An endpoint that ignores fencing numbers obeys whoever spoke last. A
/// predecessor's last order left within its lease's margin, and this covers
/// its way and the lag of the reports that show it.
pub const FIRST_ORDER_DELAY: Duration = Duration::from_secs(10);

/// What an endpoint reports, as the planner sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The endpoint.
    pub id: EndpointId,
    /// Its life; orders under way end with it.
    pub incarnation: Incarnation,
    /// Whether it may get work at all.
    pub standing: Standing,
    /// When it took the report.
    pub reported_at: Moment,
    /// The models it has loaded, with the version of their weights.
    pub loaded: BTreeMap<ModelId, String>,
}

/// One order to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The lease's fencing number.
    pub fence: Offset,
    /// What it is to do.
    pub action: Action,
}

/// What an order asks of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// To load a model, in place of other weights of it.
    Load {
        /// The model.
        model: ModelId,
        /// The version of its weights.
        weights: String,
    },
    /// To free what a model takes.
    Unload {
        /// The model.
        model: ModelId,
    },
}

/// A model whose wanted state can't be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Blocked {
    /// too few endpoints are live for the replicas of model {0}; add endpoints or lower its replicas
    TooFewEndpoints(ModelId),
    /// model {0} is served by one endpoint alone, which would stop serving while it loads; add an endpoint to the pool
    SoleEndpoint(ModelId),
}

/// Limits of a pool's orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Loads of the pool that may be under way at once; a holder's share of
    /// what the weight store serves.
    pub max_concurrent_loads: usize,
    /// The least time between two load orders of the pool.
    pub min_load_interval: Duration,
}

/// What to do now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Orders to send, each only while the lease allows it.
    pub orders: Vec<Order>,
    /// What can't be reached as things are.
    pub blocked: Vec<Blocked>,
}

/// The planner of one pool.
#[derive(Debug)]
pub struct Planner {
    service: ServiceId,
    limits: Limits,
    fence: Offset,
    under_way: BTreeMap<EndpointId, UnderWay>,
    load_at: Moment,
}

#[derive(Clone, Debug)]
struct UnderWay {
    incarnation: Incarnation,
    since: Moment,
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
            under_way: BTreeMap::new(),
            load_at: Moment::ZERO,
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
            self.under_way.clear();
        }
        let mut plan = Plan::default();
        if since(now, held_since) < FIRST_ORDER_DELAY {
            return plan;
        }
        self.settle(now, views);
        for (&id, model) in &policy.models {
            if model.service == self.service {
                self.plan_model(now, id, model, views, &mut plan);
            }
        }
        self.plan_unloads(now, policy, views, &mut plan);
        plan
    }

    /// Forgets the order under way at an endpoint, because it was not taken.
    pub fn forget(&mut self, endpoint: EndpointId) {
        self.under_way.remove(&endpoint);
    }

    // Forgets orders that are done, lost with their endpoint, or overdue.
    fn settle(&mut self, now: Moment, views: &[View]) {
        self.under_way.retain(|id, under_way| {
            let Some(view) = views.iter().find(|view| view.id == *id) else {
                return false;
            };
            view.incarnation == under_way.incarnation
                && since(now, under_way.since) < ORDER_TIMEOUT
                && !done(&under_way.action, view)
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
        let wanted = homes(id, model, views);
        if wanted.len() < model.replicas as usize {
            plan.blocked.push(Blocked::TooFewEndpoints(id));
        }
        let missing: Vec<&View> = wanted
            .into_iter()
            .filter(|view| view.loaded.get(&id) != Some(&model.weights))
            .filter(|view| !self.under_way.contains_key(&view.id))
            .collect();
        // Endpoints without the model first: they add capacity, while one
        // that has other weights of it stops serving as it loads.
        let (stale, fresh): (Vec<&View>, Vec<&View>) = missing
            .into_iter()
            .partition(|view| view.loaded.contains_key(&id));
        for view in fresh {
            self.load(now, id, model, view, plan);
        }
        for view in stale {
            if self.serving(id, views) > least_serving(model) {
                self.load(now, id, model, view, plan);
            } else if !self.loading(id) {
                self.load_spare(now, id, model, views, plan);
            }
        }
    }

    // Loads a model beside the endpoint that alone serves it; that one is
    // freed once the other serves.
    fn load_spare(
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
            .filter(|view| !self.under_way.contains_key(&view.id))
            .max_by_key(|view| hash::score(id, view.id));
        match spare {
            Some(view) => self.load(now, id, model, view, plan),
            None => plan.blocked.push(Blocked::SoleEndpoint(id)),
        }
    }

    fn load(&mut self, now: Moment, id: ModelId, model: &Model, view: &View, plan: &mut Plan) {
        let loads = self.under_way.values().filter(|u| u.loads()).count();
        if loads >= self.limits.max_concurrent_loads || now < self.load_at {
            return;
        }
        self.load_at = now + self.limits.min_load_interval;
        let action = Action::Load {
            model: id,
            weights: model.weights.clone(),
        };
        self.give(now, view, action, plan);
    }

    // Frees models that the bundle no longer wants at an endpoint, once enough
    // others serve them.
    fn plan_unloads(&mut self, now: Moment, policy: &Policy, views: &[View], plan: &mut Plan) {
        // Once for each model: for each endpoint it would be a sort of all
        // endpoints for every one of them.
        let homes: BTreeMap<ModelId, BTreeSet<EndpointId>> = policy
            .models
            .iter()
            .map(|(&id, model)| (id, homes(id, model, views).iter().map(|v| v.id).collect()))
            .collect();
        for view in views.iter().filter(|view| usable(view)) {
            if self.under_way.contains_key(&view.id) {
                continue;
            }
            let surplus = view.loaded.keys().copied().find(|id| {
                let Some(model) = policy.models.get(id) else {
                    return true;
                };
                !homes[id].contains(&view.id)
                    && self.serving_wanted(*id, model, views) >= model.replicas as usize
            });
            if let Some(model) = surplus {
                self.give(now, view, Action::Unload { model }, plan);
            }
        }
    }

    fn give(&mut self, now: Moment, view: &View, action: Action, plan: &mut Plan) {
        let under_way = UnderWay {
            incarnation: view.incarnation,
            since: now,
            action: action.clone(),
        };
        self.under_way.insert(view.id, under_way);
        plan.orders.push(Order {
            endpoint: view.id,
            fence: self.fence,
            action,
        });
    }

    // Endpoints that serve the model, whichever weights, and keep serving it.
    fn serving(&self, id: ModelId, views: &[View]) -> usize {
        views
            .iter()
            .filter(|view| usable(view) && view.loaded.contains_key(&id))
            .filter(|view| !self.under_way.contains_key(&view.id))
            .count()
    }

    fn loading(&self, id: ModelId) -> bool {
        let mut under_way = self.under_way.values();
        under_way.any(|u| matches!(&u.action, Action::Load { model, .. } if *model == id))
    }

    fn serving_wanted(&self, id: ModelId, model: &Model, views: &[View]) -> usize {
        views
            .iter()
            .filter(|view| usable(view) && view.loaded.get(&id) == Some(&model.weights))
            .filter(|view| !self.under_way.contains_key(&view.id))
            .count()
    }
}

impl UnderWay {
    const fn loads(&self) -> bool {
        matches!(self.action, Action::Load { .. })
    }
}

fn usable(view: &View) -> bool {
    view.standing == Standing::Live
}

fn done(action: &Action, view: &View) -> bool {
    match action {
        Action::Load { model, weights } => view.loaded.get(model) == Some(weights),
        Action::Unload { model } => !view.loaded.contains_key(model),
    }
}

// Endpoints that should have a model: its rendezvous winners, so that a change
// of one endpoint moves one replica. Those that have it go first, the wanted
// weights before others: a replica isn't moved only because an endpoint joined.
fn homes<'a>(id: ModelId, model: &Model, views: &'a [View]) -> Vec<&'a View> {
    let mut ranked: Vec<&View> = views.iter().filter(|view| usable(view)).collect();
    ranked.sort_by_key(|view| {
        let loaded = view.loaded.get(&id);
        let has = (loaded == Some(&model.weights), loaded.is_some());
        std::cmp::Reverse((has, hash::score(id, view.id), view.id))
    });
    ranked.truncate(model.replicas as usize);
    ranked
}

// Endpoints that must go on serving while others load new weights: three in
// four, and always one.
fn least_serving(model: &Model) -> usize {
    let replicas = model.replicas as usize;
    (replicas - replicas.div_ceil(4)).max(1)
}

#[cfg(test)]
mod tests;
