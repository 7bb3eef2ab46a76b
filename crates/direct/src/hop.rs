//! The message by which an instance gives a request to another one to send on, and the
//! outcome that comes back with the response.

use std::time::Duration;

use bytes::Bytes;
use godwitpost_types::id::{BuildId, Version};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use serde::{Deserialize, Serialize};

/// The path of requests that are to be sent on.
pub(crate) const FORWARD_PATH: &str = "/forward/v2/request";

/// The path of questions whether the endpoint that the body names can be connected to.
pub(crate) const PROBE_PATH: &str = "/forward/v2/probe";

/// The header of a response that names the [`Outcome`].
pub(crate) const OUTCOME_HEADER: HeaderName = HeaderName::from_static("forward-outcome");

/// The header that carries the length of a response that has no body, since it answers
/// `HEAD`.
pub(crate) const HEAD_LENGTH_HEADER: HeaderName = HeaderName::from_static("forward-length");

/// A request to be sent on to one endpoint. The caller's body follows the encoded frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Frame {
    /// The name of the endpoint.
    pub(crate) endpoint: String,
    /// Its build, as the sender knows it. It may be back under its name at another one.
    pub(crate) build: BuildId,
    /// The version of the configuration by which the sender resolved the request. An older
    /// one must not be applied to it.
    pub(crate) version: Version,
    /// The time until the request's deadline.
    pub(crate) remaining: Duration,
    /// Whether the request may have reached an endpoint before.
    pub(crate) repeated: bool,
    /// The event after which to resume, if a broken stream is requested again.
    pub(crate) last_event_id: Option<u64>,
    /// The name of the endpoint that missing parts of the prompt can be fetched from.
    pub(crate) source: Option<String>,
    /// The caller's method.
    pub(crate) method: String,
    /// The caller's target, as path and query.
    pub(crate) target: String,
    /// The caller's headers.
    pub(crate) headers: Vec<(String, Vec<u8>)>,
}

/// Why a frame can't be read or written.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum FrameError {
    /// the frame can't be encoded ({0})
    Encode(rmp_serde::encode::Error),
    /// the frame can't be decoded ({0}); check that both instances run the same version
    Decode(rmp_serde::decode::Error),
    /// the frame holds no proper request head; check that both instances run the same version
    Head,
}

impl Frame {
    /// Encodes the frame with the caller's body behind it.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be encoded.
    pub(crate) fn encode(&self, body: &[u8]) -> Result<Bytes, FrameError> {
        let mut bytes = rmp_serde::to_vec(self).map_err(FrameError::Encode)?;
        bytes.extend_from_slice(body);
        Ok(bytes.into())
    }

    /// Returns a frame and the caller's body.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes don't begin with a frame.
    pub(crate) fn decode(bytes: &Bytes) -> Result<(Self, Bytes), FrameError> {
        let mut rest: &[u8] = bytes;
        let frame = rmp_serde::from_read(&mut rest).map_err(FrameError::Decode)?;
        let body = bytes.slice(bytes.len() - rest.len()..);
        Ok((frame, body))
    }

    /// Returns the head of the caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of it is malformed.
    pub(crate) fn head(&self) -> Result<(Method, Uri, HeaderMap), FrameError> {
        let head = || {
            let method = self.method.parse().ok()?;
            let target = self.target.parse().ok()?;
            Some((method, target, decode_headers(&self.headers)?))
        };
        head().ok_or(FrameError::Head)
    }
}

/// Returns headers as a frame holds them.
pub(crate) fn encode_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let pairs = headers.iter();
    pairs
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

fn decode_headers(pairs: &[(String, Vec<u8>)]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(pairs.len());
    for (name, value) in pairs {
        let name: HeaderName = name.parse().ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}

/// What came of a request that was given to another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The endpoint responded; the response is its own. To a question: it accepts
    /// connections.
    Answered,
    /// Not sent: the other instance can't connect to the endpoint, or holds it to be down.
    Unreachable,
    /// Not sent: the other instance has lost its path to the endpoint as well.
    OutOfReach,
    /// Not sent: the other instance doesn't take the request.
    Declined,
    /// It is unknown whether the request ran.
    Lost,
}

impl Outcome {
    const ALL: [Self; 5] = [
        Self::Answered,
        Self::Unreachable,
        Self::OutOfReach,
        Self::Declined,
        Self::Lost,
    ];

    /// Returns the outcome's name in messages, logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Unreachable => "unreachable",
            Self::OutOfReach => "out-of-reach",
            Self::Declined => "declined",
            Self::Lost => "lost",
        }
    }

    /// Takes the outcome out of a response's headers. A response without one doesn't come
    /// from an instance that knows whether the request ran.
    pub(crate) fn take(headers: &mut HeaderMap) -> Self {
        let value = headers.remove(OUTCOME_HEADER);
        let named = |one: &Self| value.as_ref().is_some_and(|value| value == one.as_str());
        Self::ALL.into_iter().find(named).unwrap_or(Self::Lost)
    }
}
