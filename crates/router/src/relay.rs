//! A request's way from its entry instance over an owner to an endpoint.
//!
//! [`entry`] runs a caller's request: it asks placement for an owner, sends
//! the request there (over [`peer`], or to [`owner`] if that is this
//! instance), and decides on another attempt if one failed. [`owner`] offers
//! the request to the [`local_owner`] and, with its leave, sends it on by
//! [`endpoint`], whose [`answer`] it relays; unrepeatable requests pass
//! [`once`] between the two. [`resume`] asks for the rest of a broken stream,
//! and [`cancel`] ends what nobody waits for.

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

/// A request on its way, with its whole body.
///
/// Its headers are packed into the head only where it leaves for another
/// instance: packing copies each name and value, and unpacking parses them
/// again, which a request that stays here would pay for nothing.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// What travels between instances, but for the headers.
    pub(crate) head: Head,
    /// The caller's headers that endpoints may see.
    pub(crate) headers: HeaderMap,
    /// The body; clones share it.
    pub(crate) body: Bytes,
}

impl Job {
    /// Returns a request as another instance sent it.
    pub(crate) fn received(mut head: Head, body: Bytes) -> Self {
        let packed = std::mem::take(&mut head.headers);
        Self {
            head,
            headers: unpack(&packed),
            body,
        }
    }

    /// Returns the head as it goes to another instance.
    pub(crate) fn packed(&self) -> Head {
        let mut head = self.head.clone();
        head.headers = pack(&self.headers);
        head
    }
}

/// What came of one attempt.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The endpoint's answer.
    Response(Response<Body>),
    /// Why there is none.
    Reply(Reply),
}
