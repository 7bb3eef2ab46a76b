//! Whether an endpoint may get new work, by what was observed of it.
//!
//! There is one state machine for each endpoint, fed by its owner. Two
//! failures in a row close the endpoint, that is, no requests are sent to it.
//! After a pause it is tried with one request at a time, and only several
//! successes open it again. Each relapse doubles the pause, so an endpoint
//! that flaps stays out longer and its chats do not move back and forth.
//! Leaving is final for an incarnation; only a greater incarnation, which is
//! another process at the same address, starts anew.

mod memory;

use std::fmt;

use godwitpost_types::clock::Moment;
use godwitpost_types::endpoint::Standing;
use godwitpost_types::id::Incarnation;
use statig::blocking::{IntoStateMachineExt, StateMachine};

use self::memory::{Context, State};

/// An observation of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The endpoint answered.
    Success(Moment),
    /// An attempt failed in a way that counts against the endpoint.
    Failure(Moment),
    /// The endpoint or the platform's list reports that it is leaving.
    Leaving,
    /// Time passed.
    Tick(Moment),
}

/// How much new work an endpoint may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// As much as the load bound allows.
    Full,
    /// One request at a time, to check whether it has recovered.
    Trial,
    /// No new work.
    None,
}

/// The health of one endpoint in its current incarnation.
pub struct Machine {
    incarnation: Incarnation,
    machine: StateMachine<Context>,
}

impl fmt::Debug for Machine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Machine")
            .field("incarnation", &self.incarnation)
            .field("state", self.machine.state())
            .finish()
    }
}

impl Machine {
    /// Returns the state machine of an endpoint without failures.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            machine: Context::default().state_machine(),
        }
    }

    /// Returns the incarnation whose health this is.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Applies an event of the current incarnation.
    pub fn handle(&mut self, event: Event) {
        self.machine.handle(&event);
    }

    /// Applies what the list or a report says; returns whether a new
    /// incarnation replaced the current one.
    ///
    /// An older incarnation comes from outdated information about a process
    /// that is gone, and is ignored.
    pub fn update_standing(&mut self, incarnation: Incarnation, standing: Standing) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        let replaced = incarnation > self.incarnation;
        if replaced {
            *self = Self::new(incarnation);
        }
        if standing == Standing::Leaving {
            self.handle(Event::Leaving);
        }
        replaced
    }

    /// Returns how much new work the endpoint may get.
    #[must_use]
    pub fn access(&self) -> Access {
        match self.machine.state() {
            State::Open {} => Access::Full,
            State::Trial {} => Access::Trial,
            State::Closed {} | State::Leaving {} => Access::None,
        }
    }
}
