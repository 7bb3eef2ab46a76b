//! Which instances and endpoints exist, from sources that disagree.
//!
//! The platform's list lags and may be empty or wrong for a while, a peer's
//! word may be old, and views differ for seconds as a matter of course. Two
//! rules keep that harmless. A sign counts by incarnation, and by a *beat*
//! that only the subject raises, so old news never beats new. And a view
//! changes where work lives only after a state has lasted: a suspected
//! instance keeps its homes, and one that comes back waits out a probation.
//!
//! - [`Roster`] holds the router instances.
//! - [`endpoints::Endpoints`] holds the endpoints; *leaving* is sticky there.

pub mod endpoints;

mod member;
mod roster;

pub use member::{PROBATION_PERIOD, SUSPICION_TIMEOUT, State};
pub use roster::{Heartbeat, MAX_UNLISTED, MemberUpdate, Roster};
