//! Reads a YAML settings file and reports all of its mistakes at once.
//!
//! [`node`] represents the file as a tree with line numbers; [`low`] extracts validated
//! values and collects mistakes. [`load`] reads the file, and [`parse`] extracts the
//! settings with a function of the program.

use std::fmt;
use std::path::{Path, PathBuf};

use self::low::{Level, Mistake};
use self::node::Node;

pub mod low;
pub mod node;

/// The reason for which settings can't be loaded.
#[derive(Debug)]
pub enum Error {
    /// The file can't be read.
    Read(PathBuf, std::io::Error),
    /// The file is not valid YAML or has a duplicate key.
    Yaml(String),
    /// All invalid values.
    Mistakes(Vec<Mistake>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(path, error) => write!(
                f,
                "can't read {}: {error}; name a readable file with --settings",
                path.display()
            ),
            Self::Yaml(text) => write!(f, "the settings are not well-formed YAML: {text}"),
            Self::Mistakes(mistakes) => {
                write!(f, "the settings have {} mistake(s):", mistakes.len())?;
                mistakes
                    .iter()
                    .try_for_each(|mistake| write!(f, "\n  {mistake}"))
            }
        }
    }
}

impl std::error::Error for Error {}

/// Reads a file's text.
///
/// # Errors
///
/// Returns [`Error::Read`] if it can't be read.
pub fn load(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|error| Error::Read(path.to_owned(), error))
}

/// Parses settings in YAML. `read` extracts them from the top level and collects
/// mistakes.
///
/// # Errors
///
/// Returns an error that names all mistakes, in the order of lines.
pub fn parse<T>(
    text: &str,
    read: impl FnOnce(Level, &mut Vec<Mistake>) -> Option<T>,
) -> Result<T, Error> {
    // No snippet of the source, which could put secrets into the log.
    let options = serde_saphyr::options! { with_snippet: false };
    let node = serde_saphyr::from_str_with_options(text, options)
        .map_err(|error| Error::Yaml(error.to_string()))?;
    let Node::Map(map) = node else {
        return Err(Error::Yaml(
            "the top level wants keys with values".to_owned(),
        ));
    };
    let mut mistakes = Vec::new();
    match read(Level::top(map), &mut mistakes) {
        Some(settings) if mistakes.is_empty() => Ok(settings),
        _ => {
            mistakes.sort_by_key(|mistake| mistake.line);
            Err(Error::Mistakes(mistakes))
        }
    }
}
