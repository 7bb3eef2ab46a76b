//! The failures that the decisions guard against, each reproduced by a test.

mod bound;
mod chats;
mod fleet;
mod health;
mod limit;
mod owner;
mod place;
mod quarantine;
mod queue;
mod resume;
mod retry;
