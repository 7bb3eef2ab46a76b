//! The state machine of one instance in one incarnation, as a peer sees it.
//!
//! ```text
//!            accused            SUSPICION_TIMEOUT passed
//!   live ------------> suspect ----------------> gone
//!    ^ <------------------'                       |
//!    |   answered with a greater beat             | a greater beat
//!    |                                            v
//!    '------------------------------------- returning
//!                  PROBATION_PERIOD passed
//!
//!   any of them -- leaving sign --> leaving (sticky) -- silent --> gone
//! ```

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use serde::{Deserialize, Serialize};
use statig::prelude::*;

/// How long an accused instance has to answer before it is gone.
///
/// A rumour reaches all of 320 instances within about 3 s, and the answer
/// takes as long; less would drop instances that are merely slow to hear of
/// the accusation. More leaves a dead instance's work on the fallback path.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(6);

/// How long an instance that came back must stay before it gets homes again.
///
/// Long against the seconds for which views differ, so that an instance that
/// flaps moves its homes away once and not to and fro.
pub const PROBATION_PERIOD: Duration = Duration::from_secs(8);

// How long a leaving instance may be silent before it is forgotten; it answers
// gossip until its last stream ends.
const LEAVING_SILENCE: Duration = Duration::from_secs(30);

/// How an instance stands, for rumours and for whoever asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It gets work.
    Live,
    /// Someone could not reach it; it keeps its homes for now.
    Suspect,
    /// It finishes what it has and gets no homes.
    Leaving,
    /// It came back and gets homes after its probation.
    Returning,
    /// It is taken for dead or cut off.
    Gone,
}

/// What can happen to a member.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// The instance itself, directly or through peers, showed this beat.
    Alive { sequence: u64, now: Moment },
    /// Someone could not reach the instance at this beat, or gave it up.
    ///
    /// Being given up by others is no more than an accusation: after a cut
    /// between regions each side says so of the other.
    Suspected { sequence: u64, now: Moment },
    /// The instance is leaving.
    Leave { now: Moment },
    /// The instance is new here and starts with its probation.
    Probation { now: Moment },
    /// Time passes.
    Tick { now: Moment },
}

/// Shared storage of the machine.
#[derive(Debug, Default)]
pub(super) struct Member {
    /// The greatest beat seen; only the subject raises it.
    pub(super) sequence: u64,
    /// The last sign of life.
    pub(super) last_seen: Moment,
    /// Whether this incarnation has shown that it leaves; it may be taken for
    /// gone since, and must not come back as anything but leaving.
    pub(super) leaving_seen: bool,
}

/// One member's machine.
pub(super) type Machine = StateMachine<Member>;

#[state_machine(
    initial = "Phase::live()",
    state(name = "Phase", derive(Debug, Clone, Copy, PartialEq, Eq)),
    visibility = "pub(super)"
)]
impl Member {
    #[state]
    fn live(&mut self, event: &Event) -> Outcome<Phase> {
        match *event {
            Event::Alive { sequence, now } => self.handle_alive(sequence, now),
            Event::Suspected { sequence, now } if sequence >= self.sequence => {
                Transition(Phase::suspect(sequence, now))
            }
            Event::Leave { now } => self.begin_leaving(now),
            Event::Probation { now } => Transition(Phase::returning(now)),
            _ => Handled,
        }
    }

    #[state]
    fn suspect(
        &mut self,
        suspected_at: &mut u64,
        started: &Moment,
        event: &Event,
    ) -> Outcome<Phase> {
        match *event {
            Event::Alive { sequence, now } if sequence > *suspected_at => {
                self.record_alive(sequence, now);
                Transition(Phase::live())
            }
            Event::Suspected { sequence, .. } => {
                *suspected_at = sequence.max(*suspected_at);
                Handled
            }
            Event::Leave { now } => self.begin_leaving(now),
            Event::Tick { now } if since(now, *started) >= SUSPICION_TIMEOUT => {
                Transition(Phase::gone(*suspected_at))
            }
            _ => Handled,
        }
    }

    #[state]
    fn leaving(&mut self, event: &Event) -> Outcome<Phase> {
        match *event {
            Event::Alive { sequence, now } => self.handle_alive(sequence, now),
            Event::Tick { now } if since(now, self.last_seen) >= LEAVING_SILENCE => {
                Transition(Phase::gone(self.sequence))
            }
            _ => Handled,
        }
    }

    #[state]
    fn returning(&mut self, started: &Moment, event: &Event) -> Outcome<Phase> {
        match *event {
            Event::Alive { sequence, now } => self.handle_alive(sequence, now),
            Event::Suspected { sequence, .. } if sequence >= self.sequence => {
                Transition(Phase::gone(sequence))
            }
            Event::Leave { now } => self.begin_leaving(now),
            Event::Tick { now } if since(now, *started) >= PROBATION_PERIOD => {
                Transition(Phase::live())
            }
            _ => Handled,
        }
    }

    #[state]
    fn gone(&mut self, suspected_at: &mut u64, event: &Event) -> Outcome<Phase> {
        match *event {
            Event::Alive { sequence, now } if sequence > *suspected_at => {
                self.record_alive(sequence, now);
                Transition(self.phase_after_recovery(now))
            }
            Event::Suspected { sequence, .. } => {
                *suspected_at = sequence.max(*suspected_at);
                Handled
            }
            Event::Leave { .. } => {
                self.leaving_seen = true;
                Handled
            }
            _ => Handled,
        }
    }

    fn handle_alive(&mut self, sequence: u64, now: Moment) -> Outcome<Phase> {
        self.record_alive(sequence, now);
        Handled
    }

    fn phase_after_recovery(&self, now: Moment) -> Phase {
        if self.leaving_seen {
            Phase::leaving()
        } else {
            Phase::returning(now)
        }
    }

    fn begin_leaving(&mut self, now: Moment) -> Outcome<Phase> {
        self.last_seen = now;
        self.leaving_seen = true;
        Transition(Phase::leaving())
    }

    fn record_alive(&mut self, sequence: u64, now: Moment) {
        self.sequence = sequence.max(self.sequence);
        self.last_seen = now;
    }
}

impl Phase {
    /// Returns the state without its storage.
    pub(super) const fn state(&self) -> State {
        match self {
            Self::Live {} => State::Live,
            Self::Suspect { .. } => State::Suspect,
            Self::Leaving {} => State::Leaving,
            Self::Returning { .. } => State::Returning,
            Self::Gone { .. } => State::Gone,
        }
    }
}
