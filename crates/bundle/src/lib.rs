//! Bundle schema, checks, signatures and the fold of the configuration stream.
//!
//! A *bundle* is the versioned declaration that operators sign: workspaces,
//! services, models, classes and routes. This crate parses and validates its
//! YAML ([`source`], [`check`]), converts it to the policy that routing
//! decisions use ([`resolve`]), and determines which version is in force
//! ([`fold`]).
//!
//! Nothing here does I/O or reads a clock. Callers pass records as bytes with
//! their offset and time, and functions return what to do next. The router,
//! the operators' tool and the benches run the same code.

pub mod blob;
pub mod check;
pub mod delta;
pub mod entry;
pub mod fold;
pub mod key;
pub mod lineage;
pub mod mistake;
pub mod ready;
pub mod record;
pub mod renew;
pub mod resolve;
pub mod root;
pub mod schema;
pub mod signature;
pub mod snapshot;
pub mod source;
pub mod statement;
