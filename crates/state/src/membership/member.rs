//! The state machine of one instance in one incarnation, as a peer sees it.
//!
//! ```text
//!          suspected            SUSPICION_TIMEOUT passed
//!   live ------------> suspect --------------------------> gone
//!    ^ <------------------'                                 |
//!    |   refuted with a greater sequence number             | a greater
//!    |                                                      | sequence number
//!    |                                                      v
//!    '----------------------------------------------- returning
//!                 PROBATION_PERIOD passed
//!
//!   any state -- leaving notice --> leaving (final) -- silent --> gone
//! ```

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use serde::{Deserialize, Serialize};
use statig::prelude::*;

/// How long a suspected instance has to refute the suspicion before it is gone.
///
/// An update reaches all of 320 instances within about 3 s, and the refutation
/// takes as long. A shorter timeout would drop instances that learn of the
/// suspicion late; a longer one leaves a dead instance's work on the fallback
/// path.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(6);

/// How long a returning instance must stay reachable before it gets home
/// endpoints again.
///
/// This exceeds the few seconds for which views differ, so the home endpoints
/// of a flapping instance move away once instead of back and forth.
pub const PROBATION_PERIOD: Duration = Duration::from_secs(8);

// How long a leaving instance may be silent before it is gone. It responds to
// gossip until its last stream ends.
const MAX_LEAVING_SILENCE: Duration = Duration::from_secs(30);

/// The state of an instance as another instance sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It gets home endpoints.
    Live,
    /// An instance could not reach it. It keeps its home endpoints until the
    /// suspicion times out.
    Suspect,
    /// It finishes its requests and gets no home endpoints.
    Leaving,
    /// It is reachable again and gets home endpoints after its probation
    /// period.
    Returning,
    /// It is considered dead or unreachable.
    Gone,
}

/// An event that can change the state of a member.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// The instance, directly or through peers, published this sequence number.
    Alive { sequence: u64, now: Moment },
    /// Another instance could not reach this one at this sequence number, or
    /// considers it gone.
    ///
    /// "Gone" in the view of others counts only as a suspicion: in a partition
    /// between regions each side considers the other gone.
    Suspected { sequence: u64, now: Moment },
    /// The instance is leaving.
    Leave { now: Moment },
    /// The instance is new in this view and starts with its probation period.
    Probation { now: Moment },
    /// Time passes.
    Tick { now: Moment },
}

/// The storage that all states share.
#[derive(Debug, Default)]
pub(super) struct Member {
    /// The greatest sequence number seen; only the subject increments it.
    pub(super) sequence: u64,
    /// When the instance last showed that it is alive.
    pub(super) last_seen: Moment,
    /// Whether this incarnation has announced that it leaves. If it is
    /// considered gone later, it can only return to the leaving state.
    pub(super) leaving_seen: bool,
}

/// The state machine of one member.
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
            Event::Tick { now } if since(now, self.last_seen) >= MAX_LEAVING_SILENCE => {
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
