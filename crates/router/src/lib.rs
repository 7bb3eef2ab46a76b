//! The router: relays requests from callers to endpoints, with other instances
//! as peers.
//!
//! [`start`] runs one; `docs/ARCHITECTURE.md` describes the path of a request
//! through the files. `godwitpost-decide` and `godwitpost-state` hold the logic;
//! this crate passes them bytes and time and carries out their decisions.

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
