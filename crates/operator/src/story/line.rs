//! Parses log lines.

use std::collections::BTreeMap;

use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// A parsed log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The time in seconds of the writer's clock.
    pub at: f64,
    /// The instance, if a collector put its name before the level.
    pub instance: Option<String>,
    /// The level.
    pub level: String,
    /// The message without its fields.
    pub message: String,
    /// The message with its fields, as written.
    pub text: String,
    fields: BTreeMap<String, String>,
}

impl Line {
    /// Parses a line; `None` if it is not a log line.
    ///
    /// It has a time, as RFC 3339 or in seconds, the instance if a collector
    /// adds it, the level in brackets, the module if it is shown, a message,
    /// and fields as `name=value`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (before, after) = text.split_once('[')?;
        let (level, rest) = after.split_once(']')?;
        let mut words = before.split_whitespace();
        let at = moment(words.next()?)?;
        let text = without_module(rest.trim());
        let (message, fields) = split(text);
        Some(Self {
            at,
            instance: words.next().map(str::to_owned),
            level: level.to_owned(),
            message: message.to_owned(),
            text: text.to_owned(),
            fields,
        })
    }

    /// Returns the value of a field.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

fn moment(text: &str) -> Option<f64> {
    if let Ok(seconds) = text.parse() {
        return Some(seconds);
    }
    let at = OffsetDateTime::parse(text, &Rfc3339).ok()?;
    // An f64 represents microseconds exactly enough in this century.
    #[expect(clippy::cast_precision_loss, reason = "microseconds are enough")]
    let nanos = at.unix_timestamp_nanos() as f64;
    Some(nanos / 1e9)
}

fn without_module(text: &str) -> &str {
    match text.split_once(": ") {
        Some((module, rest)) if !module.contains(' ') => rest,
        _ => text,
    }
}

// Splits the message from the fields that follow it.
fn split(text: &str) -> (&str, BTreeMap<String, String>) {
    let mut fields = BTreeMap::new();
    let Some(first) = begin(text) else {
        return (text, fields);
    };
    let (message, mut rest) = text.split_at(first);
    while let Some((name, after)) = rest.trim_start().split_once('=') {
        let (value, left) = value(after);
        fields.insert(name.to_owned(), value);
        rest = left;
    }
    (message.trim_end(), fields)
}

// Returns where the first field begins.
fn begin(text: &str) -> Option<usize> {
    let equals = text.find('=')?;
    Some(text[..equals].rfind(' ').map_or(0, |space| space + 1))
}

// Returns a field's value and the rest of the text.
fn value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].to_owned(), &text[end..]);
    };
    let mut value = String::new();
    let mut escaped = false;
    for (at, c) in quoted.char_indices() {
        match (escaped, c) {
            (false, '\\') => escaped = true,
            (false, '"') => return (value, &quoted[at + 1..]),
            (_, c) => {
                escaped = false;
                value.push(c);
            }
        }
    }
    (value, "")
}
