//! The gossip protocol between router instances.
//!
//! In each interval an instance sends one peer a [`Message`] and receives one
//! in response, so updates propagate in both directions. Urgent updates (a new
//! bundle version, a leaving notice or quarantine evidence that the instance
//! has just learned) also go to [`URGENT_FANOUT`] more peers at once. All
//! traffic, headers included, is charged to a [`Budget`] in bytes; an empty
//! budget defers gossip. Every message carries the bundle version, so an empty
//! budget can defer the version but never omits it from a message.

pub mod message;

mod budget;
mod pump;
mod spread;

pub use budget::{Budget, Urgency};
pub use message::{Demand, EVIDENCE_BYTES, Evidence, Load, Message};
pub use pump::{EXCHANGE_INTERVAL, MAX_BODY_BYTES, PeerUpdate, Pump, URGENT_FANOUT};
pub use spread::SendQueue;
