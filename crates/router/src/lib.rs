//! The router: callers on one side, endpoints on the other, peers beside.

pub mod cli;
pub mod logging;
pub mod settings;
