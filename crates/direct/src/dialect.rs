//! The header format of requests and responses, as functions that the user of this crate
//! provides.
//!
//! The instance decides by the fields that these functions read, and never reads a header
//! of the users' protocol itself.

use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_types::endpoint::Standing;
use godwitpost_types::hash;
use godwitpost_types::id::{self, PartId, PrefixId};
use http::{HeaderMap, StatusCode};

use crate::fragility::{MAX_REFUSALS, MaxRefusals};
use crate::stats::Report;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// The part's id; the same for all requests that share it.
    pub id: PartId,
    /// The part's length.
    pub tokens: u32,
}

/// The beginning of a prompt, up to the end of one of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// The prefix's id; the same for all prompts of one model that start with it.
    pub id: PrefixId,
    /// The prefix's length.
    pub tokens: u32,
}

/// The lengths that a caller states of its request, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenCounts {
    /// The length of the prompt.
    pub prompt: u32,
    /// The greatest length of the answer.
    pub max_output: u32,
}

/// The fields of a caller's request head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestFields {
    /// The id that the caller gave this attempt. Endpoints echo it.
    pub attempt_id: String,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The API key of the caller's workspace.
    pub key: Option<String>,
    /// The requested model.
    pub model: Option<String>,
    /// The parts of the prompt in order. The last one belongs to this request or session
    /// only.
    pub prompt: Vec<Part>,
    /// The lengths that the caller states, if it does.
    pub tokens: Option<TokenCounts>,
    /// The caller's guess of the answer's length in tokens.
    pub output_hint: Option<u32>,
    /// The last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// The attempt that brought the first event of the stream that the caller resumes.
    pub resumes: Option<String>,
}

impl RequestFields {
    /// Returns the part that decides the placement: the id of the last part shared with
    /// other requests, with the length of the prompt up to its end.
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

    /// Returns the prefixes of the prompt that other requests share, the shortest first.
    /// An engine can use a part only with all parts before it.
    #[must_use]
    pub fn prefixes(&self) -> Vec<Prefix> {
        let model = self.model.as_deref().map_or(id::NO_MODEL, id::from_name);
        let mut prefix = Prefix {
            id: model,
            tokens: 0,
        };
        let parts = self.shared_parts().iter();
        parts
            .map(|part| {
                prefix = Prefix {
                    id: hash::score(prefix.id, part.id),
                    tokens: prefix.tokens.saturating_add(part.tokens),
                };
                prefix
            })
            .collect()
    }

    /// Returns the ids of the parts of the prompt that other requests may share: all but the
    /// last one.
    #[must_use]
    pub fn parts_shared_with_others(&self) -> Vec<PartId> {
        let own = self.prompt.len().saturating_sub(1);
        self.prompt.iter().take(own).map(|part| part.id).collect()
    }

    // Returns all parts but the last one, unless that is the only one.
    fn shared_parts(&self) -> &[Part] {
        let shared = self.prompt.len().saturating_sub(1);
        self.prompt.get(..shared.max(1)).unwrap_or_default()
    }
}

/// The fields that are added to a request to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingFields<'a> {
    /// How long the caller still waits.
    pub remaining: Duration,
    /// The name of the endpoint; another one at its address must not run the request.
    pub endpoint: &'a str,
    /// The workspace, if it is known.
    pub workspace: Option<&'a str>,
    /// The priority; 0 goes first.
    pub rank: u8,
    /// The event after which to resume, if a broken stream is requested again.
    pub last_event_id: Option<u64>,
    /// The endpoint that the missing parts of the prompt can be fetched from.
    pub source: Option<SocketAddr>,
}

/// The fields of an endpoint's response head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseFields {
    /// The id of the attempt that it responds to.
    pub attempt_id: Option<String>,
    /// Whether it bears the endpoint's signature. Without one, it doesn't come from the
    /// endpoint.
    pub signed: bool,
    /// Whether it states that the request has not run and never will.
    pub not_run: bool,
    /// Whether its body has a content encoding, which no endpoint uses.
    pub content_encoded: bool,
    /// The endpoint's load.
    pub report: Option<Report>,
    /// How long work takes at the endpoint now, if the response states it.
    pub slowdown: Option<Slowdown>,
    /// Whether the endpoint accepts new work, if the response says so.
    pub standing: Option<Standing>,
    /// How long this instance should send nothing to the endpoint.
    pub retry_after: Option<Duration>,
    /// What it states of how many refusals the endpoint withstands, if it does.
    pub max_refusals: Option<RefusalLimit>,
}

/// What a response states of the refusals that its endpoint withstands in a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalLimit {
    /// So many.
    Stated(MaxRefusals),
    /// Something that is no usable number.
    Invalid,
}

impl RefusalLimit {
    /// Returns the limit that a field's text states: a number from 1 to [`MAX_REFUSALS`].
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let number = text.trim().parse().ok();
        let valid = number.filter(|number| (1..=MAX_REFUSALS).contains(number));
        valid.map_or(Self::Invalid, Self::Stated)
    }
}

/// What a response states of how long work takes at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slowdown {
    /// The percentage of the usual time.
    Stated(Percent),
    /// Something that is no usable number.
    Invalid,
}

/// A number of hundredths.
pub type Percent = u32;

/// The greatest slowdown that is believed, in percent. An endpoint that takes a hundred
/// times as long as usual is as good as down, which its health shows.
pub const MAX_SLOWDOWN: Percent = 10_000;

impl Slowdown {
    /// Returns the slowdown that a field's text states: a number of percent from 1 to
    /// [`MAX_SLOWDOWN`], which is rounded.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let number: Option<f64> = text.trim().parse().ok();
        let valid = number.filter(|number| (1.0..=f64::from(MAX_SLOWDOWN)).contains(number));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "1 to MAX_SLOWDOWN"
        )]
        let percent = |number: f64| number.round() as Percent;
        valid.map_or(Self::Invalid, |number| Self::Stated(percent(number)))
    }
}

impl ResponseFields {
    /// Returns whether it responds to another attempt than `id`. A late response arrives
    /// in place of the next one on its connection.
    #[must_use]
    pub fn is_for_other_attempt(&self, id: &str) -> bool {
        self.attempt_id
            .as_deref()
            .is_some_and(|echoed| echoed != id)
    }

    /// Returns whether it names the attempt `id`. Other bytes on the connection may belong to
    /// nobody.
    #[must_use]
    pub fn names_attempt(&self, id: &str) -> bool {
        self.attempt_id.as_deref() == Some(id)
    }

    /// Returns whether it was written by the endpoint that the attempt `id` was sent to:
    /// it echoes the attempt id, no intermediary has encoded its body, and the status
    /// doesn't say that another server has the address.
    #[must_use]
    pub fn is_from_endpoint(&self, status: StatusCode, id: &str) -> bool {
        self.names_attempt(id) && !self.content_encoded && status != StatusCode::MISDIRECTED_REQUEST
    }
}

/// The functions that read and write headers.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Reads a request's head; `None` if a required field is missing.
    pub read_request: fn(&HeaderMap) -> Option<RequestFields>,
    /// Rewrites a caller's headers into those for an endpoint.
    pub write_request: fn(&mut HeaderMap, &OutgoingFields<'_>),
    /// Reads a response's head.
    pub read_response: fn(StatusCode, &HeaderMap) -> ResponseFields,
    /// Formats the `Retry-After` value of a refusal.
    pub format_retry_after: fn(Duration) -> String,
}

#[cfg(test)]
mod tests;
