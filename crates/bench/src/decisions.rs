//! The bench of traffic decisions: instances' decision structs before fake
//! engines, in driven time.
//!
//! Everything depends on seeds alone but for [`cost`], which measures
//! processor time and never decides a test.

pub mod cost;
pub mod engine;
pub mod fate;
pub mod meter;
pub mod poison;
pub mod report;
pub mod scheme;
pub mod size;
pub mod traffic;
pub mod world;
