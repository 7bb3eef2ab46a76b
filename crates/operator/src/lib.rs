//! The operators' tool: generates keys, checks, signs and rolls bundles, and
//! reconstructs the history of requests from logs.
//!
//! All features of `godwitpost-bundle` are functions of this crate; the binary
//! only parses the command line and prints. A roll signs the change against
//! the version in force on the log, appends it, and reads the log back until
//! the outcome is known.

pub mod cli;
pub mod diff;
pub mod error;
pub mod fleet;
pub mod keyfile;
pub mod plan;
pub mod roll;
pub mod run;
pub mod show;
pub mod story;
