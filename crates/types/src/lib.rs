//! Ids, times and domain types that every crate shares.
//!
//! The vocabulary for machines and customers is the users': an *instance* is
//! one of our routers, an *endpoint* is a back end, a *workspace* is a tenant.
//! `docs/GLOSSARY.md` maps these words to the standard ones.
//!
//! Ids are aliases of integers derived from names with [`id::from_name`], so every
//! instance computes the same id without agreement, and decision logic never
//! compares strings on a hot path.

pub mod clock;
pub mod endpoint;
pub mod hash;
pub mod id;
pub mod instance;
pub mod outcome;
pub mod policy;
pub mod request;
