//! Benchmarks with regression bounds, and the capacity report.
//!
//! `cargo bench --bench decisions`, `--bench direct` and `--bench state` print
//! one line for each figure. Figures that depend on seeds alone are also checked
//! by the crate's tests; those that depend on the machine never decide a
//! verdict there.

pub mod bundles;
pub mod claims;
pub mod decisions;
pub mod direct;
pub mod figure;
pub mod limits;
pub mod rolls;
pub mod state;
