//! The graceful shutdown of one instance.
//!
//! ```text
//! serving --signal--> announced --lag--> closing --handed over--> waiting
//!                         |                 |                        |
//!                         '----- no request in flight, or limit -----'--> done
//! ```
//!
//! - *announced*: peers and the balancer's probe are notified. The balancer's
//!   list lags, so new requests still arrive and are served.
//! - *closing*: listeners and idle keep-alive connections are closed, responses
//!   on busy connections carry `Connection: close`, and owned state is handed
//!   over.
//! - *waiting*: streams run to completion, up to [`Limits::hard_limit`] after
//!   the signal.
//!
//! A second signal shortens the wait to [`Limits::second_signal_limit`] from
//! then on. A third signal changes nothing. A hard kill is not handled here:
//! peers see it as a crash.

use std::time::Duration;

use godwitpost_types::clock::Moment;
use statig::prelude::*;

mod machine;

use machine::{Event, Machine, Phase, Shutdown};

/// The time limits of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long the balancer may continue to send requests after the
    /// announcement.
    pub balancer_lag: Duration,
    /// The maximum time from the first signal to the exit of the process.
    pub hard_limit: Duration,
    /// The maximum time from a second signal to the exit of the process.
    pub second_signal_limit: Duration,
}

impl Default for Limits {
    /// Returns limits for a balancer that probes every few seconds and for
    /// streams that last minutes.
    fn default() -> Self {
        Self {
            balancer_lag: Duration::from_secs(5),
            hard_limit: Duration::from_mins(10),
            second_signal_limit: Duration::from_secs(5),
        }
    }
}

/// What the instance must do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Serve normally.
    Serve,
    /// Notify peers and the balancer's probe, and serve requests that still
    /// arrive.
    Announce {
        /// When to call [`Drain::tick`] again.
        until: Moment,
    },
    /// Stop listening, close idle keep-alive connections, respond on the rest
    /// with `Connection: close`, and hand owned state over; then call
    /// [`Drain::record_handover`].
    Close {
        /// The latest time at which the process ends.
        limit: Moment,
    },
    /// Wait for the requests in flight.
    Wait {
        /// The latest time at which the process ends.
        limit: Moment,
    },
    /// End the process.
    Exit {
        /// Requests in flight that the exit aborts; zero unless the limit has
        /// passed.
        aborted: usize,
    },
}

/// The shutdown of one instance.
pub struct Drain {
    machine: Machine,
}

impl std::fmt::Debug for Drain {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Drain").field(self.machine.state()).finish()
    }
}

impl Drain {
    /// Returns a drain that serves until the first signal.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let mut machine = Shutdown { limits, aborted: 0 }.state_machine();
        machine.init();
        Self { machine }
    }

    /// Handles a termination signal: the first starts the shutdown, the second
    /// shortens it.
    pub fn handle_signal(&mut self, now: Moment) {
        self.machine.handle(&Event::Signal { now });
    }

    /// Records that owned state has been handed over, or that it can't be.
    pub fn record_handover(&mut self) {
        self.machine.handle(&Event::HandedOver);
    }

    /// Advances the time to `now`, with `in_flight` requests, and returns what
    /// to do.
    pub fn tick(&mut self, now: Moment, in_flight: usize) -> Next {
        self.machine.handle(&Event::Tick { now, in_flight });
        match *self.machine.state() {
            Phase::Serving {} => Next::Serve,
            Phase::Announced { until, .. } => Next::Announce { until },
            Phase::Closing { limit } => Next::Close { limit },
            Phase::Waiting { limit } => Next::Wait { limit },
            Phase::Done {} => Next::Exit {
                aborted: self.machine.inner().aborted,
            },
        }
    }
}

#[cfg(test)]
mod tests;
