//! Decisions on state: at-most-once claims, membership, leases, orders, drain.
//!
//! Everything here is a pure state machine or fold. Nothing opens a socket,
//! starts a thread, reads a clock or draws ambient randomness: an event comes
//! in with its moment, and an enum of what to do next comes out. The router
//! carries the messages; tests and benches drive the same code directly.

pub mod claim;
pub mod drain;
pub mod gossip;
pub mod lease;
pub mod log;
pub mod membership;
pub mod order;
