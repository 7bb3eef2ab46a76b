//! The guarantees of the router, each checked by its own module.
//!
//! A check reads a well-formed [`History`] and returns every violation it
//! finds, each with the events that show it, in order. A check finds nothing in
//! a history that kept its guarantee, whatever faults it contains: a fault
//! excuses only what the guarantee leaves open.

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

/// The time after which a leaving endpoint may receive no new requests.
///
/// The requirement is "a few seconds", taken as three.
pub const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// The time in which an accepted bundle must be in force on every instance.
///
/// Users require six seconds at the fleet size that they expect in two years.
pub const MAX_ROLL_TIME: Duration = Duration::from_secs(6);

/// The limits that a run is checked against.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// When a leaving announcement must have taken effect at the routers.
    pub leaving: Deadline,
    /// When a roll must have reached all instances.
    pub roll: Deadline,
    /// The load bound of each service that has one.
    pub load: Vec<load::Limit>,
}

impl Limits {
    /// Returns the required limits, for a run with a simulated clock.
    #[must_use]
    pub const fn driven(load: Vec<load::Limit>) -> Self {
        Self {
            leaving: Deadline::Within(LEAVING_GRACE),
            roll: Deadline::Within(MAX_ROLL_TIME),
            load,
        }
    }

    /// Returns the limits for a live run, whose results must not depend on its clock.
    #[must_use]
    pub const fn live(load: Vec<load::Limit>) -> Self {
        Self {
            leaving: Deadline::SettledEvent,
            roll: Deadline::SettledEvent,
            load,
        }
    }
}

/// When a change must have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deadline {
    /// Within this time after the announcement; for runs with a simulated clock.
    Within(Duration),
    /// By the settled event that the run recorded, such as
    /// [`LeavingSettled`](crate::event::What::LeavingSettled); for live runs.
    SettledEvent,
}

/// A violation of a guarantee, with the events that show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation<B> {
    /// How the guarantee was broken.
    pub breach: B,
    /// The events that show it, in order.
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

/// How one of the guarantees was broken.
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

/// Runs every check and returns the violations, grouped by guarantee.
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
