//! The promises of the product, each checked by a module of its own.
//!
//! A check reads a well-formed [`History`] and returns every violation it
//! finds, each with the events that show it, in their order. A check finds
//! nothing in a history that kept its promise, whatever faults happened in
//! it: a fault excuses only what the promise leaves open.

use std::fmt;
use std::time::Duration;

use displaydoc::Display;

use crate::event::Event;
use crate::history::History;

pub mod at_most_once;
pub mod graceful;
pub mod in_force;
pub mod leaving;
pub mod load;
pub mod not_run;
pub mod whole;

#[cfg(test)]
mod tests;

/// The time after which a leaving endpoint gets nothing new: the brief's "a
/// few seconds", taken as three.
pub const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// The time in which an accepted bundle is in force everywhere: the six
/// seconds that the users ask for at their size in two years.
pub const MAX_ROLL_TIME: Duration = Duration::from_secs(6);

/// What a check holds the run to.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// How long an announcement of leaving may take to reach the routers.
    pub leaving: Deadline,
    /// How long a roll may take to reach all instances.
    pub roll: Deadline,
    /// The load bound of each service that has one.
    pub load: Vec<load::Limit>,
}

impl Limits {
    /// Returns the brief's limits for a run whose clock is driven.
    #[must_use]
    pub const fn driven(load: Vec<load::Limit>) -> Self {
        Self {
            leaving: Deadline::Within(LEAVING_GRACE),
            roll: Deadline::Within(MAX_ROLL_TIME),
            load,
        }
    }

    /// Returns limits for a live run, which takes no verdict from its clock.
    #[must_use]
    pub const fn live(load: Vec<load::Limit>) -> Self {
        Self {
            leaving: Deadline::SettledEvent,
            roll: Deadline::SettledEvent,
            load,
        }
    }
}

/// When something must have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deadline {
    /// By so long after it was announced; for runs with a driven clock.
    Within(Duration),
    /// By the settled mark that the run recorded; for live runs.
    SettledEvent,
}

/// One broken promise, with the events that show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation<B> {
    /// How the promise was broken.
    pub breach: B,
    /// The events that show it, in their order.
    pub events: Vec<Event>,
}

impl<B> Violation<B> {
    fn new<'a>(breach: B, events: impl IntoIterator<Item = &'a Event>) -> Self {
        let mut events: Vec<Event> = events.into_iter().cloned().collect();
        events.sort_by_key(|event| event.order);
        events.dedup_by_key(|event| event.order);
        Self { breach, events }
    }
}

impl<B: fmt::Display> fmt::Display for Violation<B> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.breach)?;
        for event in &self.events {
            write!(f, "\n    {event}")?;
        }
        Ok(())
    }
}

/// How one of the promises was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Breach {
    /// whole answer: {0}
    Whole(whole::Breach),
    /// not run: {0}
    NotRun(not_run::Breach),
    /// at most once: {0}
    AtMostOnce(at_most_once::Breach),
    /// leaving endpoint: {0}
    Leaving(leaving::Breach),
    /// graceful stop: {0}
    Graceful(graceful::Breach),
    /// bundle in force: {0}
    InForce(in_force::Breach),
    /// load bound: {0}
    Load(load::Breach),
}

/// Runs every check and returns what they found, promise by promise.
#[must_use]
pub fn all(history: &History<'_>, limits: &Limits) -> Vec<Violation<Breach>> {
    let mut found = Vec::new();
    found.extend(wrap_breaches(whole::check(history), Breach::Whole));
    found.extend(wrap_breaches(not_run::check(history), Breach::NotRun));
    found.extend(wrap_breaches(
        at_most_once::check(history),
        Breach::AtMostOnce,
    ));
    found.extend(wrap_breaches(
        leaving::check(history, limits.leaving),
        Breach::Leaving,
    ));
    found.extend(wrap_breaches(graceful::check(history), Breach::Graceful));
    found.extend(wrap_breaches(
        in_force::check(history, limits.roll),
        Breach::InForce,
    ));
    for limit in &limits.load {
        found.extend(wrap_breaches(load::check(history, limit), Breach::Load));
    }
    found
}

fn wrap_breaches<B>(
    found: Vec<Violation<B>>,
    wrap: fn(B) -> Breach,
) -> impl Iterator<Item = Violation<Breach>> {
    found.into_iter().map(move |violation| Violation {
        breach: wrap(violation.breach),
        events: violation.events,
    })
}
