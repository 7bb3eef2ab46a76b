//! Traffic decisions: placement, load bound, queues, limits, retries, quarantine.
//!
//! Nothing here does I/O, reads a clock or draws its own randomness. An event
//! comes in with its moment, an enum of what to do next goes out; the router
//! is an adapter around that, and so are the tests and the bench.
//!
//! A request lands on an entry instance ([`entry::route`]), which sends it to
//! the [`owner::Owner`] of the endpoint that placement names. The owner alone
//! dispatches to its endpoints, so it counts, bounds and queues their work
//! exactly. `docs/design/placement.md` says what was weighed.

pub mod chats;
pub mod ending;
pub mod entry;
pub mod health;
pub mod hop;
pub mod limit;
pub mod load;
pub mod owner;
pub mod place;
pub mod quarantine;
pub mod queue;
pub mod refusal;
pub mod resume;
pub mod view;
