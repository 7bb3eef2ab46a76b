//! The failures that the decisions are built for, each brought about.

mod bound;
mod chats;
mod fleet;
mod health;
mod owner;
mod place;
mod quarantine;
mod queue;
mod retry;
