//! Leases that allow one instance to send orders to a pool of endpoints,
//! coordinated through the log.
//!
//! One stream, [`STREAM_NAME`], contains the leases of all pools. [`Table`] is
//! the state folded from it. A lease is granted if no other lease of the pool is
//! valid at the log time of the record that acquires it. The lease's fencing
//! number is the offset of that record, so a later lease always has a greater
//! one. [`Holder`] acquires, renews and releases a lease for one instance. It
//! measures the expiry on its own clock, from *before* it sent the record, and
//! subtracts [`EXPIRY_MARGIN`], so it stops before the log grants the lease to
//! another instance.

use std::time::Duration;

use godwitpost_types::id::{Incarnation, InstanceId, Offset};
use serde::{Deserialize, Serialize};

mod holder;
mod table;

pub use holder::{Holder, Next};
pub use table::{Lease, Table};

/// The name of the log stream with the leases of all pools.
pub const STREAM_NAME: &str = "leases";

/// How long a lease is valid after the log time of its record.
///
/// After a holder fails, its pool gets no orders for this time plus the
/// successor's first-order delay. That is acceptable because orders start loads
/// that take minutes.
pub const LEASE_DURATION: Duration = Duration::from_secs(15);

/// The time between two renewals of a lease.
///
/// A third of [`LEASE_DURATION`], so that two renewals may be lost. 35 pools
/// need seven appends per second.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(5);

/// How long before a lease expires its holder stops sending orders.
///
/// Covers the drift between clocks over one lease (far under one percent) and
/// the time that an order takes to reach its endpoint.
pub const EXPIRY_MARGIN: Duration = Duration::from_secs(3);

/// The ID of a pool of endpoints: the ID of the service they belong to.
pub type Pool = u64;

/// One record of the lease stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The pool whose lease the operation is on.
    pub pool: Pool,
    /// The instance that requests the operation.
    pub holder: InstanceId,
    /// The incarnation of that instance; a restarted instance does not inherit a
    /// lease.
    pub incarnation: Incarnation,
    /// Identifies the record among those of the instance, so that it can find
    /// when it sent the record.
    pub ticket: u64,
    /// The requested operation.
    #[serde(rename = "ask")]
    pub operation: Operation,
}

/// An operation on the lease of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Acquire the lease if no other one is valid.
    #[serde(rename = "Take")]
    Acquire,
    /// Extend the lease with this fencing number by [`LEASE_DURATION`].
    Renew(Offset),
    /// End the lease with this fencing number.
    Release(Offset),
}

impl Record {
    /// Encodes the record.
    ///
    /// # Panics
    ///
    /// Panics if the encoder fails, which does not happen when it writes to
    /// memory.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a record encodes into memory")
    }

    /// Decodes a record, or returns `None` if the bytes are not one.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}
