//! Relays a request from its entry instance through an owner to an endpoint.
//!
//! [`entry`] runs a caller's request: placement selects an owner, the request
//! is sent there (through [`peer`], or [`owner`] if this instance is the
//! owner), and a failed attempt may be retried. [`owner`] offers the request
//! to the [`local_owner`], which grants a permit to dispatch it. [`endpoint`]
//! then sends it, and [`answer`] relays the response. Unrepeatable requests
//! are dispatched by [`once`], which claims their key first. [`resume`]
//! fetches the rest of a broken stream, and [`cancel`] cancels requests whose
//! caller has disconnected.

pub(crate) mod answer;
pub(crate) mod cancel;
pub(crate) mod endpoint;
pub(crate) mod entry;
pub(crate) mod local_owner;
pub(crate) mod once;
pub(crate) mod owner;
pub(crate) mod peer;
pub(crate) mod resume;

use bytes::Bytes;
use godwitpost_client::connect::Body;
use godwitpost_wire::dispatch::{Head, Reply, pack, unpack};
use http::{HeaderMap, Response};

/// A request that is being relayed, with its complete body.
///
/// The headers are packed into the head only if the request is sent to another
/// instance: packing copies each name and value, and unpacking parses them
/// again, which a request served locally doesn't need.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The part that is sent between instances; its headers are empty.
    pub(crate) head: Head,
    /// The caller's headers that are forwarded to endpoints.
    pub(crate) headers: HeaderMap,
    /// The body; clones share it.
    pub(crate) body: Bytes,
}

impl Job {
    /// Returns the request that another instance sent.
    pub(crate) fn received(mut head: Head, body: Bytes) -> Self {
        let packed = std::mem::take(&mut head.headers);
        Self {
            head,
            headers: unpack(&packed),
            body,
        }
    }

    /// Returns the head with the packed headers, to be sent to another instance.
    pub(crate) fn packed(&self) -> Head {
        let mut head = self.head.clone();
        head.headers = pack(&self.headers);
        head
    }
}

/// The result of one attempt.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The endpoint's response.
    Response(Response<Body>),
    /// The reason why there is no response.
    Reply(Reply),
}
