//! What happened in one schedule, and whether it kept the promises.

use std::collections::BTreeMap;

use godwitpost_state::claim::{Id, Scope, Verdict};
use godwitpost_types::id::KeyDigest;
use godwitpost_types::outcome::Outcome;

/// One attempt of a caller to have a request run.
pub type Attempt = usize;

/// What was seen from outside, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller sent a request.
    Sent {
        /// The attempt.
        attempt: Attempt,
        /// Its key.
        key: KeyDigest,
    },
    /// An endpoint ran it.
    Ran {
        /// The attempt.
        attempt: Attempt,
    },
    /// Its caller, or who would have been, was told an outcome.
    Told {
        /// The attempt.
        attempt: Attempt,
        /// The outcome.
        outcome: Outcome,
        /// What it speaks for.
        scope: Scope,
    },
    /// A batcher gave a verdict.
    Judged {
        /// The claim.
        id: Id,
        /// Its key.
        key: KeyDigest,
        /// The verdict.
        verdict: Verdict,
    },
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A key ran more than once.
    Duplicated {
        /// The key.
        key: KeyDigest,
    },
    /// An attempt was told *not run* and ran, before or after.
    FalseNotRun {
        /// The attempt.
        attempt: Attempt,
    },
    /// An attempt was told that its key ran, and it never did.
    FalseRan {
        /// The attempt.
        attempt: Attempt,
    },
    /// Two claims of one key were told that they won.
    TwoWinners {
        /// The key.
        key: KeyDigest,
    },
}

/// The events of one schedule.
#[derive(Clone, Debug, Default)]
pub struct History {
    events: Vec<Event>,
}

impl History {
    /// Adds an event.
    pub fn push(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Returns the number of attempts.
    #[must_use]
    pub fn attempts(&self) -> usize {
        self.count(|event| matches!(event, Event::Sent { .. }))
    }

    /// Returns the number of runs.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.count(|event| matches!(event, Event::Ran { .. }))
    }

    /// Returns the number of attempts told an outcome.
    #[must_use]
    pub fn told(&self, wanted: Outcome) -> usize {
        let told = self
            .events
            .iter()
            .filter(|event| matches!(event, Event::Told { outcome, .. } if *outcome == wanted));
        told.count()
    }

    /// Returns the broken promises.
    #[must_use]
    pub fn judge(&self) -> Vec<Fault> {
        let keys = self.keys();
        let runs = self.runs_by_attempt();
        let mut runs_by_key: BTreeMap<KeyDigest, usize> = BTreeMap::new();
        for (attempt, count) in &runs {
            *runs_by_key.entry(keys[attempt]).or_default() += count;
        }
        let mut faults: Vec<Fault> = runs_by_key
            .iter()
            .filter(|(_, count)| **count > 1)
            .map(|(key, _)| Fault::Duplicated { key: *key })
            .collect();
        for event in &self.events {
            if let Event::Told {
                attempt,
                outcome,
                scope,
            } = *event
            {
                let key_ran = runs_by_key.contains_key(&keys[&attempt]);
                let ran = match scope {
                    Scope::Attempt => runs.contains_key(&attempt),
                    Scope::Key => key_ran,
                };
                if outcome == Outcome::NotRun && ran {
                    faults.push(Fault::FalseNotRun { attempt });
                }
                if outcome == Outcome::Ran && !key_ran {
                    faults.push(Fault::FalseRan { attempt });
                }
            }
        }
        faults.extend(self.two_winners());
        faults
    }

    fn keys(&self) -> BTreeMap<Attempt, KeyDigest> {
        let sent = self.events.iter().filter_map(|event| match event {
            Event::Sent { attempt, key } => Some((*attempt, *key)),
            _ => None,
        });
        sent.collect()
    }

    fn runs_by_attempt(&self) -> BTreeMap<Attempt, usize> {
        let mut runs = BTreeMap::new();
        for event in &self.events {
            if let Event::Ran { attempt } = event {
                *runs.entry(*attempt).or_default() += 1;
            }
        }
        runs
    }

    fn two_winners(&self) -> Vec<Fault> {
        let mut winners: BTreeMap<KeyDigest, Id> = BTreeMap::new();
        let mut faults = Vec::new();
        for event in &self.events {
            if let Event::Judged {
                id,
                key,
                verdict: Verdict::Claimed,
            } = event
                && *winners.entry(*key).or_insert(*id) != *id
            {
                faults.push(Fault::TwoWinners { key: *key });
            }
        }
        faults
    }

    fn count(&self, wanted: fn(&Event) -> bool) -> usize {
        self.events.iter().filter(|event| wanted(event)).count()
    }
}
