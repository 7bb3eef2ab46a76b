//! What instances tell each other, when, and within how many bytes.
//!
//! Each period an instance sends one peer a [`Message`] and gets one back, so
//! news travels both ways on each contact. News that can't wait, a bundle
//! version or a leaving sign that the instance itself has just learned, goes
//! to [`URGENT_FANOUT`] more peers at once. Everything is paid from a [`Budget`]
//! in bytes with all headers counted; an empty one defers gossip. The bundle
//! version is in every message, so it is deferred with the message and never
//! left out of one.

pub mod message;

mod budget;
mod pump;
mod spread;

pub use budget::{Budget, Urgency};
pub use message::{Demand, EVIDENCE_BYTES, Evidence, Load, Message};
pub use pump::{EXCHANGE_INTERVAL, MAX_BODY_BYTES, PeerUpdate, Pump, URGENT_FANOUT};
pub use spread::SendQueue;
