//! Reads typed values from the tree and collects mistakes instead of stopping
//! at the first.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::node::{Field, Node};
use crate::mistake::Mistake;

/// Mistakes found so far and the line of each key path.
#[derive(Debug, Default)]
pub struct Notes {
    /// The mistakes found.
    pub mistakes: Vec<Mistake>,
    /// The line of each key path, for the checks that follow.
    pub lines: BTreeMap<String, u64>,
}

impl Notes {
    /// Adds a mistake at `path`, with the line of that path.
    pub fn add(&mut self, path: &str, problem: impl Into<String>, remedy: impl Into<String>) {
        let mut mistake = Mistake::new(path, problem, remedy);
        mistake.line = line_of(&self.lines, path);
        self.mistakes.push(mistake);
    }
}

/// Returns the line of a path or of its nearest known ancestor.
#[must_use]
pub fn line_of(lines: &BTreeMap<String, u64>, path: &str) -> Option<u64> {
    let mut path = path;
    loop {
        if let Some(line) = lines.get(path) {
            return Some(*line);
        }
        path = path.rsplit_once('.')?.0;
    }
}

/// A map of the source, whose keys are removed as they are read.
///
/// [`Map::finish`] reports the remaining keys as mistakes.
#[derive(Debug)]
pub struct Map {
    path: String,
    fields: BTreeMap<String, Field>,
    known: Vec<&'static str>,
}

impl Map {
    /// Returns the map at `path`. If the node is not a map, adds a mistake and
    /// returns an empty map.
    pub fn new(path: &str, node: Node, notes: &mut Notes) -> Self {
        let fields = match node {
            Node::Map(fields) => fields,
            other => {
                let problem = format!("is {}", other.describe());
                notes.add(path, problem, "write a map of keys and values");
                BTreeMap::new()
            }
        };
        for (key, field) in &fields {
            notes.lines.insert(join(path, key), field.line);
        }
        Self {
            path: path.to_owned(),
            fields,
            known: Vec::new(),
        }
    }

    /// Returns every key with its path and value, for maps keyed by name.
    pub fn into_entries(self) -> impl Iterator<Item = (String, String, Node)> {
        let path = self.path;
        self.fields.into_iter().map(move |(key, field)| {
            let path = join(&path, &key);
            (key, path, field.node)
        })
    }

    /// Removes a key and returns its value; `None` if it is absent.
    pub fn take(&mut self, key: &'static str) -> Option<Node> {
        self.known.push(key);
        self.fields.remove(key).map(|field| field.node)
    }

    /// Returns the path of a key of this map.
    #[must_use]
    pub fn path(&self, key: &str) -> String {
        join(&self.path, key)
    }

    /// Reads a number within `[least, most]`.
    pub fn number(
        &mut self,
        key: &'static str,
        default: Option<f64>,
        (min, max): (f64, f64),
        notes: &mut Notes,
    ) -> f64 {
        let remedy = format!("write a number from {min} to {max}");
        let read = |node: &Node| match node {
            Node::Number(value) if (min..=max).contains(value) => Some(*value),
            _ => None,
        };
        self.read(key, default, min, &remedy, read, notes)
    }

    /// Reads an integer within `[least, most]`.
    pub fn integer(
        &mut self,
        key: &'static str,
        default: Option<u32>,
        (min, max): (u32, u32),
        notes: &mut Notes,
    ) -> u32 {
        let remedy = format!("write a whole number from {min} to {max}");
        let read = |node: &Node| match node {
            Node::Number(value) => whole(*value).filter(|value| (min..=max).contains(value)),
            _ => None,
        };
        self.read(key, default, min, &remedy, read, notes)
    }

    /// Reads a boolean.
    pub fn flag(&mut self, key: &'static str, default: bool, notes: &mut Notes) -> bool {
        let read = |node: &Node| match node {
            Node::Bool(value) => Some(*value),
            _ => None,
        };
        self.read(
            key,
            Some(default),
            default,
            "write true or false",
            read,
            notes,
        )
    }

    /// Reads a non-empty string.
    pub fn text(&mut self, key: &'static str, remedy: &str, notes: &mut Notes) -> String {
        let read = |node: &Node| match node {
            Node::Text(value) if !value.is_empty() => Some(value.clone()),
            _ => None,
        };
        self.read(key, None, String::new(), remedy, read, notes)
    }

    /// Reads a duration such as `500ms`, `5s`, `15m` or `1h`.
    pub fn duration(
        &mut self,
        key: &'static str,
        default: Option<Duration>,
        notes: &mut Notes,
    ) -> Duration {
        let read = |node: &Node| match node {
            Node::Text(value) => duration(value),
            _ => None,
        };
        let remedy = "write a duration above zero such as 500ms, 5s, 15m or 1h";
        self.read(key, default, Duration::ZERO, remedy, read, notes)
    }

    /// Reads a list of strings; an absent key gives an empty set.
    pub fn texts(
        &mut self,
        key: &'static str,
        remedy: &str,
        notes: &mut Notes,
    ) -> BTreeSet<String> {
        self.read(
            key,
            Some(BTreeSet::new()),
            BTreeSet::new(),
            remedy,
            texts,
            notes,
        )
    }

    /// Reads a key with `read`. If that fails, or if the key is absent and has
    /// no default, adds a mistake and returns `filler`.
    pub fn read<T>(
        &mut self,
        key: &'static str,
        default: Option<T>,
        filler: T,
        remedy: &str,
        read: impl Fn(&Node) -> Option<T>,
        notes: &mut Notes,
    ) -> T {
        let path = self.path(key);
        let (problem, value) = match (self.take(key), default) {
            (Some(node), _) => (format!("is {}", node.describe()), read(&node)),
            (None, default) => ("is missing".to_owned(), default),
        };
        value.unwrap_or_else(|| {
            notes.add(&path, problem, remedy);
            filler
        })
    }

    /// Adds a mistake for each key that was not read.
    pub fn finish(self, notes: &mut Notes) {
        for key in self.fields.keys() {
            let remedy = format!("remove it; known here: {}", self.known.join(", "));
            notes.add(&join(&self.path, key), "is not a known key", remedy);
        }
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

fn texts(node: &Node) -> Option<BTreeSet<String>> {
    let Node::List(items) = node else {
        return None;
    };
    items
        .iter()
        .map(|item| match &item.value {
            Node::Text(text) => Some(text.clone()),
            _ => None,
        })
        .collect()
}

/// Parses a positive integer with one of the units ms, s, m, h.
#[must_use]
pub fn duration(text: &str) -> Option<Duration> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let (digits, unit) = text.split_at(split);
    let count = digits.parse::<u32>().ok().filter(|count| *count > 0)?;
    match unit {
        "ms" => Some(Duration::from_millis(u64::from(count))),
        "s" => Some(Duration::from_secs(u64::from(count))),
        "m" => Some(Duration::from_secs(u64::from(count) * 60)),
        "h" => Some(Duration::from_secs(u64::from(count) * 3600)),
        _ => None,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the range is checked on the same line"
)]
fn whole(value: f64) -> Option<u32> {
    let fits = value.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&value);
    fits.then_some(value as u32)
}
