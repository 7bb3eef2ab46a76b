//! The graceful shutdown of one instance.
//!
//! ```text
//! serving --signal--> announced --LAG--> closing --handed over--> waiting
//!                         |                 |                        |
//!                         '----- no request in flight, or limit -----'--> done
//! ```
//!
//! - *announced*: peers and the balancer's probe are told. The balancer's list
//!   lags, so new requests still come and are served.
//! - *closing*: listeners close, idle keep-alive connections are closed and
//!   busy ones are told `Connection: close`; owned state is handed over.
//! - *waiting*: streams run to their end, up to [`Limits::hard_limit`] after the
//!   signal.
//!
//! A second signal shortens the wait to [`Limits::second_signal_limit`] from then. A third
//! changes nothing. A hard kill is not handled here: peers see it as any
//! crash.

use std::time::Duration;

use godwitpost_types::clock::Moment;
use statig::prelude::*;

mod machine;

use machine::{Event, Machine, Phase, Shutdown};

/// How long each part of a shutdown may last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long the balancer may go on sending after the announcement.
    pub balancer_lag: Duration,
    /// When the process ends at the latest, from the first signal on.
    pub hard_limit: Duration,
    /// When it ends at the latest, from a second signal on.
    pub second_signal_limit: Duration,
}

impl Default for Limits {
    /// Returns limits for a balancer that probes each few seconds and streams
    /// that last minutes.
    fn default() -> Self {
        Self {
            balancer_lag: Duration::from_secs(5),
            hard_limit: Duration::from_mins(10),
            second_signal_limit: Duration::from_secs(5),
        }
    }
}

/// What the instance is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Serve as always.
    Serve,
    /// Tell peers and the balancer's probe, and serve what still comes.
    Announce {
        /// When to ask again.
        until: Moment,
    },
    /// Stop listening, close idle keep-alive connections, answer the rest with
    /// `Connection: close`, and hand owned state over; then call
    /// [`Drain::record_handover`].
    Close {
        /// When the process ends at the latest.
        limit: Moment,
    },
    /// Wait for the requests in flight.
    Wait {
        /// When the process ends at the latest.
        limit: Moment,
    },
    /// End the process.
    Exit {
        /// Requests that the limit cuts; zero unless it passed.
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
    /// Returns a drain that serves until a signal comes.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let mut machine = Shutdown { limits, aborted: 0 }.state_machine();
        machine.init();
        Self { machine }
    }

    /// Takes a termination signal: the first starts, the second hurries.
    pub fn handle_signal(&mut self, now: Moment) {
        self.machine.handle(&Event::Signal { now });
    }

    /// Takes that owned state is handed over, or can't be.
    pub fn record_handover(&mut self) {
        self.machine.handle(&Event::HandedOver);
    }

    /// Lets time pass with `in_flight` requests and returns what to do.
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
