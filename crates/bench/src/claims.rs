//! Seeded schedules of faults against the claims on idempotency keys.
//!
//! [`world`] plays one schedule: callers that send keys again through other
//! instances, dispatchers and batchers that pause, crash and disagree, and a
//! log that loses answers, lags, truncates and goes down. [`history`] judges
//! what happened. [`weak`] holds versions of the design with one guard taken
//! out, which the judge must find: a checker that finds nothing there proves
//! nothing elsewhere.

pub mod caller;
pub mod history;
pub mod load;
pub mod plan;
pub mod weak;
pub mod world;

use godwitpost_types::outcome::Outcome;

use crate::figure::{Bound, Figure};

/// Schedules behind the figures.
pub const SCHEDULES: u64 = 10_000;

/// Sums over many schedules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Attempts that callers sent.
    pub attempts: u64,
    /// Requests that an endpoint ran.
    pub runs: u64,
    /// Runs beyond the first of their key.
    pub duplicated_runs: u64,
    /// Attempts told *not run* that ran.
    pub false_not_run: u64,
    /// Other broken promises.
    pub other: u64,
    /// Attempts told *not run*.
    pub told_not_run: u64,
    /// Attempts told *unknown*.
    pub told_unknown: u64,
}

impl Tally {
    /// Plays the seeds in a range and sums what the judge finds.
    #[must_use]
    pub fn over(seeds: std::ops::Range<u64>, weakness: weak::Weakness) -> Self {
        let mut tally = Self::default();
        for seed in seeds {
            let history = world::play(seed, weakness);
            tally.add(&history);
        }
        tally
    }

    fn add(&mut self, history: &history::History) {
        let faults = history.judge();
        let count = |wanted: fn(&history::Fault) -> bool| {
            faults.iter().filter(|fault| wanted(fault)).count() as u64
        };
        let duplicated = count(|fault| matches!(fault, history::Fault::Duplicated { .. }));
        let falsehoods = count(|fault| matches!(fault, history::Fault::FalseNotRun { .. }));
        self.attempts += history.attempts() as u64;
        self.runs += history.runs() as u64;
        self.told_not_run += history.told(Outcome::NotRun) as u64;
        self.told_unknown += history.told(Outcome::Unknown) as u64;
        self.duplicated_runs += duplicated;
        self.false_not_run += falsehoods;
        self.other += faults.len() as u64 - duplicated - falsehoods;
    }
}

/// Returns the figures of the claims over [`SCHEDULES`] schedules.
#[must_use]
pub fn figures() -> Vec<Figure> {
    let tally = Tally::over(0..SCHEDULES, weak::Weakness::None);
    let at_most =
        |name, value: u64, unit| Figure::new(name, count(value), unit, Bound::AtMost(0.0));
    let mut figures = vec![
        at_most("claims.duplicated_runs", tally.duplicated_runs, "runs"),
        at_most("claims.false_not_run", tally.false_not_run, "attempts"),
        at_most("claims.other_faults", tally.other, "faults"),
        Figure::new(
            "claims.attempts",
            count(tally.attempts),
            "attempts",
            Bound::Free,
        ),
        Figure::new("claims.runs", count(tally.runs), "runs", Bound::Free),
        Figure::new(
            "claims.told_not_run",
            count(tally.told_not_run),
            "attempts",
            Bound::Free,
        ),
        Figure::new(
            "claims.told_unknown",
            count(tally.told_unknown),
            "attempts",
            Bound::Free,
        ),
    ];
    figures.extend(weak::Weakness::all().map(|weakness| {
        let name = format!("claims.weak.{}.faulty_schedules", weakness.name());
        let faulty = (0..SCHEDULES / 10)
            .filter(|seed| !world::play(*seed, weakness).judge().is_empty())
            .count();
        Figure::new(name, count(faulty as u64), "of_1000", Bound::AtLeast(1.0))
    }));
    figures
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a bench stay far below 2^53"
)]
const fn count(value: u64) -> f64 {
    value as f64
}

#[cfg(test)]
mod tests;
