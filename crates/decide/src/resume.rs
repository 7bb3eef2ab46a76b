//! Whether a broken event stream is resumed at the same engine.
//!
//! An engine keeps a stream for a while after its connection broke, and
//! continues after the event named by `Last-Event-ID`. Resuming is useful only
//! while each event so far had a number one above the previous one. Only then
//! can the continuation be checked to leave nothing out and to repeat nothing.
//! A stream without such numbers is relayed as it comes and never resumed.

pub mod events;

use godwitpost_types::clock::Moment;
use godwitpost_types::request::Request;

use crate::entry::Budgets;

/// Maximum number of times that one stream is resumed.
///
/// A connection that breaks three times during one answer shows that the
/// engine or the path to it is broken; the caller learns of it sooner this
/// way.
const MAX_RESUMES: u32 = 2;

/// How an event fits into the sequence of its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventOrder {
    /// It is the next event in sequence.
    Next,
    /// The stream is not numbered; it is relayed but cannot be resumed.
    Unnumbered,
    /// A resumed stream does not continue where it broke off.
    OutOfSequence,
}

/// What to do about a broken stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Ask the same engine for the events after this one.
    Reconnect {
        /// The number of the last complete event.
        after: u64,
    },
    /// Close the caller's connection.
    GiveUp,
}

/// Where a stream that broke off goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumePoint {
    /// At its beginning, since no event was passed on.
    Start,
    /// After this event.
    After(u64),
    /// Nowhere: an event without a number was passed on, and would come again.
    Unknown,
}

/// How far one stream has come.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    last_event: Option<u64>,
    unnumbered: bool,
    done: bool,
    // Whether an end marker without a number came after the last event with one.
    past_last_event: bool,
    resumes: u32,
}

impl Progress {
    /// Records a complete event and its number, if it has one.
    pub fn record_event(&mut self, number: Option<u64>) -> EventOrder {
        let expected = self.last_event.and_then(|last| last.checked_add(1));
        let in_sequence = number.is_some() && (self.last_event.is_none() || number == expected);
        if in_sequence {
            self.last_event = number;
            self.past_last_event = false;
            EventOrder::Next
        } else if self.resumes > 0 {
            EventOrder::OutOfSequence
        } else {
            self.unnumbered = true;
            EventOrder::Unnumbered
        }
    }

    /// Records that the ends of events cannot be detected reliably.
    pub const fn record_unbounded(&mut self) -> EventOrder {
        self.unnumbered = true;
        if self.resumes > 0 {
            EventOrder::OutOfSequence
        } else {
            EventOrder::Unnumbered
        }
    }

    /// Records the end marker in the data of an event with a number.
    pub const fn record_end(&mut self) {
        self.done = true;
    }

    /// Records an end marker that is an event of its own, without a number.
    pub const fn record_unnumbered_end(&mut self) {
        self.done = true;
        self.past_last_event = true;
    }

    /// Returns whether the end marker was received.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Returns whether the stream can no longer be resumed.
    #[must_use]
    pub const fn is_unnumbered(&self) -> bool {
        self.unnumbered
    }

    /// Records that the stream broke off and returns what to do next.
    ///
    /// Resuming counts as a retry.
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

    /// Returns where the stream goes on if it breaks off now, at an endpoint that need not be the
    /// same.
    ///
    /// The end marker is data of an event here: an endpoint may send more events behind it, and
    /// only the framing of its response tells that there are none.
    #[must_use]
    pub const fn resume_point(&self) -> ResumePoint {
        if self.unnumbered || self.past_last_event {
            return ResumePoint::Unknown;
        }
        match self.last_event {
            Some(last) => ResumePoint::After(last),
            None => ResumePoint::Start,
        }
    }

    /// Records that the stream goes on at this point.
    pub const fn begin_resume(&mut self, point: ResumePoint) {
        if let ResumePoint::After(_) = point {
            self.resumes += 1;
        }
    }
}
