//! The bench of traffic decisions: instances' decision structs before fake
//! engines, in driven time.
//!
//! Everything in here depends on seeds alone; [`cost`] measures processor
//! time and is for the bench only.

pub mod engine;
pub mod meter;
pub mod scheme;
pub mod size;
pub mod traffic;
pub mod world;
