//! At most one run for each idempotency key, agreed through the log.
//!
//! The instance that will send an unrepeatable request to an endpoint, its
//! dispatcher, first needs a claim in the log that is the earliest for the
//! request's key. Claims are batched: keys hash into [`PARTITIONS`] streams,
//! and the *batcher* of a partition, found by rendezvous hashing over the live
//! instances, appends what dispatchers send it. Its verdicts come from the
//! fold of the stream up to the record's own offset and from nothing else, so
//! they stay right while several instances think they are the batcher.
//!
//! - [`Table`] is the fold: the first claim of a key in log order wins for
//!   ever.
//! - [`Batcher`] appends, settles lost answers by reading back, and answers.
//! - [`Holder`] is the dispatcher's side: it alone decides to start a request,
//!   and gives it up by itself when the caller's deadline passes.
//! - [`ResponseCache`] holds finished answers for callers that send a key again.
//! - [`key`] reads keys and their time of issue, which bounds how long the
//!   log has to remember them.

use std::time::Duration;

use godwitpost_types::clock::Moment;
use godwitpost_types::hash;
use godwitpost_types::id::{BodyDigest, Incarnation, InstanceId, KeyDigest};
use godwitpost_types::outcome::Outcome;
use serde::{Deserialize, Serialize};

pub mod batch;
pub mod key;

mod answers;
mod batcher;
mod holder;
mod seek;
mod table;

pub use answers::{Lookup, ResponseCache};
pub use batcher::{Batcher, Next};
pub use godwitpost_types::outcome::Scope;
pub use holder::{AbandonResult, Holder, Refusal, Step};
pub use table::Table;

pub use crate::log::{AppendFailure, Page, StoredRecord};

/// Streams that claims are spread over.
///
/// With a batch each [`BATCH_PERIOD`] at most, 16 partitions make 320 appends
/// a second, within the several hundred that the log takes; at 1,700 claims a
/// second (17,000 requests, one in ten unrepeatable) that is about five claims
/// and five fates a batch. More partitions spread a batcher's memory and its
/// loss over more instances but cost appends.
pub const PARTITIONS: u16 = 16;

/// The least time between two appends to one partition.
///
/// It adds half of itself to an unrepeatable request's latency on average.
pub const BATCH_PERIOD: Duration = Duration::from_millis(50);

/// How far ahead of the log's clock a key's time of issue may lie.
///
/// Callers stamp keys with their own clocks; 30 s is far above what NTP keeps.
/// It lengthens by itself the time that the log must remember claims.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(30);

/// Names one claim; no two claims share it, and a claim sent again keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// The dispatcher that alone may start the request.
    pub holder: InstanceId,
    /// The holder's incarnation; a restarted holder has forgotten the claim.
    pub incarnation: Incarnation,
    /// Counts the claims of that incarnation.
    pub sequence: u64,
}

/// A claim as it stands in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// Names the claim.
    pub id: Id,
    /// What is claimed.
    pub key: KeyDigest,
    /// The body that came with the key; another one is refused.
    pub body: BodyDigest,
    /// When the caller issued the key, in whole milliseconds.
    pub issued: Moment,
}

/// One entry of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Item {
    /// A dispatcher asks for the key.
    Claim(Record),
    /// The winner's holder tells how the request ended, as best effort.
    Outcome {
        /// The key that was claimed.
        key: KeyDigest,
        /// The claim that won it.
        id: Id,
        /// How it ended.
        outcome: Outcome,
    },
}

impl Item {
    /// Returns the key that the item is about.
    #[must_use]
    pub const fn key(&self) -> &KeyDigest {
        match self {
            Self::Claim(record) => &record.key,
            Self::Outcome { key, .. } => key,
        }
    }
}

/// What a batcher answers a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The claim is the first of its key: its holder may start the request.
    Claimed,
    /// Another claim of the key came first.
    Taken {
        /// The claim that won.
        by: Id,
        /// How the winner ended, where the log says.
        #[serde(rename = "fate")]
        outcome: Option<Outcome>,
    },
    /// The key was claimed with another body.
    OtherBody,
    /// The key is older than the log's memory of claims.
    Expired,
    /// The key's time of issue is too far ahead of the log's clock.
    Early,
    /// The log gave no verdict in time; the holder must give the claim up.
    Unavailable,
}

/// Returns the partition that a key's claims are in.
#[must_use]
pub fn partition(key: &KeyDigest) -> u16 {
    u16::from_le_bytes([key[0], key[1]]) % PARTITIONS
}

/// Returns the name of a partition's stream in the log.
#[must_use]
pub fn stream_name(partition: u16) -> String {
    format!("claims-{partition}")
}

/// Returns the instance among the live ones that batches a partition.
pub fn batcher_for(
    partition: u16,
    live: impl IntoIterator<Item = InstanceId>,
) -> Option<InstanceId> {
    // Keeps a partition's scores apart from those of other rendezvous keys.
    const SALT: u64 = 0x636c_6169_6d73_0000;
    hash::winner(SALT | u64::from(partition), live)
}
