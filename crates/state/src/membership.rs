//! Membership: which instances and endpoints exist, from sources that disagree.
//!
//! The platform's list lags and may be empty or wrong for a while, an update
//! from a peer may be outdated, and the views of instances normally differ for
//! seconds. Two rules keep this harmless:
//!
//! - Updates are ordered by incarnation and then by a *sequence number* that
//!   only the subject increments, so an old update never overrides a newer one.
//! - Home endpoints move only after a state has lasted for some time: a
//!   suspected instance keeps its home endpoints, and a returning instance gets
//!   them back after a probation period.
//!
//! [`Roster`] tracks the router instances. [`endpoints::Endpoints`] tracks the
//! endpoints, for which *leaving* is final within an incarnation.

pub mod endpoints;

mod member;
mod roster;

pub use member::{PROBATION_PERIOD, SUSPICION_TIMEOUT, State};
pub use roster::{Heartbeat, MAX_UNLISTED, MemberUpdate, Roster};
