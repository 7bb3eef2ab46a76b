//! The events of a run, as recorded by the participants that observed them.

use std::collections::BTreeMap;
use std::fmt;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{Incarnation, Offset, Version};
use godwitpost_types::outcome::Outcome;
use serde::{Deserialize, Serialize};

/// The name of an instance, endpoint, service or workspace in a history.
pub type Name = String;
/// The id of one HTTP request as a caller sent it; a resend is another call.
pub type CallId = u64;
/// The id of one run of a request at an endpoint, unique in the history.
pub type RunId = u64;
/// A value that distinguishes answers or bundles, such as a digest of the bytes.
pub type Digest = String;

/// An event with its position in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The position in the history; smaller numbers come first.
    pub order: u64,
    /// The time of recording, on the clock of the run.
    #[serde(rename = "at_us", with = "micros")]
    pub at: Moment,
    /// What happened.
    #[serde(flatten)]
    pub what: What,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum What {
    /// A caller is about to send a request.
    CallerSent(Sent),
    /// A call ended for its caller.
    CallerGot(Got),
    /// An instance took part in sending a request to an endpoint.
    Dispatched(Dispatch),
    /// An endpoint starts to run a request.
    RunStarted(Run),
    /// A fault at an endpoint is about to cut off the answer of a run.
    AnswerCut {
        /// The run, which may continue and end as [`End::Whole`].
        run: RunId,
    },
    /// An endpoint stopped running a request.
    RunEnded(RunEnd),
    /// An endpoint received a request and refused to run it.
    RunRefused(Run),
    /// An endpoint became ready for requests.
    EndpointJoined {
        /// Its name.
        endpoint: Name,
        /// Its incarnation under that name.
        incarnation: Incarnation,
        /// The service that it serves.
        service: Name,
    },
    /// An endpoint announced that it is leaving.
    EndpointLeaving {
        /// Its name.
        endpoint: Name,
        /// The incarnation that ends.
        incarnation: Incarnation,
    },
    /// The time for the announcement to take effect is over; no request may be
    /// sent to the endpoint after this event.
    LeavingSettled {
        /// The endpoint's name.
        endpoint: Name,
        /// The incarnation that ends.
        incarnation: Incarnation,
    },
    /// An endpoint was lost without finishing its runs.
    EndpointLost {
        /// Its name.
        endpoint: Name,
        /// The incarnation that ended.
        incarnation: Incarnation,
    },
    /// The log stored a bundle that the fold accepts.
    BundleAccepted(Accepted),
    /// A bundle version came into force at an instance.
    BundleInForce(InForce),
    /// The time for a roll is over; after this event the version must be in force
    /// on every instance.
    RollSettled {
        /// The version that was rolled.
        version: Version,
    },
    /// An instance became ready for callers.
    InstanceStarted {
        /// Its name.
        instance: Name,
    },
    /// A graceful stop of an instance begins.
    StopBegun {
        /// Its name.
        instance: Name,
    },
    /// A graceful stop of an instance has ended.
    StopEnded {
        /// Its name.
        instance: Name,
    },
    /// An instance is about to be killed.
    InstanceKilled {
        /// Its name.
        instance: Name,
    },
    /// The work on the endpoints of a service was sampled at one instant.
    LoadSampled(Sample),
}

/// A request as its caller sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sent {
    /// The call.
    pub call: CallId,
    /// The name of the requested job; a resend of an unrepeatable request has
    /// the same name.
    pub job: String,
    /// The workspace that sends the request.
    pub workspace: Name,
    /// The instance that it is sent to.
    pub instance: Name,
    /// Whether the job may run at most once.
    pub unrepeatable: bool,
}

/// The end of a call as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Got {
    /// The call.
    pub call: CallId,
    /// The outcome of the request as stated to the caller, if it was stated.
    pub outcome: Option<Outcome>,
    /// The status of the answer, if the caller received its head.
    pub status: Option<u16>,
    /// How the answer ended.
    pub end: End,
    /// The digest of the endpoint's answer; `None` if a router answered.
    pub answer: Option<Digest>,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The answer was complete according to its framing.
    Whole,
    /// The connection broke before the end of the answer.
    Cut,
    /// The receiver stopped waiting for the answer.
    Abandoned,
    /// No connection could be made, so nothing was sent.
    Unreached,
}

/// An instance's part in sending a request to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The call.
    pub call: CallId,
    /// The instance, which received the request from its caller or owns the
    /// endpoint.
    pub instance: Name,
    /// The bundle version under which it handles the request.
    pub version: Version,
}

/// A run of a request at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The run.
    pub run: RunId,
    /// The call whose request it is.
    pub call: CallId,
    /// The endpoint.
    pub endpoint: Name,
    /// The endpoint's incarnation.
    pub incarnation: Incarnation,
    /// Estimated work in tokens; 1 where the service has no estimate.
    pub work: u64,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The run.
    pub run: RunId,
    /// How the answer of the endpoint ended.
    pub end: End,
    /// The digest of its whole answer.
    pub answer: Option<Digest>,
}

/// A bundle that the log stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Its version.
    pub version: Version,
    /// The root digest of its entries.
    pub root: Digest,
    /// The offset of its record.
    pub offset: Offset,
}

/// A bundle that came into force at an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The instance.
    pub instance: Name,
    /// The version.
    pub version: Version,
    /// The root digest of its entries.
    pub root: Digest,
}

/// The work on a service's endpoints at one instant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The service.
    pub service: Name,
    /// The work on each of its endpoints that may receive new requests.
    pub work: BTreeMap<Name, u64>,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.at.as_millis();
        write!(f, "#{} at {millis} ms: {:?}", self.order, self.what)
    }
}

/// Serializes moments as whole microseconds, which readers of the file can
/// subtract.
mod micros {
    use std::time::Duration;

    use godwitpost_types::clock::Moment;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(at: &Moment, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(u64::try_from(at.as_micros()).unwrap_or(u64::MAX))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Moment, D::Error> {
        u64::deserialize(from).map(Duration::from_micros)
    }
}
