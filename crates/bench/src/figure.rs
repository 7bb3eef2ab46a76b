//! One measured figure with its regression bound.

use std::fmt;

/// A figure as the benches print it.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Its name, words joined by dots.
    pub name: String,
    /// What was measured.
    pub value: f64,
    /// The unit of the value, such as `ratio` or `us`.
    pub unit: &'static str,
    /// The limit that the value must keep.
    pub bound: Bound,
}

/// The side on which a figure must stay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    /// The value is at least this.
    AtLeast(f64),
    /// The value is at most this.
    AtMost(f64),
    /// The value is printed and not judged.
    Free,
}

impl Figure {
    /// Returns a figure with its bound.
    #[must_use]
    pub fn new(name: impl Into<String>, value: f64, unit: &'static str, bound: Bound) -> Self {
        Self {
            name: name.into(),
            value,
            unit,
            bound,
        }
    }

    /// Returns whether the value keeps its bound.
    #[must_use]
    pub fn holds(&self) -> bool {
        match self.bound {
            Bound::AtLeast(limit) => self.value >= limit,
            Bound::AtMost(limit) => self.value <= limit,
            Bound::Free => true,
        }
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.holds() { "ok" } else { "over" };
        let Self {
            name, value, unit, ..
        } = self;
        match self.bound {
            Bound::AtLeast(limit) => {
                write!(
                    f,
                    "figure {name} {value:.4} {unit} bound >={limit} {verdict}"
                )
            }
            Bound::AtMost(limit) => {
                write!(
                    f,
                    "figure {name} {value:.4} {unit} bound <={limit} {verdict}"
                )
            }
            Bound::Free => write!(f, "figure {name} {value:.4} {unit} bound - {verdict}"),
        }
    }
}
