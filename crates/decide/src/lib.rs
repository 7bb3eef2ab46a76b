//! Traffic decisions: placement, load bound, queues, limits, retries,
//! quarantine.
//!
//! Nothing here does I/O, reads a clock or creates its own source of
//! randomness. Each function takes an event and the current time and returns
//! an enum that says what to do next. The router, the tests and the benchmarks
//! are adapters around that.
//!
//! A request arrives at an entry instance ([`entry::route`]), which sends it
//! to the [`owner::Owner`] of the endpoint that placement selects. Only the
//! owner dispatches to its endpoints, so it can count, bound and queue their
//! work exactly. `docs/design/placement.md` compares the alternatives.

pub mod chats;
pub mod cost;
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
pub mod work;
