//! Orders that bring endpoints to the state that the bundle wants.
//!
//! [`Planner`] compares the models, replicas and weights of the bundle with
//! the endpoints' own reports and returns the next orders. It runs for one
//! pool at the holder of the pool's lease only, and remembers little: whatever
//! is lost is seen again in the reports. An order declares a wanted state, so
//! that an endpoint that ignores fencing numbers and obeyed a stale one is
//! brought back by the next report.

mod planner;

pub use planner::{
    Action, Blocked, FIRST_ORDER_DELAY, Limits, ORDER_TIMEOUT, Order, Plan, Planner, View,
};
