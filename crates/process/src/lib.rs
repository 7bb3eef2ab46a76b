//! Infrastructure shared by the long-running programs of the fleet.
//!
//! Listening ports, logging, metrics, and settings files, independent of what requests
//! are for.

pub mod logging;
pub mod metrics;
pub mod serve;
pub mod settings;
