//! Serves callers by sending their requests directly to endpoints.
//!
//! An instance takes a request, decides on its own which endpoint runs it, and
//! relays the response. It follows its configuration and the list of endpoints
//! from a log written by others; [`source`] describes that log. A [`dialect`]
//! defines how requests and responses are encoded. Both are structs of
//! functions that a thin binary supplies, so nothing here depends on the names
//! used on the wire.
//!
//! The modules that make decisions use no clock, socket or randomness of their
//! own: [`policy`], [`feed`], [`roster`], [`lease`], [`evacuation`], [`place`],
//! [`ramp`], [`stats`], [`budget`], [`attempt`], [`backoff`], [`notices`], [`holders`], [`reach`], [`forwarders`],
//! [`fetch`], [`fragility`], [`replica`], [`pace`], [`polling`], [`standby`] and [`verification`]. The others pass
//! them the time and carry the bytes. `docs/design/platform.md` compares this design
//! with sending requests through an endpoint's owner.

pub mod attempt;
pub mod backoff;
pub mod budget;
pub mod builds;
pub mod cli;
pub mod connections;
pub mod control;
pub mod crashes;
pub mod dialect;
pub mod evacuation;
pub mod feed;
pub mod fetch;
pub mod forwarders;
pub mod fragility;
pub mod holders;
mod hop;
pub mod kept;
pub mod lease;
pub mod members;
mod metrics;
pub mod notices;
pub mod origins;
pub mod overloads;
pub mod pace;
pub mod past;
pub mod paths;
pub mod place;
pub mod policy;
pub mod polling;
pub mod ramp;
pub mod reach;
mod readiness;
pub mod refusal;
mod relay;
pub mod replica;
pub mod revoked;
pub mod roster;
mod running;
mod serve;
pub mod settings;
mod shared;
mod shutdown;
pub mod source;
pub mod standby;
pub mod stats;
mod supervision;
pub mod verification;
pub mod work;

pub use running::{Error, Running, ShutdownResult, start};
