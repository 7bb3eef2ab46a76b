//! State machines for at-most-once claims, membership, leases, orders and
//! drain.
//!
//! All code in this crate is deterministic. It opens no sockets, starts no
//! threads, reads no clocks and uses no global randomness: callers pass in each
//! event with its time and receive an enum that says what to do next. The
//! router does the I/O; tests and benchmarks drive the same code directly.

pub mod claim;
pub mod drain;
pub mod gossip;
pub mod lease;
pub mod log;
pub mod membership;
pub mod order;
