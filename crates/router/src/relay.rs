//! A request's way from its entry instance over an owner to an endpoint.
//!
//! [`entry`] runs a caller's request: it asks placement for an owner, sends
//! the request there (over [`peer`], or to [`owner`] if that is this
//! instance), and decides on another attempt if one failed. [`owner`] offers
//! the request to the [`desk`] and, with its leave, sends it on by
//! [`endpoint`], whose [`answer`] it relays; unrepeatable requests pass
//! [`once`] between the two. [`resume`] asks for the rest of a broken stream,
//! and [`cancel`] ends what nobody waits for.

pub(crate) mod answer;
pub(crate) mod cancel;
pub(crate) mod desk;
pub(crate) mod endpoint;
pub(crate) mod entry;
pub(crate) mod once;
pub(crate) mod owner;
pub(crate) mod peer;
pub(crate) mod resume;

use bytes::Bytes;
use godwitpost_platform::connect::Body;
use godwitpost_wire::dispatch::{Head, Reply};
use http::Response;

/// A request on its way, with its whole body.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// What travels between instances.
    pub(crate) head: Head,
    /// The body; clones share it.
    pub(crate) body: Bytes,
}

/// What came of one attempt.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// The endpoint's answer.
    Answered(Response<Body>),
    /// Why there is none.
    Reply(Reply),
}
