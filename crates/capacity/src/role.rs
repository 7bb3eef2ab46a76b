//! The roles of an instance, each with what it was measured by.

use crate::meter::Allocated;
use crate::slope::Line;

pub mod batcher;
pub mod bundle;
pub mod direct;
pub mod entry;
pub mod member;
pub mod metrics;
pub mod owner;

/// Measures every role.
#[must_use]
pub fn all(allocated: Allocated) -> Vec<Measure> {
    let roles = [
        entry::measure,
        direct::measure,
        owner::measure,
        batcher::measure,
        bundle::measure,
        member::measure,
        metrics::measure,
    ];
    roles
        .iter()
        .flat_map(|measure| measure(allocated))
        .collect()
}

/// What a measurement counts against the budgets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cost {
    /// Bytes of memory held.
    Memory,
    /// Nanoseconds for each event, and events a second at the letter's size.
    Time {
        /// Events a second on one instance.
        rate: f64,
    },
    /// Bytes for each message, and messages a second at the letter's size.
    Traffic {
        /// Messages a second on one instance.
        rate: f64,
    },
}

/// One thing measured at several sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Measure {
    /// The role that it belongs to.
    pub role: &'static str,
    /// What was measured.
    pub what: &'static str,
    /// What was varied.
    pub against: &'static str,
    /// The points: size, and bytes or nanoseconds.
    pub points: Vec<(f64, f64)>,
    /// The size at the letter's size.
    pub size: f64,
    /// What it counts against.
    pub cost: Cost,
    /// Whether it is control; the data path has its own sum.
    pub control: bool,
}

impl Measure {
    /// Returns the fitted line.
    #[must_use]
    pub fn line(&self) -> Line {
        Line::fit(&self.points)
    }

    /// Returns bytes or nanoseconds at the letter's size.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.line().at(self.size)
    }

    /// Returns bytes, share of a core, or bytes a second at the letter's size.
    #[must_use]
    pub fn total(&self) -> f64 {
        match self.cost {
            Cost::Memory => self.value(),
            Cost::Time { rate } => self.value() * rate / 1e9,
            Cost::Traffic { rate } => self.value() * rate,
        }
    }
}
