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
pub(super) enum Next {
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
pub(super) enum Found {
    /// The record is on the log.
    There(Appended),
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
    refused: Option<append::Error>,
    lost: Option<append::Error>,
}

impl Attempt {
    pub(super) const fn new(deadline: Moment, pauses: Backoff) -> Self {
        Self {
            deadline,
            pauses,
            refused: None,
            lost: None,
        }
    }

    pub(super) const fn deadline(&self) -> Moment {
        self.deadline
    }

    /// An append failed.
    pub(super) fn failed(&mut self, now: Moment, error: append::Error) -> Next {
        if error.may_have_taken_effect() {
            self.lost = Some(error);
            return Next::ReadBack;
        }
        let permanent = error.is_permanent();
        self.refused = Some(error);
        if permanent || now > self.deadline {
            return self.give_up();
        }
        Next::Append(now)
    }

    /// The stream was read back, or could not be.
    ///
    /// A record that isn't there is appended again after a pause, in which a
    /// late effect may still show.
    pub(super) fn read_back(
        &mut self,
        now: Moment,
        found: Option<Found>,
        random: &mut impl Rng,
    ) -> Next {
        match found {
            Some(Found::There(appended)) => Next::Done(appended),
            Some(Found::Missing) => {
                let at = now + self.pauses.pause(random);
                if at > self.deadline {
                    return self.give_up();
                }
                Next::Append(at)
            }
            None if now > self.deadline => self.give_up(),
            None => Next::ReadBack,
        }
    }

    /// No turn comes before the deadline.
    pub(super) fn no_turn(&mut self) -> Next {
        self.give_up()
    }

    fn give_up(&mut self) -> Next {
        Next::Failed(match (self.lost.take(), self.refused.take()) {
            (Some(lost), _) => Error::Unknown(lost),
            (None, Some(refused)) => Error::NotAppended(refused),
            (None, None) => Error::NoTurn,
        })
    }
}
