//! Validates a whole bundle: names, references and ranges.
//!
//! The same checks run in the operators' tool, which reports all mistakes at
//! once, and in every router's fold, so that a signed bundle with invalid
//! content never comes into force. The checks depend only on the bundle.
//! Changing them changes the format: instances with different checks would
//! disagree about which version is in force.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use godwitpost_types::id;

use crate::key;
use crate::mistake::Mistake;
use crate::schema::{Bundle, Class, Kind, Model, Operator, Route, Service, Workspace};

/// Names appear in headers, metric labels and log lines, so they are kept short.
const MAX_NAME_BYTES: usize = 64;

/// Returns every mistake in the bundle.
#[must_use]
pub fn bundle(bundle: &Bundle) -> Vec<Mistake> {
    let mut found = Vec::new();
    version(bundle, &mut found);
    operators(&bundle.operators, &mut found);
    check_names("classes", &bundle.classes, &mut found);
    check_names("services", &bundle.services, &mut found);
    check_names("models", &bundle.models, &mut found);
    check_names("workspaces", &bundle.workspaces, &mut found);
    for (name, value) in &bundle.classes {
        class(&format!("classes.{name}"), value, &mut found);
    }
    for (name, value) in &bundle.services {
        service(&format!("services.{name}"), value, &mut found);
    }
    for (name, value) in &bundle.models {
        model(
            &format!("models.{name}"),
            value,
            &bundle.services,
            &mut found,
        );
    }
    for (name, value) in &bundle.workspaces {
        let known = |service: &str| bundle.services.contains_key(service);
        workspace(name, value, known, &mut found);
    }
    for (index, value) in bundle.routes.iter().enumerate() {
        route(index, value, bundle, &mut found);
    }
    found
}

/// Returns the key path of the route at `index`.
#[must_use]
pub fn route_path(index: usize) -> String {
    format!("routes[{index}]")
}

/// Checks one workspace; `known` returns whether a service of that name exists.
pub fn workspace(
    name: &str,
    workspace: &Workspace,
    known: impl Fn(&str) -> bool,
    found: &mut Vec<Mistake>,
) {
    let path = format!("workspaces.{name}");
    check_positive(&path, "weight", workspace.weight, found);
    check_positive(&path, "rate", workspace.rate, found);
    if workspace.concurrency == 0 {
        found.push(Mistake::new(
            format!("{path}.concurrency"),
            "is 0",
            "write at least 1, or remove the workspace",
        ));
    }
    for service in &workspace.services {
        if !known(service) {
            found.push(unknown_reference(
                &format!("{path}.services"),
                "service",
                service,
            ));
        }
    }
}

/// Checks the length and the characters of one name.
pub fn name(path: &str, name: &str, found: &mut Vec<Mistake>) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let fits = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed);
    if !fits {
        found.push(Mistake::new(
            path,
            format!("the name {name:?} is not allowed"),
            format!("use 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' and '.'"),
        ));
    }
}

fn version(bundle: &Bundle, found: &mut Vec<Mistake>) {
    if bundle.version == 0 {
        found.push(Mistake::new("version", "is 0", "start with 1"));
    }
    name("fleet", &bundle.fleet.name, found);
    if bundle.fleet.claim_window.is_zero() {
        found.push(Mistake::new(
            "claim_window",
            "is zero",
            "write a duration such as 15m",
        ));
    }
}

fn operators(operators: &BTreeMap<String, Operator>, found: &mut Vec<Mistake>) {
    check_names("operators", operators, found);
    if operators.is_empty() {
        found.push(Mistake::new(
            "operators",
            "names nobody, so no later version could be signed",
            "name at least one operator with its public key",
        ));
    }
    for (name, operator) in operators {
        if !key::valid(operator.key) {
            found.push(Mistake::new(
                format!("operators.{name}.key"),
                "is not an Ed25519 public key",
                "write the public key that keygen printed, in base64",
            ));
        }
    }
}

fn check_names<T>(section: &str, map: &BTreeMap<String, T>, found: &mut Vec<Mistake>) {
    let mut ids = BTreeMap::new();
    for key in map.keys() {
        let path = format!("{section}.{key}");
        name(&path, key, found);
        if let Some(other) = ids.insert(id::from_name(key), key) {
            found.push(Mistake::new(
                path,
                format!("has the same id as {other}"),
                "rename one of the two",
            ));
        }
    }
}

fn class(path: &str, class: &Class, found: &mut Vec<Mistake>) {
    check_positive(path, "weight", class.weight, found);
    if class.deadline.is_zero() {
        found.push(Mistake::new(
            format!("{path}.deadline"),
            "is zero",
            "write a duration such as 5s",
        ));
    }
}

fn service(path: &str, service: &Service, found: &mut Vec<Mistake>) {
    if !(service.load_bound.is_finite() && service.load_bound >= 1.0) {
        found.push(Mistake::new(
            format!("{path}.load_bound"),
            format!("is {}", service.load_bound),
            "write a multiple of the mean load of at least 1",
        ));
    }
    if !(0.0..=1.0).contains(&service.reuse) {
        found.push(Mistake::new(
            format!("{path}.reuse"),
            format!("is {}", service.reuse),
            "write a number from 0 (skew alone) to 1 (cache reuse alone)",
        ));
    }
    if service.slots == 0 {
        found.push(Mistake::new(
            format!("{path}.slots"),
            "is 0",
            "write at least 1",
        ));
    }
}

fn model(
    path: &str,
    model: &Model,
    services: &BTreeMap<String, Service>,
    found: &mut Vec<Mistake>,
) {
    let path = format!("{path}.service");
    match services.get(&model.service) {
        None => found.push(unknown_reference(&path, "service", &model.service)),
        Some(service) if service.kind == Kind::Plain => found.push(Mistake::new(
            path,
            format!(
                "{} is a plain service, which loads no models",
                model.service
            ),
            "name a service of kind engine",
        )),
        Some(_) => {}
    }
}

fn route(index: usize, route: &Route, bundle: &Bundle, found: &mut Vec<Mistake>) {
    let path = route_path(index);
    if !route.path.starts_with('/') {
        found.push(Mistake::new(
            format!("{path}.path"),
            format!("{:?} does not start with /", route.path),
            "write a path prefix such as /orders",
        ));
    }
    if !bundle.services.contains_key(&route.service) {
        found.push(unknown_reference(
            &format!("{path}.service"),
            "service",
            &route.service,
        ));
    }
    if !bundle.classes.contains_key(&route.class) {
        found.push(unknown_reference(
            &format!("{path}.class"),
            "class",
            &route.class,
        ));
    }
    for method in &route.methods {
        if method.is_empty() || !method.chars().all(|c| c.is_ascii_uppercase()) {
            found.push(Mistake::new(
                format!("{path}.methods"),
                format!("{method:?} is not a method"),
                "write methods in capitals, such as POST",
            ));
        }
    }
    let earlier = &bundle.routes[..index];
    if let Some(other) = earlier.iter().position(|other| overlaps(other, route)) {
        found.push(Mistake::new(
            path,
            format!(
                "takes the same path and a same method as {}",
                route_path(other)
            ),
            "part their paths or methods",
        ));
    }
}

fn overlaps(one: &Route, other: &Route) -> bool {
    let methods = one.methods.is_empty()
        || other.methods.is_empty()
        || !one.methods.is_disjoint(&other.methods);
    one.path.trim_end_matches('/') == other.path.trim_end_matches('/') && methods
}

fn check_positive(path: &str, key: &str, value: f64, found: &mut Vec<Mistake>) {
    if !(value.is_finite() && value > 0.0) {
        found.push(Mistake::new(
            format!("{path}.{key}"),
            format!("is {value}"),
            "write a number above 0",
        ));
    }
}

fn unknown_reference(path: &str, what: &str, name: &str) -> Mistake {
    Mistake::new(
        path,
        format!("names the unknown {what} {name:?}"),
        format!("add the {what} or correct the name"),
    )
}
