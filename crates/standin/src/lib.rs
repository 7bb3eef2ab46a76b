//! Stand-ins for the platform and the endpoints, with faults to switch on.
//!
//! They speak the protocols of `docs/PLATFORM.md` and keep everything in
//! memory. Tests and the demo start them in their own process; the binary
//! `godwitpost-standin` starts one for people. Each module has the same shape:
//! `start` with an address and faults gives a `Running`, which says where it
//! listens, has a handle by which the faults can be changed while it runs, and
//! stops when it is dropped.
//!
//! Over HTTP the faults are read by `GET /faults` and replaced by
//! `PUT /faults`, with the JSON of the module's `Faults`; what is left out gets
//! its default.

pub mod digest;
pub mod engine;

pub mod faults;
pub mod list;
pub mod log;
pub mod observe;
pub mod plain;
pub mod weights;

mod answer;
mod endpoint;
mod serve;

pub use self::serve::Error;
