//! The states of an endpoint's health and the transitions between them.

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use statig::prelude::*;

use super::Event;

/// Failures in a row that close an endpoint.
///
/// One broken connection occurs on a healthy network; two without a success
/// between them hardly ever do.
const FAILURES_TO_CLOSE: u32 = 2;

/// Successes on trial that open an endpoint again.
const SUCCESSES_TO_OPEN: u32 = 3;

/// The pause before an endpoint is first tried again.
const INITIAL_PAUSE: Duration = Duration::from_secs(1);

/// The longest pause between trials.
const MAX_PAUSE: Duration = Duration::from_mins(1);

/// How long an endpoint must stay open for its relapses to be forgotten.
const RELAPSE_RESET_AFTER: Duration = Duration::from_mins(5);

/// The data that is shared by all states of the machine.
#[derive(Clone, Debug, Default)]
pub struct Context {
    failures: u32,
    successes: u32,
    relapses: u32,
    last_change: Moment,
}

impl Context {
    fn close(&mut self, now: Moment) -> Outcome<State> {
        if since(now, self.last_change) > RELAPSE_RESET_AFTER {
            self.relapses = 0;
        }
        self.relapses += 1;
        self.last_change = now;
        Transition(State::closed())
    }

    fn pause(&self) -> Duration {
        let doublings = self.relapses.saturating_sub(1).min(6);
        (INITIAL_PAUSE * 2_u32.pow(doublings)).min(MAX_PAUSE)
    }
}

#[state_machine(initial = "State::open()", state(derive(Debug, Clone, PartialEq, Eq)))]
impl Context {
    #[state(superstate = "present")]
    fn open(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Success(_) => {
                self.failures = 0;
                Handled
            }
            Event::Failure(now) => {
                self.failures += 1;
                if self.failures >= FAILURES_TO_CLOSE {
                    self.close(*now)
                } else {
                    Handled
                }
            }
            _ => Super,
        }
    }

    #[state(superstate = "present")]
    fn closed(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Tick(now) if since(*now, self.last_change) >= self.pause() => {
                self.successes = 0;
                Transition(State::trial())
            }
            _ => Super,
        }
    }

    #[state(superstate = "present")]
    fn trial(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Success(now) => {
                self.successes += 1;
                if self.successes < SUCCESSES_TO_OPEN {
                    return Handled;
                }
                self.failures = 0;
                self.last_change = *now;
                Transition(State::open())
            }
            Event::Failure(now) => self.close(*now),
            _ => Super,
        }
    }

    #[superstate]
    fn present(event: &Event) -> Outcome<State> {
        match event {
            Event::Leaving => Transition(State::leaving()),
            _ => Handled,
        }
    }

    #[state]
    fn leaving(event: &Event) -> Outcome<State> {
        let _ = event;
        Handled
    }
}
