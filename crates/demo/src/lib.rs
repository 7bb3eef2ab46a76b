//! A whole fleet on loopback in one process, with load and faults.
//!
//! The demo is the shortest way to see godwitpost work, and the longest test:
//! real routers over real sockets, with stand-ins for the platform, callers
//! that resend as `docs/CALLERS.md` tells them to, and a history of all they
//! did that [`godwitpost_history`] judges.

pub mod answer;
pub mod balancer;
pub mod caller;
pub mod cli;
pub mod deployment;
pub mod error;
pub mod faults;
pub mod figures;
pub mod fleet;
pub mod hold;
pub mod judge;
pub mod key;
pub mod load;
pub mod plan;
pub mod report;
pub mod run;
