//! What to do next about one append, without I/O.

#[cfg(test)]
mod tests;

use godwitpost_types::clock::Moment;
use rand::Rng;

use super::Error;
use crate::log::backoff::Backoff;
use crate::log::{Appended, append};

/// What the writer does next.
#[derive(Debug)]
pub(super) enum Step {
    /// Append the record at a moment.
    Append(Moment),
    /// Look for the record in the stream.
    ReadBack,
    /// Report where the record is.
    Done(Appended),
    /// Give up.
    Failed(Error),
}

/// What reading back brought.
#[derive(Clone, Copy, Debug)]
pub(super) enum ReadBack {
    /// The record is on the log.
    Found(Appended),
    /// It isn't, though it may still come.
    Missing,
}

/// One append until it is settled.
#[derive(Debug)]
pub(super) struct Attempt {
    deadline: Moment,
    pauses: Backoff,
    // The last failure, and one that left the append's fate open. Once there
    // was such a one no later refusal makes the append certain not to be.
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

    /// An append failed.
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

    /// The stream was read back, or could not be.
    ///
    /// A record that isn't there is appended again after a pause, in which a
    /// late effect may still show.
    pub(super) fn record_read_back(
        &mut self,
        now: Moment,
        found: Option<ReadBack>,
        random: &mut impl Rng,
    ) -> Step {
        match found {
            Some(ReadBack::Found(appended)) => Step::Done(appended),
            Some(ReadBack::Missing) => {
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

    /// No turn comes before the deadline.
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
