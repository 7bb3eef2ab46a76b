//! The operators' tool: keys, checks, signatures, rolls, and stories of requests.
//!
//! Everything that `godwitpost-bundle` does is a function here; the binary
//! only reads the command line and prints. A roll signs the change against
//! what the log says is in force, appends it, and reads the log back until
//! its fate is known.

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
