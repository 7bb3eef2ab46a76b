//! At-most-once execution per idempotency key, coordinated through the log.
//!
//! Before an instance (the dispatcher) sends an unrepeatable request to an
//! endpoint, its claim must be the earliest one in the log for the request's
//! key. Claims are batched: keys hash into [`PARTITIONS`] streams, and the
//! *batcher* of a partition appends the claims that dispatchers send it. The
//! batcher is chosen by rendezvous hashing over the live instances. A verdict
//! depends only on the stream's records up to and including the claim's own
//! record, so verdicts stay correct while several instances act as the batcher
//! of one partition.
//!
//! - [`Table`] is the state folded from the stream: the first claim of a key in
//!   log order wins permanently.
//! - [`Batcher`] appends claims, reads the stream back after a lost response,
//!   and returns verdicts.
//! - [`Holder`] is the dispatcher's side. It alone decides whether a request
//!   starts, and it abandons the claim when the caller's deadline passes.
//! - [`ResponseCache`] keeps finished responses for callers that resend a key.
//! - [`key`] parses keys and their issue times, which bound how long the log
//!   has to retain claims.

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

/// The number of streams that claims are distributed over.
///
/// With at most one batch per [`BATCH_PERIOD`], 16 partitions make 320 appends
/// per second, within the several hundred that the log accepts. At 1,700 claims
/// per second (17,000 requests, one in ten unrepeatable) a batch has about five
/// claims and five outcomes. More partitions spread a batcher's memory, and the
/// impact of its failure, over more instances but need more appends.
pub const PARTITIONS: u16 = 16;

/// The minimum time between two appends to one partition.
///
/// On average it adds half of its length to the latency of an unrepeatable
/// request.
pub const BATCH_PERIOD: Duration = Duration::from_millis(50);

/// How far a key's issue time may be ahead of the log's clock.
///
/// Callers set issue times from their own clocks; 30 s is far above the error
/// of an NTP-synchronized clock. The log must retain claims for this much
/// longer.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(30);

/// Identifies one claim uniquely; a resent claim keeps its ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// The dispatcher, the only instance that may start the request.
    pub holder: InstanceId,
    /// The holder's incarnation; a restarted holder no longer knows the claim.
    pub incarnation: Incarnation,
    /// The sequence number of the claim within that incarnation.
    pub sequence: u64,
}

/// A claim as recorded in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// Identifies the claim.
    pub id: Id,
    /// The claimed key.
    pub key: KeyDigest,
    /// The digest of the body sent with the key; another body is refused.
    pub body: BodyDigest,
    /// When the caller issued the key, in whole milliseconds.
    pub issued: Moment,
}

/// One item of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Item {
    /// A claim of a key by a dispatcher.
    Claim(Record),
    /// The outcome of a claimed request, reported by its holder on a
    /// best-effort basis.
    Outcome {
        /// The key that was claimed.
        key: KeyDigest,
        /// The claim that won the key.
        id: Id,
        /// How the request ended.
        outcome: Outcome,
    },
}

impl Item {
    /// Returns the key that the item refers to.
    #[must_use]
    pub const fn key(&self) -> &KeyDigest {
        match self {
            Self::Claim(record) => &record.key,
            Self::Outcome { key, .. } => key,
        }
    }
}

/// The batcher's decision on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The claim is the first for its key; its holder may start the request.
    Claimed,
    /// Another claim of the key came first in the log.
    Taken {
        /// The claim that won.
        by: Id,
        /// The outcome of the winner's request, if the log has it.
        #[serde(rename = "fate")]
        outcome: Option<Outcome>,
    },
    /// The key was already claimed with another body.
    OtherBody,
    /// The key was issued before the claim window, or before the records that
    /// could be read.
    Expired,
    /// The key's issue time is too far ahead of the log's clock.
    Early,
    /// The log returned no verdict in time; the holder must abandon the claim.
    Unavailable,
}

/// Returns the partition that contains a key's claims.
#[must_use]
pub fn partition(key: &KeyDigest) -> u16 {
    u16::from_le_bytes([key[0], key[1]]) % PARTITIONS
}

/// Returns the name of a partition's log stream.
#[must_use]
pub fn stream_name(partition: u16) -> String {
    format!("claims-{partition}")
}

/// Returns the instance, among the live ones, that is the batcher of a partition.
pub fn batcher_for(
    partition: u16,
    live: impl IntoIterator<Item = InstanceId>,
) -> Option<InstanceId> {
    // Keeps the scores of partitions distinct from those of other rendezvous
    // keys.
    const SALT: u64 = 0x636c_6169_6d73_0000;
    hash::winner(SALT | u64::from(partition), live)
}
