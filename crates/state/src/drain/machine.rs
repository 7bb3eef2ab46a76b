//! The state machine of a shutdown.

use godwitpost_types::clock::Moment;
use statig::prelude::*;

use super::Limits;

/// An event that can change the state of a shutdown.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A termination signal.
    Signal { now: Moment },
    /// Owned state has been handed over, or can't be.
    HandedOver,
    /// Time passes.
    Tick { now: Moment, in_flight: usize },
}

/// The storage that all states share.
#[derive(Debug)]
pub(super) struct Shutdown {
    pub(super) limits: Limits,
    /// Requests in flight when the shutdown ended.
    pub(super) aborted: usize,
}

pub(super) type Machine = StateMachine<Shutdown>;

#[state_machine(
    initial = "Phase::serving()",
    state(name = "Phase", derive(Debug, Clone, Copy, PartialEq, Eq)),
    visibility = "pub(super)"
)]
impl Shutdown {
    #[state]
    fn serving(&mut self, event: &Event) -> Outcome<Phase> {
        match *event {
            Event::Signal { now } => {
                let until = now + self.limits.balancer_lag;
                Transition(Phase::announced(until, now + self.limits.hard_limit))
            }
            _ => Handled,
        }
    }

    #[state]
    fn announced(&mut self, until: &Moment, limit: &mut Moment, event: &Event) -> Outcome<Phase> {
        match *event {
            // The balancer may still send requests to an idle instance, so the
            // state lasts for the balancer's lag whatever is in flight.
            Event::Tick { now, .. } if now >= *until => Transition(Phase::closing(*limit)),
            Event::Signal { now } => {
                let limit = self.shortened_limit(*limit, now);
                Transition(Phase::closing(limit))
            }
            _ => Handled,
        }
    }

    #[state]
    fn closing(&mut self, limit: &mut Moment, event: &Event) -> Outcome<Phase> {
        match *event {
            Event::HandedOver => Transition(Phase::waiting(*limit)),
            Event::Tick { now, in_flight } if now >= *limit => self.end(in_flight),
            Event::Signal { now } => self.shorten_limit(limit, now),
            Event::Tick { .. } => Handled,
        }
    }

    #[state]
    fn waiting(&mut self, limit: &mut Moment, event: &Event) -> Outcome<Phase> {
        match *event {
            Event::Tick { in_flight: 0, .. } => self.end(0),
            Event::Tick { now, in_flight } if now >= *limit => self.end(in_flight),
            Event::Signal { now } => self.shorten_limit(limit, now),
            _ => Handled,
        }
    }

    #[state]
    fn done() -> Outcome<Phase> {
        Handled
    }

    fn end(&mut self, aborted: usize) -> Outcome<Phase> {
        self.aborted = aborted;
        Transition(Phase::done())
    }

    // A further signal can only shorten the limit, never extend it.
    fn shorten_limit(&self, limit: &mut Moment, now: Moment) -> Outcome<Phase> {
        *limit = self.shortened_limit(*limit, now);
        Handled
    }

    fn shortened_limit(&self, limit: Moment, now: Moment) -> Moment {
        limit.min(now + self.limits.second_signal_limit)
    }
}
