//! Serves callers by sending their requests to endpoints directly.
//!
//! One instance takes a request, decides alone which endpoint runs it, and
//! relays the answer. Its configuration and the list of endpoints are followed
//! from a log that somebody else writes; [`source`] is where they come from.
//! How requests and answers are spelled is a [`dialect`]. Both are structs of
//! functions that a thin binary fills in, so nothing here knows the names that
//! are used on the wire.
//!
//! Decisions take no clock, socket or randomness of their own: [`policy`],
//! [`feed`], [`roster`], [`lease`], [`evacuation`], [`place`], [`ramp`], [`book`],
//! [`budget`], [`attempt`], [`notices`], [`holders`], [`fetch`], [`board`], [`standby`] and [`startup`]. The rest
//! carries bytes and time to them. What was weighed
//! against sending through an endpoint's owner is in
//! `docs/design/platform.md`.

pub mod attempt;
pub mod board;
pub mod book;
pub mod budget;
pub mod cli;
pub mod control;
pub mod dialect;
pub mod evacuation;
pub mod feed;
pub mod fetch;
pub mod holders;
pub mod lease;
mod metrics;
pub mod notices;
pub mod paths;
pub mod place;
pub mod policy;
pub mod ramp;
pub mod refusal;
mod relay;
pub mod revoked;
pub mod roster;
mod running;
mod serve;
pub mod settings;
mod shared;
pub mod source;
pub mod standby;
pub mod startup;
mod stream;
pub mod suspects;

pub use running::{Error, Running, ShutdownResult, start};
