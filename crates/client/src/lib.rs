//! Clients of the platform and the timer service.
//!
//! Everything here is an adapter: it moves bytes and measures time, and
//! decides nothing about requests. The one promise that the rest of the fleet
//! builds on is in [`connect`]: a failed request says truthfully whether any
//! of its bytes can have left this process.

pub mod clock;
pub mod connect;
pub mod list;
pub mod log;
pub mod timer;
pub mod weights;

mod text;
