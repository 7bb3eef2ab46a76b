//! Whether an endpoint may get new work, by what was seen of it.
//!
//! One machine for each endpoint, fed by its owner. Two failures in a row
//! close it; after a pause one request at a time tries it, and only several
//! good ones open it again. Each relapse doubles the pause, so an endpoint
//! that flaps stays out longer and its chats don't go back and forth. Leaving
//! is sticky: only a greater incarnation, which is someone else on the same
//! address, starts anew.

mod memory;

use std::fmt;

use godwitpost_types::clock::Moment;
use godwitpost_types::endpoint::Standing;
use godwitpost_types::id::Incarnation;
use statig::blocking::{IntoStateMachineExt, StateMachine};

use self::memory::{Context, State};

/// What the owner saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The endpoint answered.
    Success(Moment),
    /// An attempt failed in a way that harms.
    Failure(Moment),
    /// The endpoint or the platform's list says it is leaving.
    Leaving,
    /// Time passed.
    Tick(Moment),
}

/// How much new work an endpoint may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// As much as the bound allows.
    Full,
    /// One request at a time, to see whether it is well.
    Trial,
    /// Nothing.
    None,
}

/// The health of one endpoint in its present incarnation.
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
    /// Returns the machine of an endpoint that nothing is held against.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            machine: Context::default().state_machine(),
        }
    }

    /// Returns the incarnation that the machine speaks of.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Takes in an event of the present incarnation.
    pub fn handle(&mut self, event: Event) {
        self.machine.handle(&event);
    }

    /// Takes in what the list or a report says; returns whether a new
    /// incarnation replaced the present one.
    ///
    /// An older incarnation is a late word on somebody gone, and is ignored.
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
