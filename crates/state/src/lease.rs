//! Who may give a pool of endpoints orders, agreed through the log.
//!
//! One stream, [`STREAM_NAME`], holds the leases of all pools. The fold is
//! [`Table`]: a lease is taken when none runs at the record's own log time, and
//! its fencing number is the offset of the record that took it, so a later
//! lease always has a greater one. [`Holder`] takes, renews and doubts a lease
//! for one instance: it measures the end on its own clock from *before* it
//! asked, less [`EXPIRY_MARGIN`], so it stops before the log lets anyone else in.

use std::time::Duration;

use godwitpost_types::id::{Incarnation, InstanceId, Offset};
use serde::{Deserialize, Serialize};

mod holder;
mod table;

pub use holder::{Holder, Next};
pub use table::{Lease, Table};

/// The log stream of all leases.
pub const STREAM_NAME: &str = "leases";

/// How long a lease runs from the log's time of its record.
///
/// A dead holder leaves its pool without orders for this long and the
/// successor's wait; orders are about minutes of loading, so nothing hurries.
pub const LEASE_DURATION: Duration = Duration::from_secs(15);

/// How often a holder renews.
///
/// A third of the term, so that two renewals may be lost; 35 pools cost seven
/// appends a second.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(5);

/// What a holder takes off its lease's end on its own clock.
///
/// It covers clocks that run at different rates over a term (far under a
/// percent) and the time that an order is under way to its endpoint.
pub const EXPIRY_MARGIN: Duration = Duration::from_secs(3);

/// A pool of endpoints that orders are planned for: a service.
pub type Pool = u64;

/// One record of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The pool.
    pub pool: Pool,
    /// Who asks.
    pub holder: InstanceId,
    /// The life of who asks; a restart doesn't inherit a lease.
    pub incarnation: Incarnation,
    /// Tells this record from the asker's others, so that it knows when it
    /// sent the one it meets.
    pub ticket: u64,
    /// What is asked.
    #[serde(rename = "ask")]
    pub operation: Operation,
}

/// What a record asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// The lease, if none runs.
    #[serde(rename = "Take")]
    Acquire,
    /// Another term of the lease with this fencing number.
    Renew(Offset),
    /// The end of the lease with this fencing number.
    Release(Offset),
}

impl Record {
    /// Encodes the record.
    ///
    /// # Panics
    ///
    /// Panics if the encoder fails, which writing to memory never does.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a record encodes into memory")
    }

    /// Decodes a record; `None` for anything that is not one.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}
