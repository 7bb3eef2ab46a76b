//! Clients of the platform and the timer service.
//!
//! This crate does I/O and timekeeping and makes no routing decisions. The
//! other crates rely on one guarantee of [`connect`]: the error of a failed
//! request states whether any of its bytes can have left this process.

pub mod clock;
pub mod connect;
pub mod list;
pub mod log;
pub mod timer;
pub mod weights;

mod text;
