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

/// Which attempts a *not run* speaks for.
///
/// A caller sends an unrepeatable request again under its key. If the second
/// attempt is refused because the log is down, the first may still have run;
/// a caller that took the refusal for the fate of its order would place it
/// again under a new key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// This attempt alone; an earlier one with the same key keeps its own
    /// outcome.
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
