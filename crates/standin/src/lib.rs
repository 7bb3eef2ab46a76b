//! Stand-ins for the platform and the endpoints, with configurable faults.
//!
//! They speak the protocols of `docs/PLATFORM.md` and keep everything in
//! memory. Tests and the demo start them in their own process; the binary
//! `godwitpost-standin` runs one from the command line. Each module has the
//! same API: `start` takes an address and faults and returns a `Running`, which
//! has the address that it listens on and a handle to change the faults at run
//! time, and stops when it is dropped.
//!
//! Over HTTP the faults are read with `GET /faults` and replaced with
//! `PUT /faults`, as the JSON of the module's `Faults`; omitted fields get their
//! defaults.

pub mod batch;
pub mod digest;
pub mod engine;

pub mod faults;
pub mod list;
pub mod log;
pub mod loopback;
pub mod observe;
pub mod path;
pub mod plain;
pub mod tunnel;
pub mod weights;

mod answer;
mod endpoint;
mod serve;

pub use self::serve::Error;
