//! Views, policies and requests of any size.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use godwitpost_decide::view::View;
use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::id;
use godwitpost_types::instance::Instance;
use godwitpost_types::policy::{Class, Kind, Policy, Service, Workspace};
use godwitpost_types::request::Request;

use crate::letter::{REGIONS, ZONES};

const SERVICE: &str = "drafting";
const CLASS: &str = "draft";
const WORKSPACE: &str = "otaru";

/// Returns the id of one of some models.
#[must_use]
pub fn model(index: usize) -> u64 {
    id::from_name(&format!("model-{index}"))
}

/// Returns an instance; its zone follows from its index.
#[must_use]
pub fn instance(index: usize) -> Instance {
    let name = format!("router-{index}");
    Instance {
        id: id::from_name(&name),
        name,
        incarnation: 1,
        zone: zone(index),
        region: region(index),
        peer_address: nowhere(),
        operators_address: nowhere(),
        standing: Standing::Live,
    }
}

/// Returns an endpoint that has one of `models` loaded.
#[must_use]
pub fn endpoint(index: usize, models: usize) -> Endpoint {
    let name = format!("runner-{index}");
    Endpoint {
        id: id::from_name(&name),
        name,
        incarnation: 1,
        service: id::from_name(SERVICE),
        models: BTreeSet::from([model(index % models)]),
        zone: zone(index),
        region: region(index),
        address: nowhere(),
        standing: Standing::Live,
    }
}

/// Returns the view of the first of some instances.
#[must_use]
pub fn view(instances: usize, endpoints: usize, models: usize) -> Arc<View> {
    let all = (0..instances).map(instance);
    let runners = (0..endpoints).map(|index| endpoint(index, models));
    Arc::new(View::new(instance(0).id, all, runners))
}

/// Returns a policy that never refuses.
#[must_use]
pub fn policy() -> Arc<Policy> {
    let mut policy = Policy {
        version: 1,
        ..Policy::default()
    };
    let class = Class {
        name: CLASS.into(),
        priority: 0,
        weight: 1.0,
        deadline: Duration::from_mins(1),
        queue: true,
    };
    policy.classes.insert(id::from_name(CLASS), class);
    let service = Service {
        name: SERVICE.into(),
        kind: Kind::Engine,
        load_bound: 1e9,
        reuse: 1.0,
        slots: u32::MAX,
        checks_fencing: true,
    };
    policy.services.insert(id::from_name(SERVICE), service);
    let workspace = Workspace {
        name: WORKSPACE.into(),
        weight: 1.0,
        rate: 1e9,
        concurrency: u32::MAX,
        services: BTreeSet::from([id::from_name(SERVICE)]),
    };
    policy
        .workspaces
        .insert(id::from_name(WORKSPACE), workspace);
    Arc::new(policy)
}

/// Returns the request of one chat.
#[must_use]
pub fn request(chat: u64, models: usize) -> Request {
    let number = usize::try_from(chat).unwrap_or(0);
    Request {
        id: u128::from(chat),
        version: 1,
        workspace: id::from_name(WORKSPACE),
        service: id::from_name(SERVICE),
        model: model(number % models),
        class: id::from_name(CLASS),
        chat: id::scoped(chat, "chat"),
        prompt_tokens: 800,
        answer_tokens: 376,
        deadline: Duration::from_hours(1),
        key: None,
        digest: u128::from(chat).to_le_bytes(),
    }
}

fn zone(index: usize) -> u64 {
    id::from_name(&format!("zone-{}", index % ZONES))
}

fn region(index: usize) -> u64 {
    id::from_name(&format!("region-{}", index % ZONES % REGIONS))
}

fn nowhere() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
