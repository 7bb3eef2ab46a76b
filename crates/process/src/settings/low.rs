//! Takes values out of the tree and collects what is wrong with them.

use std::fmt;
use std::time::Duration;

use serde_saphyr::Spanned;

use super::node::{Map, Node};

/// One mistake in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// The line in the file; 0 if the file as a whole is meant.
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

/// One level of the file, emptied key by key.
#[derive(Debug)]
pub struct Level {
    path: String,
    line: u64,
    map: Map,
}

/// A value that was taken out, with its place for later checks.
#[derive(Debug)]
pub struct Taken<T> {
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

    /// Takes the keys under `key`; an absent one gives an empty level.
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

    /// Returns the keys that nobody took, where they are names and not fixed.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        self.map.keys().cloned().collect()
    }

    /// Takes a value that `read` understands; `None` if the key is absent.
    pub fn optional<T>(
        &mut self,
        key: &str,
        wants: &str,
        read: impl FnOnce(&str) -> Option<T>,
        mistakes: &mut Vec<Mistake>,
    ) -> Option<Taken<T>> {
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
        value.map(|value| Taken {
            value,
            key: path,
            line,
        })
    }

    /// Takes a value that must be there.
    pub fn required<T>(
        &mut self,
        key: &str,
        wants: &str,
        read: impl FnOnce(&str) -> Option<T>,
        mistakes: &mut Vec<Mistake>,
    ) -> Option<Taken<T>> {
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

    /// Takes a list; each item must be one that `read` understands.
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

    /// Reports each key that nobody took.
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

impl<T> Taken<T> {
    /// Reports the value as wrong.
    #[must_use]
    pub fn mistake(&self, text: &str) -> Mistake {
        Mistake {
            line: self.line,
            key: self.key.clone(),
            text: text.to_owned(),
        }
    }
}

/// Reads a span of time such as `500ms`, `60s`, `15m` or `2h`.
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
