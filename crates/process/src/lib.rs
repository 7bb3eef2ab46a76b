//! What every long-running program of the fleet needs of its process.
//!
//! Listening ports, logs, metrics, and the reading of settings files. Nothing
//! here knows what a request is for.

pub mod logging;
pub mod metrics;
pub mod serve;
pub mod settings;
