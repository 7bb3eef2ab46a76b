//! One whole instance between callers and endpoints that misbehave.
//!
//! Endpoints are scripted sockets, the log is a source in memory, and headers
//! are spelled in a dialect of the tests' own.

mod callers;
mod crashes;
mod endpoint;
mod evacuation;
mod failures;
mod fleet;
mod freshness;
mod homes;
mod leaving;
mod metrics;
mod pauses;
mod peers;
mod prompts;
mod restored;
mod shutdown;
mod streams;
