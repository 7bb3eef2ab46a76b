//! Reads the parts of a prompt that routing needs.
//!
//! A body is parsed once and not rewritten. Only the messages up to the first
//! one of the user are retained: they are the same in all turns of a chat, so
//! they identify the chat if the caller gives no id.

use std::borrow::Cow;
use std::fmt::{self, Write as _};

use godwitpost_types::id::{self, ModelId, ServiceId};
use godwitpost_types::policy::Policy;
use http::StatusCode;
use serde::Deserialize;
use serde::de::{Deserializer, IgnoredAny, SeqAccess, Visitor};

use crate::problem::Problem;

/// The parts of a prompt that routing needs.
#[derive(Debug, PartialEq, Eq)]
pub struct Prompt {
    /// The model's name, optionally with `@` and the version of its weights.
    pub model_name: Option<String>,
    /// The messages up to the first one of the user, or the beginning of a plain
    /// prompt.
    pub prefix: String,
    max_answer_tokens: Option<u32>,
}

/// The reason why a body is not a prompt.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the body is no chat completion in JSON ({0}); see the engines' documentation
    Json(serde_json::Error),
    /// the body is no JSON object; see the engines' documentation
    NotAnObject,
}

impl std::error::Error for Error {}

#[derive(Deserialize)]
struct Shape<'b> {
    #[serde(borrow, default)]
    model: Option<Cow<'b, str>>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    messages: Prefix,
    #[serde(borrow, default)]
    prompt: Option<Cow<'b, str>>,
}

#[derive(Default)]
struct Prefix(String);

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: serde_json::Value,
}

/// Number of characters of a plain prompt that identify its chat. A chat's first
/// turn is often shorter, but then so is the prefix that a cache could reuse.
const PLAIN_PREFIX_CHARS: usize = 256;

impl Prompt {
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not a JSON object with the expected fields.
    pub fn read(body: &[u8]) -> Result<Self, Error> {
        // A derived struct would accept a JSON array as its fields in order.
        if body.trim_ascii_start().first() != Some(&b'{') {
            return Err(Error::NotAnObject);
        }
        let shape: Shape<'_> = serde_json::from_slice(body).map_err(Error::Json)?;
        let mut prefix = shape.messages.0;
        if let (true, Some(prompt)) = (prefix.is_empty(), &shape.prompt) {
            prefix.extend(prompt.chars().take(PLAIN_PREFIX_CHARS));
        }
        Ok(Self {
            model_name: shape.model.map(Cow::into_owned),
            prefix,
            max_answer_tokens: shape.max_completion_tokens.or(shape.max_tokens),
        })
    }

    /// Returns the caller's limit on answer tokens.
    #[must_use]
    pub const fn answer_tokens(&self) -> Option<u32> {
        self.max_answer_tokens
    }

    /// Returns the model and its usual number of answer tokens.
    ///
    /// # Errors
    ///
    /// Returns the problem if the body names no model, or if the model or the
    /// version of its weights is unknown.
    pub fn model(&self, policy: &Policy, service: ServiceId) -> Result<(ModelId, u32), Problem> {
        let Some(model_name) = &self.model_name else {
            return Err(Problem::not_run(
                StatusCode::BAD_REQUEST,
                "missing-model",
                "the body names no model; add \"model\"",
            ));
        };
        let (name, weights) = match model_name.split_once('@') {
            Some((name, weights)) => (name, Some(weights)),
            None => (model_name.as_str(), None),
        };
        let id = id::from_name(name);
        let model = policy
            .models
            .get(&id)
            .filter(|model| model.service == service)
            .ok_or_else(|| {
                Problem::not_run(
                    StatusCode::NOT_FOUND,
                    "unknown-model",
                    "this service has no such model in the bundle; check \"model\"",
                )
            })?;
        if weights.is_some_and(|weights| weights != model.weights) {
            return Err(Problem::not_run(
                StatusCode::NOT_FOUND,
                "unknown-version",
                format!(
                    "the bundle has weights {} of this model; leave the version out for these",
                    model.weights
                ),
            ));
        }
        Ok((id, model.answer_tokens))
    }
}

impl<'de> Deserialize<'de> for Prefix {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(PrefixVisitor)
    }
}

struct PrefixVisitor;

impl<'de> Visitor<'de> for PrefixVisitor {
    type Value = Prefix;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a list of messages")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Prefix, A::Error> {
        let mut prefix = String::new();
        while let Some(message) = seq.next_element::<Message>()? {
            // The content is written as JSON, so that the end of a message is
            // unambiguous.
            write!(prefix, "{}:{};", message.role, message.content)
                .map_err(serde::de::Error::custom)?;
            if message.role == "user" {
                break;
            }
        }
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(Prefix(prefix))
    }
}

#[cfg(test)]
mod tests;
