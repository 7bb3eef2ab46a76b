//! Names of the headers used by callers and between instances.
//!
//! Names with the prefix [`INTERNAL_PREFIX`] are only valid between instances. If a caller
//! sends one, the request is not rejected, but the header is removed before it is read,
//! so a caller can't impersonate an instance.

use http::header::VIA;
use http::{HeaderMap, HeaderName, HeaderValue};

/// The workspace that a request is for. Required.
pub const WORKSPACE: HeaderName = HeaderName::from_static("godwitpost-workspace");
/// The chat that a request continues. Optional.
pub const CHAT: HeaderName = HeaderName::from_static("godwitpost-chat");
/// The class of a request, to override the class of its route.
pub const CLASS: HeaderName = HeaderName::from_static("godwitpost-class");
/// The outcome of a request, in each response: `ran`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("godwitpost-outcome");
/// The attempts that a *not run* outcome applies to: `attempt` or `key`.
pub const SCOPE: HeaderName = HeaderName::from_static("godwitpost-outcome-scope");
/// The id of a request, in each response.
pub const REQUEST: HeaderName = HeaderName::from_static("x-request-id");
/// The bundle version that applied to a request, in each response.
pub const VERSION: HeaderName = HeaderName::from_static("godwitpost-version");
/// The key that identifies an unrepeatable request (IETF httpapi draft).
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Set to `true` in a response that was retained from the first run of a key.
pub const REPLAYED: HeaderName = HeaderName::from_static("godwitpost-replayed");
/// How long the caller waits: `wait=SECONDS` (RFC 7240).
pub const PREFER: HeaderName = HeaderName::from_static("prefer");
/// Set by an endpoint that accepts no new requests.
pub const ENDPOINT: HeaderName = HeaderName::from_static("godwitpost-endpoint");
/// The priority for engines; 0 is the highest.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// The key of a chat's context in cache events.
pub const PREFIX: HeaderName = HeaderName::from_static("x-prefix-key");

/// The prefix of header names that are only valid between instances.
pub const INTERNAL_PREFIX: &str = "godwitpost-internal-";
/// The sending instance's name.
pub const SENDER: HeaderName = HeaderName::from_static("godwitpost-internal-sender");
/// When the message was sealed, in milliseconds since the epoch.
pub const TIME: HeaderName = HeaderName::from_static("godwitpost-internal-time");
/// The seal of the message, in base64.
pub const SEAL: HeaderName = HeaderName::from_static("godwitpost-internal-seal");
/// The bundle version that the sender holds.
pub const BUNDLE: HeaderName = HeaderName::from_static("godwitpost-internal-bundle");
/// The kind of response of an instance; see [`crate::dispatch::Kind`].
pub const KIND: HeaderName = HeaderName::from_static("godwitpost-internal-kind");
/// The attempt that a response belongs to, in hexadecimal.
pub const ATTEMPT: HeaderName = HeaderName::from_static("godwitpost-internal-attempt");

/// The load of the responding owner in the pool of the request: endpoints, work in
/// tokens, waiting requests, and the time of measurement in milliseconds.
pub const LOAD: HeaderName = HeaderName::from_static("godwitpost-internal-load");

/// Removes all headers that only instances may send and returns their number.
pub fn strip(headers: &mut HeaderMap) -> usize {
    let internal: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(INTERNAL_PREFIX))
        .cloned()
        .collect();
    for name in &internal {
        headers.remove(name);
    }
    internal.len()
}

/// Adds an instance to the `Via` header of a response that it relays (RFC 9110, section
/// 7.6.3), so that a caller can report the path of its request.
pub fn add_via(headers: &mut HeaderMap, instance: &str) {
    // Settings reject names that are not valid header values.
    if let Ok(value) = HeaderValue::try_from(format!("1.1 {instance}")) {
        headers.append(VIA, value);
    }
}

/// Hop-by-hop headers, which are never relayed (RFC 9110, section 7.6.1).
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

/// Removes hop-by-hop headers and those listed in the `Connection` header.
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
