//! The router: callers on one side, endpoints on the other, peers beside.
//!
//! [`start`] runs one; `docs/ARCHITECTURE.md` says where a request goes, file
//! by file. Decisions are taken by `godwitpost-decide` and `godwitpost-state`;
//! what is here carries bytes and time to them and does what they say.

mod body;
mod claims;
pub mod cli;
mod control;
mod handover;
mod problem;
mod random;
mod relay;
mod resolve;
mod running;
mod serve;
pub mod settings;
mod shared;
mod shutdown;

pub use running::{AbortHandle, Error, Running, start};
pub use shutdown::ShutdownResult;
