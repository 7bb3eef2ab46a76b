//! Remembers which parts of prompts were answered lately.
//!
//! An answer is mostly observed before it is known that it matters: the crash that makes
//! its parts suspect is learned of later.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};

use super::parts::PartKey;

/// How long answers are remembered at least, and half of the time that they are at most.
const GENERATION_LIFETIME: Duration = Duration::from_secs(30);

/// The number of parts after which a generation ends early, at about 60 bytes each.
const MAX_GENERATION_PARTS: usize = 4_096;

/// An answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Answer {
    /// When the endpoint began to write it.
    pub(super) began_at: Moment,
    /// When it was complete, or had gone on for longer than a crash takes.
    pub(super) seen_at: Moment,
}

impl Answer {
    /// Returns the answer that began later.
    pub(super) fn later(self, other: Self) -> Self {
        if self.began_at >= other.began_at {
            self
        } else {
            other
        }
    }
}

/// The latest answer for each part, in two generations: the older one is dropped as a
/// whole.
#[derive(Debug, Default)]
pub(super) struct Answers {
    newer: BTreeMap<PartKey, Answer>,
    older: BTreeMap<PartKey, Answer>,
    begun_at: Moment,
}

impl Answers {
    pub(super) fn record(&mut self, part: PartKey, answer: Answer) {
        let is_old = since(answer.seen_at, self.begun_at) >= GENERATION_LIFETIME;
        if is_old || self.newer.len() >= MAX_GENERATION_PARTS {
            self.older = std::mem::take(&mut self.newer);
            self.begun_at = answer.seen_at;
        }
        let known = self.newer.entry(part).or_insert(answer);
        *known = known.later(answer);
    }

    pub(super) fn get(&self, part: PartKey) -> Option<Answer> {
        let newer = self.newer.get(&part);
        newer.or_else(|| self.older.get(&part)).copied()
    }
}
