//! Complete routers with stand-in endpoints and platform, in one process on
//! loopback.

mod callers;
mod chats;
mod engine_orders;
mod faults;
mod fleet;
mod orders;
mod peers;
mod resume;
mod shutdown;
