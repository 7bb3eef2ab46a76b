//! The messages by which instances send each other the state of the log.
//!
//! Most of an update is the same for all that ask at the same time: the policy and the
//! changed endpoints. These parts are encoded once, and each answer holds a copy of the
//! bytes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes};
use godwitpost_types::id::{BuildId, Era, ServiceId, Version};
use serde::{Deserialize, Serialize};

use super::group::{Group, ungroup};
use crate::builds::Mention;
use crate::crashes::ForwardedEvidence;
use crate::evacuation::Evacuation;
use crate::holders::PrefixHolder;
use crate::policy::Content;
use crate::roster::Registration;
use crate::source::Position;
use crate::stats::{Load, Overload};

/// A peer's request for an update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateRequest {
    /// The incarnation of the instance that assigned `revision`; 0 for none.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The last revision that the peer received.
    #[serde(rename = "stamp")]
    pub revision: u64,
    /// The value of [`Update::list_start`] in the last answer, while the peer receives the
    /// full list of endpoints; otherwise 0.
    pub list_start: u64,
    /// The digests of the endpoints that the peer knows, by bucket, if it has no revision
    /// but knows any; otherwise empty.
    pub digests: Vec<u64>,
    /// The address at which the peer itself can be polled.
    #[serde(rename = "own")]
    pub peer_address: Option<SocketAddr>,
    /// The address at which the peer takes requests of instances that can't reach their
    /// endpoints.
    pub forwards: Option<SocketAddr>,
    /// The digest of the peer's list of the instances that keep the origins of streams.
    pub members: u64,
    /// How many bytes a second the peer's link carries; 0 if unknown.
    pub link_rate: u64,
    /// Whether the peer reads the log itself.
    pub reads_log: bool,
    /// The policy version in force at the peer.
    pub version: Version,
    /// The position in the operator's topic up to which the peer knows the evacuated
    /// zones.
    pub evacuation: Position,
    /// How long to wait for a change before answering.
    pub wait: Duration,
    /// Loads that endpoints reported to the peer since its last request.
    pub loads: Vec<Load>,
    /// Endpoints that the peer found to hold prompt prefixes.
    #[serde(rename = "held")]
    pub holders: Vec<PrefixHolder>,
}

impl UpdateRequest {
    /// Returns whether the peer has a complete list of endpoints.
    #[must_use]
    pub const fn has_list(&self) -> bool {
        !self.digests.is_empty() || (self.incarnation != 0 && self.list_start == 0)
    }
}

/// The answer to an [`UpdateRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The incarnation of the answering instance.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The revision to send with the next request.
    #[serde(rename = "stamp")]
    pub revision: u64,
    /// If later changes are left out of this answer and the peer receives the full list,
    /// the revision at which the list began; otherwise 0. Removals up to it don't concern
    /// the peer.
    pub list_start: u64,
    /// Whether later changes are left out of this answer.
    pub more: bool,
    /// The log's era as far as the answering instance knows it; 0 if none was named.
    pub era: Era,
    /// How long ago the answering instance learned that the log was restored from a copy,
    /// if it was.
    pub restored: Option<Duration>,
    /// How long the answer was delayed while waiting for a change.
    pub waited: Duration,
    /// The policy version that was read last; 0 if there is none.
    pub version: Version,
    /// The age of the policy; `None` if it was never read. A read that found no policy,
    /// because the operator has not written one yet, counts.
    pub policy_age: Option<Duration>,
    /// The age of the list of endpoints; `None` if it was never read.
    pub endpoints_age: Option<Duration>,
    /// Whether the answering instance reads the log itself. State that it has from a peer
    /// would get too old on the way through two.
    pub reads_log: bool,
    /// How many answers with a part of its first list the answering instance has received,
    /// from the log or from a peer of its own.
    pub progress: u64,
    /// The policy, if it is newer than the peer's.
    #[serde(skip)]
    pub policy: Option<Content>,
    /// The evacuated zones, if they are newer than the peer's.
    pub evacuation: Option<Evacuation>,
    /// Whether the full list begins with `set`, so that endpoints that neither this answer
    /// nor the following ones name are gone.
    #[serde(rename = "whole")]
    pub full: bool,
    /// Buckets that `set` and `expired` list completely, so that other endpoints of theirs
    /// are gone.
    pub buckets: Vec<u16>,
    /// Endpoints that were added or changed.
    #[serde(skip)]
    pub set: Vec<Registration>,
    /// Endpoints whose entries expired while the answering instance couldn't read the
    /// log. They may have left: a recipient that knows them keeps them until a later
    /// update, and one that doesn't must not add them.
    #[serde(skip)]
    pub expired: Vec<String>,
    /// Endpoints that are gone.
    #[serde(skip)]
    pub removed: Vec<String>,
    /// Evidence on requests that crash endpoints.
    #[serde(rename = "sightings")]
    pub evidence: Vec<ForwardedEvidence>,
    /// Recently reported loads of endpoints.
    pub loads: Vec<Load>,
    /// Endpoints that were found near the load bound, with their loads.
    pub overloads: Vec<Overload>,
    /// Endpoints that were found to hold prompt prefixes.
    #[serde(rename = "held")]
    pub holders: Vec<PrefixHolder>,
    /// Instances to poll when no seed can be reached.
    pub standbys: Vec<SocketAddr>,
    /// Instances that take requests of others.
    pub forwarders: Vec<SocketAddr>,
    /// The instances that keep the origins of streams, if the peer's list is another one.
    pub members: Option<Vec<SocketAddr>>,
    /// At the first poll, the services with a build that alone can have begun streams.
    pub sole_builds: Vec<(ServiceId, BuildId)>,
    /// The builds of services that have had more than one lately.
    pub builds: Vec<Mention>,
    /// The number of instances, if the answering instance has counted them.
    pub instances: Option<u32>,
}

/// The endpoint changes of an update, as they are encoded.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct EndpointChanges {
    pub(super) set: Vec<Group>,
    #[serde(rename = "lapsed")]
    pub(super) expired: Vec<String>,
    #[serde(rename = "gone")]
    pub(super) removed: Vec<String>,
}

/// An update whose parts that many requests get are encoded already.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The rest of the update.
    pub update: Update,
    /// The encoded policy; empty if it is not sent.
    pub(super) policy: Bytes,
    /// The encoded endpoint changes; empty if there are none.
    pub(super) changes: Bytes,
}

/// Why a message can't be encoded or decoded.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the message can't be encoded ({0})
    Encode(rmp_serde::encode::Error),
    /// the message can't be decoded ({0}); check that both instances run the same version
    Decode(rmp_serde::decode::Error),
    /// the message ends early; check that both instances run the same version
    Truncated,
}

impl std::error::Error for Error {}

impl Answer {
    /// Encodes the answer: three parts, each preceded by its length.
    ///
    /// # Errors
    ///
    /// Returns an error if the update can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let update = encode(&self.update)?;
        let parts = [&update, &self.policy, &self.changes];
        let length = parts.iter().map(|part| size_of::<u32>() + part.len()).sum();
        let mut bytes = Vec::with_capacity(length);
        for part in parts {
            bytes.put_u32(u32::try_from(part.len()).unwrap_or(u32::MAX));
            bytes.put_slice(part);
        }
        Ok(bytes)
    }

    /// Returns the update with all its parts.
    ///
    /// # Errors
    ///
    /// Returns an error if a part can't be decoded.
    pub fn into_update(self) -> Result<Update, Error> {
        let changes: EndpointChanges = decode_part(&self.changes)?.unwrap_or_default();
        Ok(Update {
            policy: decode_part(&self.policy)?,
            set: ungroup(changes.set),
            expired: changes.expired,
            removed: changes.removed,
            ..self.update
        })
    }
}

impl Update {
    /// Decodes an encoded [`Answer`].
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no answer.
    pub fn decode(mut bytes: Bytes) -> Result<Self, Error> {
        let update = take_part(&mut bytes)?;
        let answer = Answer {
            update: rmp_serde::from_slice(&update).map_err(Error::Decode)?,
            policy: take_part(&mut bytes)?,
            changes: take_part(&mut bytes)?,
        };
        answer.into_update()
    }
}

/// Encodes one part of an answer.
///
/// # Errors
///
/// Returns an error if the value can't be encoded.
pub(super) fn encode<T: Serialize>(value: &T) -> Result<Bytes, Error> {
    rmp_serde::to_vec(value)
        .map(Bytes::from)
        .map_err(Error::Encode)
}

fn decode_part<T: for<'a> Deserialize<'a>>(part: &[u8]) -> Result<Option<T>, Error> {
    if part.is_empty() {
        return Ok(None);
    }
    rmp_serde::from_slice(part).map(Some).map_err(Error::Decode)
}

fn take_part(bytes: &mut Bytes) -> Result<Bytes, Error> {
    let length = bytes.try_get_u32().map_err(|_short| Error::Truncated)?;
    let length = usize::try_from(length).map_err(|_long| Error::Truncated)?;
    if bytes.len() < length {
        return Err(Error::Truncated);
    }
    Ok(bytes.split_to(length))
}
