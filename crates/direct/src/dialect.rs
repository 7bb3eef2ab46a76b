//! How requests and answers are spelled, as functions to be filled in.
//!
//! The instance decides by what these say, and never looks at a header that
//! belongs to the users' protocol itself.

use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_types::endpoint::Standing;
use godwitpost_types::hash;
use godwitpost_types::id::{self, SpanId};
use http::{HeaderMap, StatusCode};

use crate::book::Report;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its id; the same for all requests that share it.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// The beginning of a prompt, up to the end of one of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Its id; the same for all prompts for one model that begin so.
    pub id: SpanId,
    /// Its length.
    pub tokens: u32,
}

/// What a request's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestFields {
    /// The id that the caller gave this attempt. Endpoints echo it.
    pub attempt_id: String,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The key of its workspace.
    pub key: Option<String>,
    /// The model it asks for.
    pub model: Option<String>,
    /// The parts of its prompt in order. The last is its own or its session's.
    pub prompt: Vec<Part>,
    /// The last event that the caller has, if it asks for a stream's rest.
    pub last_event_id: Option<u64>,
}

impl RequestFields {
    /// Returns what its placement goes by: the last part that it shares with
    /// others, with the length of all up to its end.
    #[must_use]
    pub fn affinity_part(&self) -> Option<Part> {
        let shared = self.shared_parts();
        let last = shared.last()?;
        let tokens = shared.iter().map(|part| part.tokens);
        Some(Part {
            id: last.id,
            tokens: tokens.fold(0, u32::saturating_add),
        })
    }

    /// Returns the beginnings of its prompt that it shares with others, the
    /// shortest first. An engine has use for a part only with all before it.
    #[must_use]
    pub fn prefixes(&self) -> Vec<Prefix> {
        let model = self.model.as_deref().map_or(id::NO_MODEL, id::of);
        let mut last = Prefix {
            id: model,
            tokens: 0,
        };
        let parts = self.shared_parts().iter();
        parts
            .map(|part| {
                last = Prefix {
                    id: hash::score(last.id, part.id),
                    tokens: last.tokens.saturating_add(part.tokens),
                };
                last
            })
            .collect()
    }

    // All parts but its own, unless that is all there is.
    fn shared_parts(&self) -> &[Part] {
        let own = self.prompt.len().saturating_sub(1);
        self.prompt.get(..own.max(1)).unwrap_or_default()
    }
}

/// What is said to an endpoint beside the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingFields<'a> {
    /// How long the caller still waits.
    pub remaining: Duration,
    /// The name of the endpoint; another one at its address must not run it.
    pub endpoint: &'a str,
    /// The workspace, if one is known.
    pub workspace: Option<&'a str>,
    /// The urgency; 0 goes first.
    pub rank: u8,
    /// The event to go on after, if a broken stream is asked for again.
    pub last_event_id: Option<u64>,
    /// Where the endpoint may fetch what it doesn't hold of the prompt.
    pub source: Option<SocketAddr>,
}

/// What an endpoint's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseFields {
    /// The id of the attempt that it answers.
    pub attempt_id: Option<String>,
    /// Whether it bears the endpoint's signature, without which it is not the
    /// endpoint's own.
    pub signed: bool,
    /// Whether it says that the request has not run and never will.
    pub not_run: bool,
    /// Whether its body is coded, which no endpoint does.
    pub content_encoded: bool,
    /// What it says of the endpoint's load.
    pub report: Option<Report>,
    /// Whether the endpoint may get new work, if the answer says so.
    pub standing: Option<Standing>,
    /// For how long it asks this instance to send the endpoint nothing more.
    pub retry_after: Option<Duration>,
}

impl ResponseFields {
    /// Returns whether it is another attempt's than `id`, as a late one is in the place
    /// of the next one on its connection.
    #[must_use]
    pub fn is_for_other_attempt(&self, id: &str) -> bool {
        self.attempt_id
            .as_deref()
            .is_some_and(|echoed| echoed != id)
    }

    /// Returns whether the endpoint that the attempt `id` was sent to wrote it: it echoes
    /// the attempt, nothing on the way has coded its body, and the status doesn't say
    /// that somebody else has the address.
    #[must_use]
    pub fn is_from_endpoint(&self, status: StatusCode, id: &str) -> bool {
        let echoes = self.attempt_id.as_deref() == Some(id);
        echoes && !self.content_encoded && status != StatusCode::MISDIRECTED_REQUEST
    }
}

/// The functions.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Reads a request's head; `None` if something that must be there isn't.
    pub read_request: fn(&HeaderMap) -> Option<RequestFields>,
    /// Rewrites a caller's headers into those for an endpoint.
    pub write_request: fn(&mut HeaderMap, &OutgoingFields<'_>),
    /// Reads an answer's head.
    pub read_response: fn(StatusCode, &HeaderMap) -> ResponseFields,
    /// Spells when to send a refused request again.
    pub format_retry_after: fn(Duration) -> String,
}

#[cfg(test)]
mod tests;
