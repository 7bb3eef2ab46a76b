//! Extracts values from the tree and collects mistakes.

use std::fmt;
use std::time::Duration;

use serde_saphyr::Spanned;

use super::node::{Map, Node};

/// One mistake in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// The line in the file; 0 for the file as a whole.
    pub line: u64,
    /// The key, with the keys above it.
    pub key: String,
    /// What is wrong, and the remedy.
    pub text: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        write!(f, "`{}` {}", self.key, self.text)
    }
}

/// One level of the file, from which keys are removed one by one.
#[derive(Debug)]
pub struct Level {
    path: String,
    line: u64,
    map: Map,
}

/// A value that was removed from its level, with its position for later checks.
#[derive(Debug)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// The key, with the keys above it.
    pub key: String,
    /// Its line in the file.
    pub line: u64,
}

impl Level {
    /// Returns the level of the file itself.
    #[must_use]
    pub fn top(map: Map) -> Self {
        Self {
            path: String::new(),
            line: 0,
            map,
        }
    }

    /// Removes and returns the level under `key`, or an empty level if it is absent.
    #[must_use]
    pub fn level(&mut self, key: &str, mistakes: &mut Vec<Mistake>) -> Self {
        let path = self.path_of(key);
        let (line, map) = match self.map.remove(key) {
            None => (self.line, Map::new()),
            Some(spanned) => match spanned.value {
                Node::Map(map) => (spanned.referenced.line(), map),
                Node::Null => (spanned.referenced.line(), Map::new()),
                Node::Scalar(_) | Node::List(_) => {
                    mistakes.push(Mistake {
                        line: spanned.referenced.line(),
                        key: path.clone(),
                        text: "wants keys with values below it; indent them by two spaces"
                            .to_owned(),
                    });
                    (spanned.referenced.line(), Map::new())
                }
            },
        };
        Self { path, line, map }
    }

    /// Returns the remaining keys, for levels whose keys are not fixed.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        self.map.keys().cloned().collect()
    }

    /// Removes a value and parses it with `read`. Returns `None` if the key is absent or
    /// the value is invalid.
    pub fn optional<T>(
        &mut self,
        key: &str,
        wants: &str,
        read: impl FnOnce(&str) -> Option<T>,
        mistakes: &mut Vec<Mistake>,
    ) -> Option<Located<T>> {
        let path = self.path_of(key);
        let spanned = self.map.remove(key)?;
        let line = spanned.referenced.line();
        let value = scalar(&spanned).and_then(read);
        if value.is_none() {
            mistakes.push(Mistake {
                line,
                key: path.clone(),
                text: format!("wants {wants}"),
            });
        }
        value.map(|value| Located {
            value,
            key: path,
            line,
        })
    }

    /// Removes and parses a required value.
    pub fn required<T>(
        &mut self,
        key: &str,
        wants: &str,
        read: impl FnOnce(&str) -> Option<T>,
        mistakes: &mut Vec<Mistake>,
    ) -> Option<Located<T>> {
        if !self.map.contains_key(key) {
            mistakes.push(Mistake {
                line: self.line,
                key: self.path_of(key),
                text: format!("is missing; add it with {wants}"),
            });
            return None;
        }
        self.optional(key, wants, read, mistakes)
    }

    /// Removes a list and parses each item with `read`.
    pub fn list<T>(
        &mut self,
        key: &str,
        wants: &str,
        read: impl Fn(&str) -> Option<T>,
        mistakes: &mut Vec<Mistake>,
    ) -> Vec<T> {
        let path = self.path_of(key);
        let Some(spanned) = self.map.remove(key) else {
            return Vec::new();
        };
        let line = spanned.referenced.line();
        if spanned.value == Node::Null {
            return Vec::new();
        }
        let Node::List(items) = spanned.value else {
            mistakes.push(Mistake {
                line,
                key: path,
                text: format!("wants a list of {wants}, each on a line after `- `"),
            });
            return Vec::new();
        };
        let mut values = Vec::new();
        for (index, item) in items.iter().enumerate() {
            match scalar(item).and_then(&read) {
                Some(value) => values.push(value),
                None => mistakes.push(Mistake {
                    line: item.referenced.line(),
                    key: format!("{path}[{index}]"),
                    text: format!("wants {wants}"),
                }),
            }
        }
        values
    }

    /// Reports each remaining key as unknown.
    pub fn finish(self, known: &[&str], mistakes: &mut Vec<Mistake>) {
        for (key, spanned) in &self.map {
            mistakes.push(Mistake {
                line: spanned.referenced.line(),
                key: self.path_of(key),
                text: format!("is unknown; the keys here are {}", known.join(", ")),
            });
        }
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}

impl<T> Located<T> {
    /// Returns a mistake about the value.
    #[must_use]
    pub fn mistake(&self, text: &str) -> Mistake {
        Mistake {
            line: self.line,
            key: self.key.clone(),
            text: text.to_owned(),
        }
    }
}

/// Parses a duration such as `500ms`, `60s`, `15m` or `2h`.
#[must_use]
pub fn duration(text: &str) -> Option<Duration> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(split);
    let number: u64 = number.parse().ok()?;
    match unit {
        "ms" => Some(Duration::from_millis(number)),
        "s" => Some(Duration::from_secs(number)),
        "m" => number.checked_mul(60).map(Duration::from_secs),
        "h" => number.checked_mul(3600).map(Duration::from_secs),
        _ => None,
    }
}

fn scalar(spanned: &Spanned<Node>) -> Option<&str> {
    match &spanned.value {
        Node::Scalar(text) => Some(text),
        Node::Null | Node::List(_) | Node::Map(_) => None,
    }
}
