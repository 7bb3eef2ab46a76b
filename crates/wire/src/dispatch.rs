//! Messages that forward a request from its entry instance to the owner of an endpoint.
//!
//! The owner's response is either the relayed response of the endpoint, or a [`Reply`]
//! that states why there is none. Both contain the id of the attempt, so a response
//! can't be taken for that of another request.

use std::time::Duration;

use godwitpost_decide::ending::Ending;
use godwitpost_decide::hop::Hop;
use godwitpost_decide::load::Summary;
use godwitpost_decide::quarantine::Evidence;
use godwitpost_decide::refusal::Refusal;
use godwitpost_decide::view::Pool;
use godwitpost_types::clock::Moment;
use godwitpost_types::id::{EndpointId, InstanceId};
use godwitpost_types::outcome::{Outcome, Scope};
use godwitpost_types::request::Request;
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

/// The path on which owners accept requests.
pub const PATH: &str = "/peer/v1/dispatch";

/// A request as resolved by its entry instance. Its body follows in the frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The properties that decisions depend on.
    pub request: Request,
    /// The instance it is sent to, and those it has passed.
    pub hop: Hop,
    /// The id of the attempt, which its response must repeat.
    pub attempt: u64,
    /// The caller's method.
    pub method: String,
    /// The caller's path, with its query.
    pub path: String,
    /// The caller's headers that are forwarded to endpoints.
    pub headers: Vec<(String, Vec<u8>)>,
    /// When the key of an unrepeatable request was issued.
    pub issued: Option<Moment>,
}

/// The kind of an owner's response, in the header `header::KIND`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The response of the endpoint follows.
    Relayed,
    /// A [`Reply`] follows.
    Reply,
}

/// The reason for which an owner has no response of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request should be sent to another instance.
    Forward {
        /// The owner of the endpoint in `hop`.
        instance: InstanceId,
        /// The forwarding state to send with it.
        hop: Hop,
    },
    /// The request was not run by this instance and won't be.
    Refused(Refusal),
    /// The attempt failed at an endpoint.
    Failed {
        /// The endpoint.
        endpoint: EndpointId,
        /// The kind of failure.
        ending: Ending,
        /// The owner's evidence of crashes caused by the request, for the next attempt.
        evidence: Vec<Evidence>,
    },
    /// The error response to send to the caller.
    #[serde(rename = "Told")]
    Error(ErrorResponse),
}

/// An error response to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The HTTP status.
    pub status: u16,
    /// A short stable identifier for programs.
    pub reason: String,
    /// What happened and the remedy.
    pub detail: String,
    /// The outcome of the request.
    pub outcome: Outcome,
    /// The attempts that a *not run* outcome applies to.
    pub scope: Scope,
    /// The time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Kind {
    /// Returns the header value of this kind.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Relayed => "relayed",
            Self::Reply => "reply",
        }
    }

    /// Parses the header value.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        [Self::Relayed, Self::Reply]
            .into_iter()
            .find(|kind| kind.as_str() == text)
    }
}

/// Formats an owner's load in one pool as a header value.
#[must_use]
pub fn format_load(summary: &Summary) -> String {
    let millis = summary.taken.as_millis();
    format!(
        "{} {} {} {millis}",
        summary.endpoints, summary.work, summary.waiting
    )
}

/// Parses the load of `source` in a pool from a header value.
#[must_use]
pub fn parse_load(text: &str, source: InstanceId, pool: Pool) -> Option<Summary> {
    let mut parts = text.split(' ');
    let summary = Summary {
        source,
        pool,
        endpoints: parts.next()?.parse().ok()?,
        work: parts.next()?.parse().ok()?,
        waiting: parts.next()?.parse().ok()?,
        taken: Duration::from_millis(parts.next()?.parse().ok()?),
    };
    parts.next().is_none().then_some(summary)
}

/// Converts headers to pairs for MessagePack.
#[must_use]
pub fn pack(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers
        .iter()
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

/// Converts pairs to headers, skipping invalid ones.
#[must_use]
pub fn unpack(pairs: &[(String, Vec<u8>)]) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(pairs.len());
    for (name, value) in pairs {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

#[cfg(test)]
mod tests;
