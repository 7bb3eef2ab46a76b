//! Whether a broken event stream is asked for again at the same engine.
//!
//! An engine holds a stream for a while after its connection broke, and goes
//! on after the event that `Last-Event-ID` names. That is worth asking for only
//! while each event so far had a number one above the last: then what follows
//! can be checked to leave nothing out and to repeat nothing. A stream without
//! such numbers is relayed as it comes and never resumed.

pub mod events;

use godwitpost_types::clock::Moment;
use godwitpost_types::request::Request;

use crate::entry::Budgets;

/// How often one stream is asked for again.
///
/// A connection that breaks three times under one answer says that the engine
/// or the way to it is broken, and the caller hears of it sooner.
const MAX_RESUMES: u32 = 2;

/// What an event means for the stream that it came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventOrder {
    /// It is the next one.
    Next,
    /// The stream is not numbered; it is relayed but can't be resumed.
    Unnumbered,
    /// A resumed stream doesn't go on where it broke off.
    OutOfSequence,
}

/// What follows a broken stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Ask the same engine for what follows this event.
    Reconnect {
        /// The number of the last whole event.
        after: u64,
    },
    /// Break the caller's connection off.
    GiveUp,
}

/// How far one stream has come.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    last_event: Option<u64>,
    unnumbered: bool,
    done: bool,
    resumes: u32,
}

impl Progress {
    /// Notes a whole event and its number, if it has one.
    pub fn record_event(&mut self, number: Option<u64>) -> EventOrder {
        let expected = self.last_event.and_then(|last| last.checked_add(1));
        let next = number.is_some() && (self.last_event.is_none() || number == expected);
        if next && !self.done {
            self.last_event = number;
            EventOrder::Next
        } else if self.resumes > 0 {
            EventOrder::OutOfSequence
        } else {
            self.unnumbered = true;
            EventOrder::Unnumbered
        }
    }

    /// Notes that the events have no boundaries that can be relied on.
    pub const fn record_unbounded(&mut self) -> EventOrder {
        self.unnumbered = true;
        if self.resumes > 0 {
            EventOrder::OutOfSequence
        } else {
            EventOrder::Unnumbered
        }
    }

    /// Notes the end mark.
    pub const fn record_end(&mut self) {
        self.done = true;
    }

    /// Returns whether the end mark came.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Returns whether the stream can't be resumed, whatever comes.
    #[must_use]
    pub const fn is_unnumbered(&self) -> bool {
        self.unnumbered
    }

    /// Notes that the stream broke off and returns what follows.
    ///
    /// Asking again counts as a retry.
    pub fn record_break(&mut self, now: Moment, request: &Request, budgets: &mut Budgets) -> Next {
        let Some(after) = self.last_event else {
            return Next::GiveUp;
        };
        if self.unnumbered || self.done || self.resumes >= MAX_RESUMES || now >= request.deadline {
            return Next::GiveUp;
        }
        if !budgets.try_withdraw(now, request.workspace, request.service) {
            return Next::GiveUp;
        }
        self.resumes += 1;
        Next::Reconnect { after }
    }

    /// Returns the number of the last whole event.
    #[must_use]
    pub const fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Notes that the stream broke off and is asked for again after its last
    /// whole event, at an endpoint that need not be the same.
    ///
    /// `None` if it can't be asked for: an event had no number, or the end
    /// mark came.
    pub const fn begin_resume(&mut self) -> Option<u64> {
        if self.unnumbered || self.done {
            return None;
        }
        if self.last_event.is_some() {
            self.resumes += 1;
        }
        self.last_event
    }
}
