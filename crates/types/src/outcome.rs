//! What a caller is told about the fate of its request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The fate of a request. There are three, never two: a broken connection
/// after the request's head was written leaves the fate unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An endpoint ran it.
    Ran,
    /// No byte that could start it has left for an endpoint, nor ever will.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Returns the outcome that a header value names.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        [Self::Ran, Self::NotRun, Self::Unknown]
            .into_iter()
            .find(|outcome| outcome.as_str() == text)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
