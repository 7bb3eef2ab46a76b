//! Writes a bundle as YAML for an operator to edit.

use std::collections::BTreeMap;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Serialize;

use crate::schema::{Bundle, Class, Model, Operator, Route, Service, Workspace};

/// Returns YAML that parses to `bundle`, with all defaults written out.
///
/// # Panics
///
/// Panics if the bundle cannot be serialized, which is a bug: it contains only
/// plain values.
#[must_use]
pub fn write(bundle: &Bundle) -> String {
    let yaml = BundleYaml {
        fleet: &bundle.fleet.name,
        version: bundle.version,
        claim_window: duration(bundle.fleet.claim_window),
        operators: map(&bundle.operators, operator),
        classes: map(&bundle.classes, class),
        services: &bundle.services,
        models: &bundle.models,
        workspaces: &bundle.workspaces,
        routes: &bundle.routes,
    };
    serde_saphyr::to_string(&yaml).expect("a bundle holds plain values only")
}

#[derive(Serialize)]
struct BundleYaml<'a> {
    fleet: &'a str,
    version: u64,
    claim_window: String,
    operators: BTreeMap<&'a str, OperatorYaml>,
    classes: BTreeMap<&'a str, ClassYaml>,
    services: &'a BTreeMap<String, Service>,
    models: &'a BTreeMap<String, Model>,
    workspaces: &'a BTreeMap<String, Workspace>,
    routes: &'a [Route],
}

#[derive(Serialize)]
struct OperatorYaml {
    key: String,
}

#[derive(Serialize)]
struct ClassYaml {
    priority: u8,
    weight: f64,
    deadline: String,
    queue: bool,
}

fn map<T, U>(parts: &BTreeMap<String, T>, write: fn(&T) -> U) -> BTreeMap<&str, U> {
    let parts = parts.iter();
    parts
        .map(|(name, part)| (name.as_str(), write(part)))
        .collect()
}

fn operator(operator: &Operator) -> OperatorYaml {
    OperatorYaml {
        key: STANDARD.encode(operator.key.0),
    }
}

fn class(class: &Class) -> ClassYaml {
    ClassYaml {
        priority: class.priority,
        weight: class.weight,
        deadline: duration(class.deadline),
        queue: class.queue,
    }
}

fn duration(duration: Duration) -> String {
    if duration.subsec_millis() == 0 {
        format!("{}s", duration.as_secs())
    } else {
        format!("{}ms", duration.as_millis())
    }
}
