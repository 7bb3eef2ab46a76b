//! The differences between two configurations.
//!
//! Entries are matched by their kind and name. Where several have one name, equal ones are
//! matched first and the others in the order of their fields, so the order of entries in
//! the documents doesn't matter.

use std::collections::{BTreeMap, BTreeSet};

use godwitpost_types::id::RegionId;

use super::finding::display_time;
use super::{Document, Finding, ListedWorkspace, Place, Problem};
use crate::policy::{Engine, Kind, Ramp, Route, Service};

// The fields of an entry and their values as reports show them.
type Fields = BTreeMap<&'static str, String>;

// An entry of a configuration. It has no `Debug` output, since that would contain keys.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    fields: Fields,
    keys: BTreeSet<String>,
}

/// Returns the differences of a document from the one in force, sorted by place.
#[must_use]
pub fn changes(in_force: &Document, document: &Document) -> Vec<Finding> {
    let mut before = entries(in_force);
    let mut after = entries(document);
    let places: BTreeSet<Place> = before.keys().chain(after.keys()).cloned().collect();
    let mut findings: Vec<Finding> = places
        .iter()
        .flat_map(|place| {
            let old = before.remove(place).unwrap_or_default();
            let new = after.remove(place).unwrap_or_default();
            entry_changes(place, old, new)
        })
        .collect();
    findings.sort();
    findings
}

fn entry_changes(place: &Place, mut old: Vec<Entry>, mut new: Vec<Entry>) -> Vec<Finding> {
    remove_equal(&mut old, &mut new);
    old.sort();
    new.sort();
    let count = old.len().max(new.len());
    (0..count)
        .flat_map(|index| problems(old.get(index), new.get(index)))
        .map(|problem| Finding::new(place.clone(), problem))
        .collect()
}

fn remove_equal(old: &mut Vec<Entry>, new: &mut Vec<Entry>) {
    old.retain(|entry| {
        let equal = new.iter().position(|other| other == entry);
        if let Some(index) = equal {
            new.swap_remove(index);
        }
        equal.is_none()
    });
}

fn problems(old: Option<&Entry>, new: Option<&Entry>) -> Vec<Problem> {
    let mut problems = match (old, new) {
        (Some(old), Some(new)) => field_changes(&old.fields, &new.fields),
        (None, _) => vec![Problem::Added],
        (_, None) => vec![Problem::Removed],
    };
    let no_keys = BTreeSet::new();
    let keys_of = |entry: Option<&Entry>| entry.map_or(no_keys.clone(), |entry| entry.keys.clone());
    problems.extend(key_change(&keys_of(old), &keys_of(new)));
    problems
}

fn field_changes(old: &Fields, new: &Fields) -> Vec<Problem> {
    let changed = old.iter().filter_map(|(field, before)| {
        let after = new.get(field)?;
        (before != after).then(|| Problem::Changed {
            field,
            before: before.clone(),
            after: after.clone(),
        })
    });
    changed.collect()
}

fn key_change(old: &BTreeSet<String>, new: &BTreeSet<String>) -> Option<Problem> {
    let added = new.difference(old).count();
    let removed = old.difference(new).count();
    (added + removed > 0).then_some(Problem::KeysChanged { added, removed })
}

fn entries(document: &Document) -> BTreeMap<Place, Vec<Entry>> {
    let mut entries = BTreeMap::<Place, Vec<Entry>>::new();
    let mut add = |place, fields, keys| {
        let list = entries.entry(place).or_default();
        list.push(Entry { fields, keys });
    };
    add(
        Place::Configuration,
        whole_fields(document),
        BTreeSet::new(),
    );
    add(Place::Limits, limit_fields(document), BTreeSet::new());
    for route in &document.content.routes {
        let place = Place::Route(route.name.clone());
        add(place, route_fields(route, document), BTreeSet::new());
    }
    for service in document.content.services.values() {
        let place = Place::Service(service.name.clone());
        add(place, service_fields(service), BTreeSet::new());
    }
    for listed in &document.workspaces {
        let place = Place::Workspace(listed.workspace.name.clone());
        let fields = workspace_fields(listed, document);
        add(place, fields, listed.keys.clone());
    }
    entries
}

fn whole_fields(document: &Document) -> Fields {
    let required = document.content.keys.is_some();
    Fields::from([("keys required", yes_or_no(required))])
}

fn limit_fields(document: &Document) -> Fields {
    let limits = document.content.limits.unwrap_or_default();
    Fields::from([
        ("largest head", format!("{} bytes", limits.head_bytes)),
        ("largest body", format!("{} bytes", limits.body_bytes)),
        ("head time", display_time(limits.head_time)),
    ])
}

fn route_fields(route: &Route, document: &Document) -> Fields {
    let max_pause = route.max_pause.map_or_else(none, display_time);
    Fields::from([
        ("host", format!("{:?}", route.host)),
        ("prefix", format!("{:?}", route.prefix)),
        ("kind", display_kind(route.kind)),
        ("time-out", display_time(route.timeout)),
        ("objective", display_time(route.objective)),
        ("longest pause", max_pause),
        ("attempts", route.attempts.to_string()),
        ("priority", route.rank.to_string()),
        ("open without a key", yes_or_no(route.open)),
        ("affinity", yes_or_no(route.affinity)),
        ("targets", display_targets(route, document)),
        ("regions", display_regions(&route.homes, document)),
    ])
}

fn service_fields(service: &Service) -> Fields {
    Fields::from([
        ("connections", service.connections.to_string()),
        ("warm-up", service.ramp.map_or_else(none, display_ramp)),
        ("engine", service.engine.map_or_else(none, display_engine)),
    ])
}

fn workspace_fields(listed: &ListedWorkspace, document: &Document) -> Fields {
    let workspace = &listed.workspace;
    let rank = workspace.rank.map_or_else(none, |rank| rank.to_string());
    Fields::from([
        ("priority", rank),
        ("regions", display_regions(&workspace.homes, document)),
    ])
}

fn display_kind(kind: Kind) -> String {
    kind.as_str().to_owned()
}

// Names are quoted, so that no two lists look alike.
fn display_targets(route: &Route, document: &Document) -> String {
    let targets = route.targets.iter();
    let mut targets: Vec<String> = targets
        .map(|target| format!("{:?} {}", document.name(target.service), target.weight))
        .collect();
    targets.sort();
    targets.join(", ")
}

fn display_regions(regions: &BTreeSet<RegionId>, document: &Document) -> String {
    if regions.is_empty() {
        return "all".to_owned();
    }
    let regions = regions.iter();
    let mut names: Vec<String> = regions
        .map(|id| format!("{:?}", document.name(*id)))
        .collect();
    names.sort();
    names.join(", ")
}

fn display_ramp(ramp: Ramp) -> String {
    let spacing = display_time(ramp.spacing);
    let time = display_time(ramp.time);
    format!("{time} with {spacing} between requests")
}

fn display_engine(engine: Engine) -> String {
    let Engine {
        slots,
        memory_tokens,
        event_tokens,
    } = engine;
    format!("{slots} slots, {memory_tokens} tokens of memory, {event_tokens} tokens in an event")
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

fn none() -> String {
    "none".to_owned()
}
