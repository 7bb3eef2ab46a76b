//! Orders that bring endpoints to the state that the bundle requires.
//!
//! [`Planner`] compares the models, replicas and weights of the bundle with the
//! endpoints' reports and returns the next orders. It plans for one pool, only at
//! the holder of the pool's lease. It keeps little state, because the reports
//! show the effect of orders that were lost. An order declares the desired
//! state. If an endpoint ignores fencing numbers and executes a stale order, its
//! next report leads to a corrective order.

mod planner;

pub use planner::{
    Action, Blocked, FIRST_ORDER_DELAY, Limits, ORDER_TIMEOUT, Order, Plan, Planner, View,
};
