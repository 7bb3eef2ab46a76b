//! Parses a bundle from YAML and reports all mistakes at once.

mod node;
mod reader;
#[cfg(test)]
pub(crate) mod tests;
mod write;

use std::collections::BTreeMap;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use godwitpost_types::id::Version;

use crate::blob::Digest;
use crate::check;
use crate::mistake::{Mistake, Mistakes};
use crate::schema::{Bundle, Class, Fleet, Kind, Model, Operator, Route, Service, Workspace};
use node::Node;
use reader::{Map, Notes};
pub use write::write;

/// Well above the time in which callers resend, which is minutes, and well
/// below the log's retention.
const DEFAULT_CLAIM_WINDOW: Duration = Duration::from_mins(15);

/// The limit only catches typing errors.
const MAX_RATE: f64 = 1e9;

/// Weights are ratios; six orders of magnitude are more than fair scheduling
/// can distinguish.
const WEIGHT_RANGE: (f64, f64) = (0.001, 1000.0);

/// Parses a bundle and checks all of it.
///
/// # Errors
///
/// Returns every mistake with its line, key path and remedy.
pub fn read(yaml: &str) -> Result<Bundle, Mistakes> {
    let tree =
        serde_saphyr::from_str::<Node>(yaml).map_err(|error| Mistakes(vec![syntax(&error)]))?;
    let mut notes = Notes::default();
    let bundle = bundle(tree, &mut notes);
    let mut mistakes = notes.mistakes;
    if mistakes.is_empty() {
        mistakes = check::bundle(&bundle);
        for mistake in &mut mistakes {
            mistake.line = reader::line_of(&notes.lines, &mistake.path);
        }
    }
    mistakes.sort();
    if mistakes.is_empty() {
        Ok(bundle)
    } else {
        Err(Mistakes(mistakes))
    }
}

fn syntax(error: &serde_saphyr::Error) -> Mistake {
    let text = error.without_snippet().to_string();
    let mut mistake = Mistake::new("(source)", text, "mend the YAML at this place");
    mistake.line = error.location().map(|location| location.line());
    mistake
}

fn bundle(tree: Node, notes: &mut Notes) -> Bundle {
    let mut map = Map::new("", tree, notes);
    let bundle = Bundle {
        version: Version::from(map.integer("version", None, (1, u32::MAX), notes)),
        fleet: fleet(&mut map, notes),
        operators: section(&mut map, "operators", operator, notes),
        classes: section(&mut map, "classes", class, notes),
        services: section(&mut map, "services", service, notes),
        models: section(&mut map, "models", model, notes),
        workspaces: section(&mut map, "workspaces", workspace, notes),
        routes: routes(&mut map, notes),
    };
    map.finish(notes);
    bundle
}

fn fleet(map: &mut Map, notes: &mut Notes) -> Fleet {
    Fleet {
        name: map.text("fleet", "write the fleet's name", notes),
        claim_window: map.duration("claim_window", Some(DEFAULT_CLAIM_WINDOW), notes),
    }
}

fn section<T>(
    map: &mut Map,
    key: &'static str,
    read: fn(&mut Map, &mut Notes) -> T,
    notes: &mut Notes,
) -> BTreeMap<String, T> {
    let path = map.path(key);
    let Some(node) = map.take(key) else {
        return BTreeMap::new();
    };
    let entries = Map::new(&path, node, notes)
        .into_entries()
        .collect::<Vec<_>>();
    entries
        .into_iter()
        .map(|(name, path, node)| {
            let mut map = Map::new(&path, node, notes);
            let value = read(&mut map, notes);
            map.finish(notes);
            (name, value)
        })
        .collect()
}

fn operator(map: &mut Map, notes: &mut Notes) -> Operator {
    let remedy = "write the public key that keygen printed, in base64";
    let read = |node: &Node| match node {
        Node::Text(text) => public_key(text),
        _ => None,
    };
    Operator {
        key: map.read("key", None, Digest::ZERO, remedy, read, notes),
    }
}

fn public_key(text: &str) -> Option<Digest> {
    let bytes = STANDARD.decode(text).ok()?;
    <[u8; 32]>::try_from(bytes).ok().map(Digest)
}

fn class(map: &mut Map, notes: &mut Notes) -> Class {
    let priority = map.integer("priority", None, (0, u32::from(u8::MAX)), notes);
    Class {
        priority: u8::try_from(priority).unwrap_or(u8::MAX),
        weight: map.number("weight", Some(1.0), WEIGHT_RANGE, notes),
        deadline: map.duration("deadline", None, notes),
        queue: map.flag("queue", true, notes),
    }
}

fn service(map: &mut Map, notes: &mut Notes) -> Service {
    let kind = |node: &Node| match node {
        Node::Text(text) if text == "engine" => Some(Kind::Engine),
        Node::Text(text) if text == "plain" => Some(Kind::Plain),
        _ => None,
    };
    Service {
        kind: map.read(
            "kind",
            None,
            Kind::Plain,
            "write engine or plain",
            kind,
            notes,
        ),
        load_bound: map.number("load_bound", Some(2.0), (1.0, 100.0), notes),
        reuse: map.number("reuse", Some(0.5), (0.0, 1.0), notes),
        slots: map.integer("slots", None, (1, 65_536), notes),
        checks_fencing: map.flag("checks_fencing", false, notes),
    }
}

fn model(map: &mut Map, notes: &mut Notes) -> Model {
    Model {
        service: map.text("service", "write the name of an engine service", notes),
        weights: map.text("weights", "write the version as a quoted string", notes),
        replicas: map.integer("replicas", Some(1), (1, 65_536), notes),
        answer_tokens: map.integer("answer_tokens", Some(256), (1, 1_000_000), notes),
    }
}

fn workspace(map: &mut Map, notes: &mut Notes) -> Workspace {
    Workspace {
        weight: map.number("weight", Some(1.0), WEIGHT_RANGE, notes),
        rate: map.number("rate", None, (0.001, MAX_RATE), notes),
        concurrency: map.integer("concurrency", None, (1, 1_000_000_000), notes),
        services: map.texts("services", "write a list of service names", notes),
    }
}

fn routes(map: &mut Map, notes: &mut Notes) -> Vec<Route> {
    let path = map.path("routes");
    let items = match map.take("routes") {
        None => return Vec::new(),
        Some(Node::List(items)) => items,
        Some(other) => {
            let problem = format!("is {}", other.describe());
            notes.add(&path, problem, "write a list of routes");
            return Vec::new();
        }
    };
    let mut routes = Vec::new();
    for (index, item) in items.into_iter().enumerate() {
        let path = check::route_path(index);
        notes.lines.insert(path.clone(), item.referenced.line());
        let mut map = Map::new(&path, item.value, notes);
        routes.push(route(&mut map, notes));
        map.finish(notes);
    }
    routes
}

fn route(map: &mut Map, notes: &mut Notes) -> Route {
    Route {
        path: map.text("path", "write a path prefix such as /orders", notes),
        methods: map.texts("methods", "write a list of methods such as [POST]", notes),
        service: map.text("service", "write the name of a service", notes),
        class: map.text("class", "write the name of a class", notes),
        unrepeatable: map.flag("unrepeatable", false, notes),
    }
}
