//! A request on its way from its entry instance to an endpoint's owner.

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
    /// The endpoint that the entry chose.
    pub endpoint: EndpointId,
    /// This attempt; its answer must carry the same.
    pub attempt: u64,
    /// The caller's method.
    pub method: String,
    /// The caller's path, with its query.
    pub path: String,
    /// The caller's headers that endpoints may see.
    pub headers: Vec<(String, Vec<u8>)>,
}

/// What kind of answer an owner gives, in the header `header::KIND`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The endpoint's own answer follows.
    Relayed,
    /// A [`Refusal`] follows.
    Refused,
    /// A [`Forward`] follows.
    Forwarded,
}

/// An owner's refusal of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The fate of the request as far as this owner knows.
    pub outcome: Outcome,
    /// The HTTP status that fits.
    pub status: u16,
    /// A short stable name of the reason.
    pub reason: String,
    /// What happened, and the remedy.
    pub detail: String,
    /// Whether the entry may try again elsewhere.
    pub again: bool,
    /// When the caller may try again, in seconds; 0 if that doesn't help.
    pub retry_after: u32,
}

/// Another instance and endpoint that should take the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The owner of that endpoint.
    pub instance: InstanceId,
    /// The endpoint.
    pub endpoint: EndpointId,
}

impl Kind {
    /// Returns the header value of this kind.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Relayed => "relayed",
            Self::Refused => "refused",
            Self::Forwarded => "forwarded",
        }
    }

    /// Returns the kind that a header value names.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        [Self::Relayed, Self::Refused, Self::Forwarded]
            .into_iter()
            .find(|kind| kind.as_str() == text)
    }
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
    pairs
        .iter()
        .filter_map(|(name, value)| {
            let name = HeaderName::try_from(name.as_str()).ok()?;
            Some((name, HeaderValue::from_bytes(value).ok()?))
        })
        .collect()
}
