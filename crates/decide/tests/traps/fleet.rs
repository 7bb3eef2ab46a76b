//! Views, policies and requests of a small fleet, for the tests.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::id::{self, EndpointId, InstanceId};
use godwitpost_types::instance::Instance;
use godwitpost_types::policy::{Class, Kind, Policy, Service, Workspace};
use godwitpost_types::request::Request;

use godwitpost_decide::view::View;

pub const ZONES: [&str; 4] = ["sapporo", "asahikawa", "otaru", "kushiro"];
pub const MODEL: u64 = 7;

pub fn address() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

pub fn instance(index: usize) -> Instance {
    let name = format!("router-{index}");
    Instance {
        id: id::from_name(&name),
        name,
        incarnation: 1,
        zone: id::from_name(ZONES[index % 4]),
        region: 1,
        peer_address: address(),
        operators_address: address(),
        standing: Standing::Live,
    }
}

pub fn runner(index: usize) -> Endpoint {
    let name = format!("runner-{index}");
    Endpoint {
        id: id::from_name(&name),
        name,
        incarnation: 1,
        service: id::from_name("drafting"),
        models: BTreeSet::from([MODEL]),
        zone: id::from_name(ZONES[index % 4]),
        region: 1,
        address: address(),
        standing: Standing::Live,
    }
}

pub fn view(local: usize, instances: usize, runners: usize) -> Arc<View> {
    let local = instance(local).id;
    let instances = (0..instances).map(instance);
    Arc::new(View::new(local, instances, (0..runners).map(runner)))
}

pub fn policy() -> Arc<Policy> {
    let mut policy = Policy {
        version: 1,
        ..Policy::default()
    };
    for (name, priority, deadline) in [("order", 0, 5), ("draft", 2, 60)] {
        let class = Class {
            name: name.into(),
            priority,
            weight: 1.0,
            deadline: Duration::from_secs(deadline),
            queue: true,
        };
        policy.classes.insert(id::from_name(name), class);
    }
    let service = Service {
        name: "drafting".into(),
        kind: Kind::Engine,
        load_bound: 1.5,
        reuse: 1.0,
        slots: 4,
        checks_fencing: true,
    };
    policy.services.insert(id::from_name("drafting"), service);
    for name in ["otaru", "sounkyo"] {
        let workspace = Workspace {
            name: name.into(),
            weight: 1.0,
            rate: 50.0,
            concurrency: 40,
            services: BTreeSet::from([id::from_name("drafting")]),
        };
        policy.workspaces.insert(id::from_name(name), workspace);
    }
    Arc::new(policy)
}

pub fn request(chat: u64) -> Request {
    Request {
        id: u128::from(chat),
        version: 1,
        workspace: id::from_name("otaru"),
        service: id::from_name("drafting"),
        model: MODEL,
        class: id::from_name("draft"),
        chat: id::scoped(chat, "chat"),
        prompt_tokens: 800,
        answer_tokens: 200,
        deadline: Duration::from_secs(1000),
        key: None,
        digest: u128::from(chat).to_le_bytes(),
    }
}

pub fn home(view: &View, request: &Request) -> (EndpointId, InstanceId) {
    let pool = godwitpost_decide::view::Pool::for_request(request);
    let endpoint = view.ranked(pool, request.chat, 0).next().expect("a home");
    (endpoint, view.owner(endpoint))
}
