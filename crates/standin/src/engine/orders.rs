//! Orders to an engine: load or unload a model, change role.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect;
use godwitpost_types::clock::Moment;
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;

use super::core::Core;
use crate::answer::{self, Answer};
use crate::faults::lock;

/// The pause after a failed pull.
const PULL_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The time allowed for one pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(10);

/// An order that an engine received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Order {
    /// When it arrived.
    pub at: Moment,
    /// Its fencing number.
    pub fence: u64,
    /// The requested action.
    pub wanted: OrderAction,
    /// Whether the engine accepted it.
    pub taken: bool,
}

/// The action of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderAction {
    /// Load a version of a model.
    Load {
        /// The model's name.
        model: String,
        /// The version of its weights.
        weights: String,
    },
    /// Unload a model, whatever its version.
    Unload {
        /// The model's name.
        model: String,
    },
    /// Change to a role, such as `prefill`.
    Role(String),
}

#[derive(Deserialize)]
struct OrderRequest {
    fence: u64,
    #[serde(flatten)]
    wanted: OrderAction,
}

/// The engine's models, role and highest fencing number.
#[derive(Debug)]
pub(super) struct State {
    pub(super) models: BTreeSet<String>,
    pub(super) role: String,
    pub(super) fence: u64,
    pub(super) received: Vec<Order>,
}

impl Core {
    pub(super) async fn order(&self, request: Request<Incoming>) -> Answer {
        let body = answer::read(request.into_body()).await?;
        let order: OrderRequest = match serde_json::from_slice(&body) {
            Ok(order) => order,
            Err(reason) => {
                return Ok(answer::error(StatusCode::BAD_REQUEST, &reason.to_string()));
            }
        };
        let ignore = self.faults.get().ignore_fencing;
        let mut state = lock(&self.state);
        if !state.orders.record(&order, self.clock.now(), ignore) {
            let highest = json!({ "fence": state.orders.fence });
            return Ok(answer::json(StatusCode::CONFLICT, &highest));
        }
        match order.wanted {
            OrderAction::Unload { model } => state.orders.unload(&model),
            OrderAction::Role(role) => state.orders.role = role,
            OrderAction::Load { model, weights } => {
                tokio::spawn(self.clone().load(model, weights));
            }
        }
        Ok(answer::json(StatusCode::ACCEPTED, &json!({})))
    }

    async fn load(self, model: String, weights: String) {
        if let Some(store) = self.settings.weights
            && !pull(store, &model, &weights).await
        {
            return;
        }
        sleep(self.settings.load_time).await;
        lock(&self.state).orders.load(&model, &weights);
    }
}

impl State {
    pub(super) fn new(models: BTreeSet<String>) -> Self {
        Self {
            models,
            role: "mixed".to_owned(),
            fence: 0,
            received: Vec::new(),
        }
    }

    /// Returns whether a model is loaded in some version.
    pub(super) fn serves(&self, model: &str) -> bool {
        self.models.iter().any(|loaded| name(loaded) == model)
    }

    /// Records an order and returns whether to execute it.
    fn record(&mut self, order: &OrderRequest, at: Moment, ignore_fencing: bool) -> bool {
        let taken = ignore_fencing || order.fence >= self.fence;
        self.fence = self.fence.max(order.fence);
        self.received.push(Order {
            at,
            fence: order.fence,
            wanted: order.wanted.clone(),
            taken,
        });
        taken
    }

    /// Loads a version of a model in place of any other version.
    fn load(&mut self, model: &str, weights: &str) {
        self.unload(model);
        self.models.insert(format!("{model}@{weights}"));
    }

    fn unload(&mut self, model: &str) {
        self.models.retain(|loaded| name(loaded) != model);
    }
}

fn name(version: &str) -> &str {
    version.split_once('@').map_or(version, |(name, _)| name)
}

/// Pulls weights, retrying until the store returns them or answers 404.
/// Returns whether they exist.
async fn pull(store: SocketAddr, model: &str, weights: &str) -> bool {
    let connector = connect::Connector::new(connect::Settings::default());
    loop {
        let body = Full::new(Bytes::new())
            .map_err(|never| match never {})
            .boxed_unsync();
        let path = format!("/v1/weights/{model}/{weights}");
        let Ok(request) = Request::get(path).body(body) else {
            return false;
        };
        match connector.send(store, request, PULL_TIMEOUT).await {
            Ok(response) if response.status() == StatusCode::OK => return true,
            Ok(response) if response.status() == StatusCode::NOT_FOUND => return false,
            Ok(_) | Err(_) => sleep(PULL_RETRY_PAUSE).await,
        }
    }
}
