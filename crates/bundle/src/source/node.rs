//! A YAML tree with line numbers.
//!
//! Deserializing straight into typed structs would stop at the first invalid
//! value. Parsing the whole tree first allows all mistakes to be reported at
//! once.

use std::collections::BTreeMap;
use std::fmt;

use serde::de::{MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_saphyr::Spanned;

/// A value of the source.
#[derive(Clone, Debug)]
pub enum Node {
    /// Nothing after the colon.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number; integers of a bundle are small enough to be exact.
    Number(f64),
    /// A string.
    Text(String),
    /// A list.
    List(Vec<Spanned<Self>>),
    /// A map, with the line of each key.
    Map(BTreeMap<String, Field>),
}

/// A key's line and its value.
#[derive(Clone, Debug)]
pub struct Field {
    /// The line of the value.
    pub line: u64,
    /// The value.
    pub node: Node,
}

impl Node {
    /// Describes the value for an error message.
    #[must_use]
    pub fn describe(&self) -> String {
        match self {
            Self::Null => "nothing".to_owned(),
            Self::Bool(value) => value.to_string(),
            Self::Number(value) => value.to_string(),
            Self::Text(value) => format!("{value:?}"),
            Self::List(_) => "a list".to_owned(),
            Self::Map(_) => "a map".to_owned(),
        }
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_bool<E>(self, v: bool) -> Result<Node, E> {
        Ok(Node::Bool(v))
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "numbers of a bundle are far below 2^53"
    )]
    fn visit_u64<E>(self, v: u64) -> Result<Node, E> {
        Ok(Node::Number(v as f64))
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "numbers of a bundle are far below 2^53"
    )]
    fn visit_i64<E>(self, v: i64) -> Result<Node, E> {
        Ok(Node::Number(v as f64))
    }

    fn visit_f64<E>(self, v: f64) -> Result<Node, E> {
        Ok(Node::Number(v))
    }

    fn visit_str<E>(self, v: &str) -> Result<Node, E> {
        Ok(Node::Text(v.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(Node::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let mut fields = BTreeMap::new();
        while let Some((key, value)) = map.next_entry::<String, Spanned<Node>>()? {
            let field = Field {
                line: value.referenced.line(),
                node: value.value,
            };
            fields.insert(key, field);
        }
        Ok(Node::Map(fields))
    }
}
