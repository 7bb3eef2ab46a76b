//! A request on its way from its entry instance to an endpoint's owner.
//!
//! The owner's answer is either the endpoint's own, relayed as it comes, or a
//! [`Reply`] that says why there is none. Each carries the attempt's number,
//! so an answer can't be taken for that of another request.

use std::time::Duration;

use godwitpost_decide::ending::Ending;
use godwitpost_decide::hop::Hop;
use godwitpost_decide::load::Summary;
use godwitpost_decide::quarantine::Evidence;
use godwitpost_decide::refusal::Refusal;
use godwitpost_decide::view::Pool;
use godwitpost_types::clock::Moment;
use godwitpost_types::id::{EndpointId, InstanceId};
use godwitpost_types::outcome::Outcome;
use godwitpost_types::request::Request;
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

/// The path that owners take requests on.
pub const PATH: &str = "/peer/v1/dispatch";

/// A request as its entry instance resolved it; its body follows in the frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The facts that decisions are taken on.
    pub request: Request,
    /// Where it is meant to go, and where it has been.
    pub hop: Hop,
    /// This attempt; its answer must carry the same.
    pub attempt: u64,
    /// The caller's method.
    pub method: String,
    /// The caller's path, with its query.
    pub path: String,
    /// The caller's headers that endpoints may see.
    pub headers: Vec<(String, Vec<u8>)>,
    /// When the key of an unrepeatable request was issued.
    pub issued: Option<Moment>,
}

/// What kind of answer an owner gives, in the header `header::KIND`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The endpoint's own answer follows.
    Relayed,
    /// A [`Reply`] follows.
    Reply,
}

/// Why an owner has no answer of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Another instance should take the request.
    Forward {
        /// The owner of the endpoint in `hop`.
        instance: InstanceId,
        /// What to send along.
        hop: Hop,
    },
    /// The request was not run here and won't be.
    Refused(Refusal),
    /// The attempt failed at an endpoint.
    Failed {
        /// Where.
        endpoint: EndpointId,
        /// How.
        ending: Ending,
        /// What the owner knows against the request, for the next attempt.
        evidence: Vec<Evidence>,
    },
    /// The caller is to be told this.
    Told(Told),
}

/// What a caller is to be told in place of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The HTTP status.
    pub status: u16,
    /// A short stable name for programs.
    pub reason: String,
    /// What happened and the remedy.
    pub detail: String,
    /// The fate of the request.
    pub outcome: Outcome,
    /// When sending it again may help.
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

    /// Returns the kind that a header value names.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        [Self::Relayed, Self::Reply]
            .into_iter()
            .find(|kind| kind.as_str() == text)
    }
}

/// Returns the header value that tells an owner's load in one pool.
#[must_use]
pub fn load_text(summary: &Summary) -> String {
    let millis = summary.taken.as_millis();
    format!(
        "{} {} {} {millis}",
        summary.endpoints, summary.work, summary.waiting
    )
}

/// Reads what `source` told of its load in a pool.
#[must_use]
pub fn load(text: &str, source: InstanceId, pool: Pool) -> Option<Summary> {
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

/// Returns headers as pairs that MessagePack carries.
#[must_use]
pub fn pack(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers
        .iter()
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

/// Returns the headers of pairs, without those that aren't well formed.
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
