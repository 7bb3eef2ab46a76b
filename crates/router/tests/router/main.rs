//! Whole routers against the stand-ins, in one process on loopback.

mod callers;
mod chats;
mod faults;
mod fleet;
mod orders;
mod peers;
mod resume;
mod shutdown;
