//! Converts a checked bundle to the policy that routing decisions use.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use godwitpost_types::id;
use godwitpost_types::policy::{self, Policy};

use crate::schema::{Bundle, Class, Kind, Model, Route, Service, Workspace};

/// Returns the policy of a bundle that passed [`check`](crate::check).
#[must_use]
pub fn bundle(bundle: &Bundle) -> Policy {
    Policy {
        version: bundle.version,
        claim_window: bundle.fleet.claim_window,
        classes: section(&bundle.classes, class),
        services: section(&bundle.services, service),
        models: section(&bundle.models, model),
        workspaces: section(&bundle.workspaces, workspace),
        routes: routes(&bundle.routes),
    }
}

/// Returns the policy of one workspace.
#[must_use]
pub fn workspace(name: &str, workspace: &Workspace) -> policy::Workspace {
    policy::Workspace {
        name: name.to_owned(),
        weight: workspace.weight,
        rate: workspace.rate,
        concurrency: workspace.concurrency,
        services: workspace
            .services
            .iter()
            .map(|name| id::from_name(name))
            .collect(),
    }
}

fn section<T, U>(parts: &BTreeMap<String, T>, resolve: fn(&str, &T) -> U) -> BTreeMap<u64, U> {
    parts
        .iter()
        .map(|(name, part)| (id::from_name(name), resolve(name, part)))
        .collect()
}

fn class(name: &str, class: &Class) -> policy::Class {
    policy::Class {
        name: name.to_owned(),
        priority: class.priority,
        weight: class.weight,
        deadline: class.deadline,
        queue: class.queue,
    }
}

fn service(name: &str, service: &Service) -> policy::Service {
    policy::Service {
        name: name.to_owned(),
        kind: match service.kind {
            Kind::Engine => policy::Kind::Engine,
            Kind::Plain => policy::Kind::Plain,
        },
        load_bound: service.load_bound,
        reuse: service.reuse,
        slots: service.slots,
        checks_fencing: service.checks_fencing,
    }
}

fn model(name: &str, model: &Model) -> policy::Model {
    policy::Model {
        name: name.to_owned(),
        service: id::from_name(&model.service),
        weights: model.weights.clone(),
        replicas: model.replicas,
        answer_tokens: model.answer_tokens,
    }
}

fn routes(routes: &[Route]) -> Vec<policy::Route> {
    let mut routes = routes.iter().map(route).collect::<Vec<_>>();
    routes.sort_by_key(|route| std::cmp::Reverse(route.path.len()));
    routes
}

fn route(route: &Route) -> policy::Route {
    policy::Route {
        path: route.path.clone(),
        methods: route.methods.clone(),
        service: id::from_name(&route.service),
        class: id::from_name(&route.class),
        unrepeatable: route.unrepeatable,
    }
}
