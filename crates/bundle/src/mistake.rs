//! Mistakes in a bundle, each with its location and a remedy.

use std::error;
use std::fmt;

/// One mistake in a bundle.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mistake {
    /// The line in the source, if known; the first is 1.
    pub line: Option<u64>,
    /// The key path, such as `workspaces.otaru.rate`.
    pub path: String,
    /// What is wrong, with the invalid value.
    pub problem: String,
    /// What to write instead.
    pub remedy: String,
}

impl Mistake {
    /// Returns a mistake whose line is not known yet.
    #[must_use]
    pub fn new(
        path: impl Into<String>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            line: None,
            path: path.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(f, "{}: {}; {}", self.path, self.problem, self.remedy)
    }
}

/// All mistakes in a bundle, sorted by line and path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistakes(pub Vec<Mistake>);

impl fmt::Display for Mistakes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, mistake) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{mistake}")?;
        }
        Ok(())
    }
}

impl error::Error for Mistakes {}
