//! Ids, times and domain types shared by all crates.
//!
//! Machines and customers have the names that users know: an *instance* is a
//! router, an *endpoint* is a back end, and a *workspace* is a tenant.
//! `docs/GLOSSARY.md` maps these words to the standard ones.
//!
//! Ids are integers derived from names with [`id::from_name`]. Every instance
//! computes the same ids without coordination, and decision logic never compares
//! strings on a hot path.

pub mod clock;
pub mod endpoint;
pub mod hash;
pub mod id;
pub mod instance;
pub mod outcome;
pub mod policy;
pub mod request;
