//! The outcome of a request, as reported to its caller.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The outcome of a request. There are three, because a connection that breaks after
/// the request's head was written leaves the outcome unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An endpoint ran it.
    Ran,
    /// No byte that could start it was sent to an endpoint, and none will be.
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

    /// Parses the value of the outcome header.
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

/// The attempts that a *not run* outcome applies to.
///
/// A caller resends an unrepeatable request with the same key. If the second attempt
/// is refused because the log is down, the first may still have run. A caller that
/// took the refusal for the outcome of its order would place it again under a new key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// Only this attempt; an earlier one with the same key keeps its own outcome.
    #[default]
    Attempt,
    /// Every attempt with the key, whichever instance it went through.
    Key,
}

impl Scope {
    /// Returns the value of the scope header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Attempt => "attempt",
            Self::Key => "key",
        }
    }
}
