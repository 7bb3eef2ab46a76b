//! Differences between two bundles, by entry.

use std::fmt;

use godwitpost_bundle::blob::Blob;
use godwitpost_bundle::delta::Delta;
use godwitpost_bundle::entry::{self, CLASS, Entries, FLEET, MODEL, OPERATOR, ROUTES, SERVICE};
use godwitpost_bundle::schema::{Bundle, Class, Fleet, Model, Operator, Route, Service, Workspace};

/// One entry that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// The entry's name.
    pub name: String,
    /// Its value before; `None` if it is new.
    pub old: Option<String>,
    /// Its value after; `None` if it was removed.
    pub new: Option<String>,
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = &self.name;
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "~ {name}\n    was {old}\n    is  {new}"),
            (Some(old), None) => write!(f, "- {name}\n    was {old}"),
            (None, Some(new)) => write!(f, "+ {name}\n    is  {new}"),
            (None, None) => write!(f, "  {name}"),
        }
    }
}

/// Returns the entries that differ, by name.
#[must_use]
pub fn between(old: &Bundle, new: &Bundle) -> Vec<Line> {
    let (old, new) = (entry::split(old), entry::split(new));
    let delta = Delta::between(&old, &new);
    let mut lines = delta
        .names()
        .map(|name| Line {
            name: name.to_owned(),
            old: text(&old, name),
            new: text(&new, name),
        })
        .collect::<Vec<_>>();
    lines.sort_by(|one, other| one.name.cmp(&other.name));
    lines
}

fn text(entries: &Entries, name: &str) -> Option<String> {
    entries.get(name).map(|blob| value(name, blob))
}

fn value(name: &str, blob: &Blob) -> String {
    let of = |prefix: &str| name.starts_with(prefix);
    match name {
        FLEET => shown::<Fleet>(name, blob),
        ROUTES => shown::<Vec<Route>>(name, blob),
        _ if of(OPERATOR) => shown::<Operator>(name, blob),
        _ if of(CLASS) => shown::<Class>(name, blob),
        _ if of(SERVICE) => shown::<Service>(name, blob),
        _ if of(MODEL) => shown::<Model>(name, blob),
        _ => shown::<Workspace>(name, blob),
    }
}

fn shown<T: serde::de::DeserializeOwned + fmt::Debug>(name: &str, blob: &Blob) -> String {
    entry::decode::<T>(name, blob)
        .map_or_else(|error| error.to_string(), |value| format!("{value:?}"))
}
