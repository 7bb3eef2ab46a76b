//! The protocol between instances, and the names of headers.
//!
//! Instances communicate over HTTP. A message is one [`frame::Frame`]: a MessagePack
//! head and an optional raw body, so a relayed prompt is never encoded twice. Each
//! message has a seal made with the fleet's [`auth::Key`]. Only holders of the key may
//! send requests and gossip.
//!
//! `rmp-serde` serializes structs as arrays, so the order of fields is part of the
//! format. New fields may only be added at the end, with a default.

pub mod auth;
pub mod dispatch;
pub mod frame;
pub mod header;
