//! Header names: those of callers, and those between instances.
//!
//! Names with the prefix [`INTERNAL`] mean something only between instances.
//! A caller that sends one is not refused, but the header is taken off before
//! anything reads it, so it can't be mistaken for an instance.

use http::header::VIA;
use http::{HeaderMap, HeaderName, HeaderValue};

/// The workspace that a request is for. Required.
pub const WORKSPACE: HeaderName = HeaderName::from_static("godwitpost-workspace");
/// The chat that a request continues. Optional.
pub const CHAT: HeaderName = HeaderName::from_static("godwitpost-chat");
/// The class of a request, where the caller wants another than the route's.
pub const CLASS: HeaderName = HeaderName::from_static("godwitpost-class");
/// The fate of a request, on each answer: `ran`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("godwitpost-outcome");
/// The id of a request, on each answer.
pub const REQUEST: HeaderName = HeaderName::from_static("x-request-id");
/// The bundle version that a request was handled under, on each answer.
pub const VERSION: HeaderName = HeaderName::from_static("godwitpost-version");
/// The key that names an unrepeatable request (IETF httpapi draft).
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Set to `true` on an answer that was kept from the first run of a key.
pub const REPLAYED: HeaderName = HeaderName::from_static("godwitpost-replayed");
/// How long the caller waits: `wait=SECONDS` (RFC 7240).
pub const PREFER: HeaderName = HeaderName::from_static("prefer");
/// An endpoint's word that it takes no new work.
pub const ENDPOINT: HeaderName = HeaderName::from_static("godwitpost-endpoint");
/// The priority that engines honour, 0 first.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// The name of a chat's context in cache events.
pub const PREFIX: HeaderName = HeaderName::from_static("x-prefix-key");

/// The prefix of names that mean something only between instances.
pub const INTERNAL: &str = "godwitpost-internal-";
/// The sending instance's name.
pub const SENDER: HeaderName = HeaderName::from_static("godwitpost-internal-sender");
/// When the message was sealed, in milliseconds since the epoch.
pub const TIME: HeaderName = HeaderName::from_static("godwitpost-internal-time");
/// The seal of the message, in base64.
pub const SEAL: HeaderName = HeaderName::from_static("godwitpost-internal-seal");
/// The bundle version that the sender holds.
pub const BUNDLE: HeaderName = HeaderName::from_static("godwitpost-internal-bundle");
/// What kind of answer an instance gives: see [`crate::dispatch::Kind`].
pub const KIND: HeaderName = HeaderName::from_static("godwitpost-internal-kind");
/// The attempt that an answer belongs to, in hexadecimal.
pub const ATTEMPT: HeaderName = HeaderName::from_static("godwitpost-internal-attempt");

/// The load of the answering owner in the request's pool: endpoints, work in
/// tokens, requests that wait, and when all were taken, in milliseconds.
pub const LOAD: HeaderName = HeaderName::from_static("godwitpost-internal-load");

/// Takes off each header that only instances may send; returns their number.
pub fn strip(headers: &mut HeaderMap) -> usize {
    let internal: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(INTERNAL))
        .cloned()
        .collect();
    for name in &internal {
        headers.remove(name);
    }
    internal.len()
}

/// Adds an instance to the `Via` header of an answer that it relays (RFC 9110,
/// section 7.6.3), so that a caller can say which way its request went.
pub fn add_via(headers: &mut HeaderMap, instance: &str) {
    // A name that is no header value has nobody to tell; settings allow none.
    if let Ok(value) = HeaderValue::try_from(format!("1.1 {instance}")) {
        headers.append(VIA, value);
    }
}

/// Headers that belong to one connection and are never relayed (RFC 9110,
/// section 7.6.1).
const CONNECTION_BOUND: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Takes off the headers that belong to one connection, and those that the
/// `Connection` header names.
pub fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in CONNECTION_BOUND {
        headers.remove(name);
    }
}
