//! Decides on the next step of an append, without I/O.

#[cfg(test)]
mod tests;

use godwitpost_types::clock::Moment;
use rand::Rng;

use super::Error;
use crate::log::backoff::Backoff;
use crate::log::{Appended, append};

/// The next step of the writer.
#[derive(Debug)]
pub(super) enum Step {
    /// Append the record at a moment.
    Append(Moment),
    /// Search for the record in the stream.
    ReadBack,
    /// Return the position of the record.
    Done(Appended),
    /// Give up.
    Failed(Error),
}

/// The result of reading the stream back.
#[derive(Clone, Copy, Debug)]
pub(super) enum SearchResult {
    /// The record is in the log.
    Found(Appended),
    /// It is not in the log, but may still appear there.
    Missing,
}

/// The state of one append until its outcome is final.
#[derive(Debug)]
pub(super) struct Attempt {
    deadline: Moment,
    pauses: Backoff,
    // The last rejection, and the last failure that left the outcome unknown.
    // After a failure of the second kind, a later rejection does not prove that
    // the record was not appended.
    last_rejection: Option<append::Error>,
    unknown_outcome: Option<append::Error>,
}

impl Attempt {
    pub(super) const fn new(deadline: Moment, pauses: Backoff) -> Self {
        Self {
            deadline,
            pauses,
            last_rejection: None,
            unknown_outcome: None,
        }
    }

    pub(super) const fn deadline(&self) -> Moment {
        self.deadline
    }

    /// Records a failed append.
    pub(super) fn record_failure(&mut self, now: Moment, error: append::Error) -> Step {
        if error.may_have_taken_effect() {
            self.unknown_outcome = Some(error);
            return Step::ReadBack;
        }
        let permanent = error.is_permanent();
        self.last_rejection = Some(error);
        if permanent || now > self.deadline {
            return self.give_up();
        }
        Step::Append(now)
    }

    /// Records the result of reading back, or `None` if that failed.
    ///
    /// A missing record is appended again after a pause, during which the first
    /// append may still take effect.
    pub(super) fn record_read_back(
        &mut self,
        now: Moment,
        found: Option<SearchResult>,
        random: &mut impl Rng,
    ) -> Step {
        match found {
            Some(SearchResult::Found(appended)) => Step::Done(appended),
            Some(SearchResult::Missing) => {
                let at = now + self.pauses.next_pause(random);
                if at > self.deadline {
                    return self.give_up();
                }
                Step::Append(at)
            }
            None if now > self.deadline => self.give_up(),
            None => Step::ReadBack,
        }
    }

    /// Gives up because no slot is due before the deadline.
    pub(super) fn give_up_waiting(&mut self) -> Step {
        self.give_up()
    }

    fn give_up(&mut self) -> Step {
        Step::Failed(
            match (self.unknown_outcome.take(), self.last_rejection.take()) {
                (Some(lost), _) => Error::Unknown(lost),
                (None, Some(refused)) => Error::NotAppended(refused),
                (None, None) => Error::NoSlot,
            },
        )
    }
}
