//! Real routers in this process, measured while they run.
//!
//! Processor time is taken for each thread by its name, so the routers' time
//! is told apart from that of callers and endpoints in the same process. Wall
//! time is used for rates alone.

pub mod bare;
pub mod callers;
pub mod control;
pub mod cpu;
pub mod fleet;
pub mod relay;
pub mod source;
