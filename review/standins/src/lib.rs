//! Stand-ins of the platform's store, of runners and of clients, and a driver for real
//! processes of the router. Standard library only.

pub mod client;
pub mod fleet;
pub mod http;
pub mod record;
pub mod runner;
pub mod store;
