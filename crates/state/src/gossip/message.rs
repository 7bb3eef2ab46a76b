//! The message that instances exchange, and its encoding.
//!
//! The serializers and visitors are written by hand, because the control budget
//! is spent on this message. All parts are arrays in a fixed order, without
//! field names.

use std::fmt;
use std::time::Duration;

use godwitpost_types::clock::Moment;
use godwitpost_types::endpoint::Standing;
use godwitpost_types::id::Version;
use serde::de::{self, Deserialize, Deserializer, SeqAccess, Visitor};
use serde::ser::{Serialize, SerializeTuple, Serializer};

use crate::membership::endpoints::LeavingNotice;
use crate::membership::{Heartbeat, MemberUpdate, State};

/// The size of one piece of quarantine evidence in bytes.
///
/// It holds a request's digest, the endpoint with its incarnation, the instance
/// that observed it, and the time.
pub const EVIDENCE_BYTES: usize = 48;

/// Quarantine evidence, opaque to gossip; only the quarantine decodes it.
pub type Evidence = [u8; EVIDENCE_BYTES];

/// The sender's load, summed over its home endpoints in one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// The pool: a service, or a model of it.
    pub pool: u64,
    /// The number of endpoints in the sums.
    pub endpoints: u32,
    /// The estimated work of the endpoints, in tokens still to be computed.
    pub work: u64,
    /// The number of requests that wait for these endpoints.
    pub waiting: u32,
    /// When the sums were taken, in whole milliseconds.
    pub taken: Moment,
}

/// The demand of a workspace at the sender, an input of the workspace limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The workspace.
    pub workspace: u64,
    /// Requests per 1,000 seconds.
    pub rate: u32,
    /// Concurrent requests.
    pub running: u32,
}

/// A gossip message from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The sender's heartbeat.
    pub from: Heartbeat,
    /// The bundle version in force at the sender; 0 for none.
    pub version: Version,
    /// Updates about instances.
    pub member_updates: Vec<MemberUpdate>,
    /// Notices of leaving endpoints.
    pub leaving: Vec<LeavingNotice>,
    /// The sender's load sums.
    pub loads: Vec<Load>,
    /// Quarantine evidence.
    pub evidence: Vec<Evidence>,
    /// The demand, at the sender, of workspaces near or over their share; `None`
    /// if the message omits it.
    pub demands: Option<Vec<Demand>>,
}

/// Why bytes could not be decoded as a message.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// the bytes are no gossip message ({0}); check that all instances run the same release
    Malformed(String),
}

impl std::error::Error for Error {}

impl Message {
    /// Encodes the message.
    ///
    /// # Panics
    ///
    /// Panics if the encoder fails, which does not happen when writing to memory.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a message encodes into memory")
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] for anything that [`Message::encode`] did
    /// not write.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        rmp_serde::from_slice(bytes).map_err(|cause| Error::Malformed(cause.to_string()))
    }
}

const ELEMENT_COUNT: usize = 10;

impl Serialize for Message {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(ELEMENT_COUNT)?;
        tuple.serialize_element(&self.from.id)?;
        tuple.serialize_element(&self.from.incarnation)?;
        tuple.serialize_element(&self.from.sequence)?;
        tuple.serialize_element(&(self.from.standing == Standing::Leaving))?;
        tuple.serialize_element(&self.version)?;
        tuple.serialize_element(&self.member_updates)?;
        tuple.serialize_element(&self.leaving)?;
        tuple.serialize_element(&self.loads)?;
        tuple.serialize_element(&EvidenceBytes(&self.evidence))?;
        tuple.serialize_element(&self.demands)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Message {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(ELEMENT_COUNT, MessageVisitor)
    }
}

struct MessageVisitor;

impl<'de> Visitor<'de> for MessageVisitor {
    type Value = Message;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an array of ten: id, incarnation, beat, leaving, version, lists")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Message, A::Error> {
        Ok(Message {
            from: Heartbeat {
                id: required_element(&mut seq)?,
                incarnation: required_element(&mut seq)?,
                sequence: required_element(&mut seq)?,
                standing: standing_from_flag(required_element(&mut seq)?),
            },
            version: required_element(&mut seq)?,
            member_updates: required_element(&mut seq)?,
            leaving: required_element(&mut seq)?,
            loads: required_element(&mut seq)?,
            evidence: required_element::<A, EvidenceList>(&mut seq)?.0,
            demands: required_element(&mut seq)?,
        })
    }
}

const fn standing_from_flag(leaving: bool) -> Standing {
    if leaving {
        Standing::Leaving
    } else {
        Standing::Live
    }
}

fn required_element<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
    seq: &mut A,
) -> Result<T, A::Error> {
    seq.next_element()?
        .ok_or_else(|| de::Error::custom("a message has too few elements"))
}

impl Serialize for MemberUpdate {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let state = match self.state {
            State::Live => 0_u8,
            State::Suspect => 1,
            State::Leaving => 2,
            State::Returning => 3,
            State::Gone => 4,
        };
        (self.id, self.incarnation, self.sequence, state).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for MemberUpdate {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (id, incarnation, sequence, state) = Deserialize::deserialize(deserializer)?;
        let state = match state {
            0_u8 => State::Live,
            1 => State::Suspect,
            2 => State::Leaving,
            3 => State::Returning,
            4 => State::Gone,
            _ => return Err(de::Error::custom("unknown state of an instance")),
        };
        Ok(Self {
            id,
            incarnation,
            sequence,
            state,
        })
    }
}

impl Serialize for LeavingNotice {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.id, self.incarnation).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for LeavingNotice {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (id, incarnation) = Deserialize::deserialize(deserializer)?;
        Ok(Self { id, incarnation })
    }
}

impl Serialize for Load {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let taken = u64::try_from(self.taken.as_millis()).unwrap_or(u64::MAX);
        (self.pool, self.endpoints, self.work, self.waiting, taken).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Load {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (pool, endpoints, work, waiting, taken) = Deserialize::deserialize(deserializer)?;
        Ok(Self {
            pool,
            endpoints,
            work,
            waiting,
            taken: Duration::from_millis(taken),
        })
    }
}

impl Serialize for Demand {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.workspace, self.rate, self.running).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Demand {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (workspace, rate, running) = Deserialize::deserialize(deserializer)?;
        Ok(Self {
            workspace,
            rate,
            running,
        })
    }
}

// Evidence as one byte string, so that a piece takes exactly its 48 bytes.
struct EvidenceBytes<'a>(&'a [Evidence]);

impl Serialize for EvidenceBytes<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(self.0.as_flattened())
    }
}

struct EvidenceList(Vec<Evidence>);

impl<'de> Deserialize<'de> for EvidenceList {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(EvidenceListVisitor)
    }
}

struct EvidenceListVisitor;

impl Visitor<'_> for EvidenceListVisitor {
    type Value = EvidenceList;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("pieces of evidence, 48 bytes each")
    }

    fn visit_bytes<E: de::Error>(self, v: &[u8]) -> Result<EvidenceList, E> {
        let (pieces, rest) = v.as_chunks::<EVIDENCE_BYTES>();
        if !rest.is_empty() {
            return Err(E::invalid_length(v.len(), &self));
        }
        Ok(EvidenceList(pieces.to_vec()))
    }
}

#[cfg(test)]
mod tests;
