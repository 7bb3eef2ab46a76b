//! Reads and writes histories as JSON lines, one event per line.

use std::io::{self, BufRead, Write};

use displaydoc::Display;

use crate::event::Event;

#[cfg(test)]
mod tests;

/// An error in reading a history.
#[derive(Debug, Display)]
pub enum Error {
    /// line {line} of the history can't be read ({cause}): check the file's path and rights
    Read {
        /// The number of the line, from 1.
        line: usize,
        /// The error of the reader.
        cause: io::Error,
    },
    /// line {line} of the history is not a valid event ({cause}): cut the file before this line or record the run again
    Parse {
        /// The number of the line, from 1.
        line: usize,
        /// The error of the parser.
        cause: serde_json::Error,
    },
}

impl std::error::Error for Error {}

/// Writes events as JSON lines.
///
/// # Errors
///
/// Returns the writer's error.
pub fn write(events: &[Event], mut to: impl Write) -> io::Result<()> {
    for event in events {
        serde_json::to_writer(&mut to, event)?;
        to.write_all(b"\n")?;
    }
    to.flush()
}

/// Reads events from JSON lines.
///
/// # Errors
///
/// Returns [`Error`] with the number of the first line that can't be read or
/// is not a valid event.
pub fn read(from: impl BufRead) -> Result<Vec<Event>, Error> {
    from.lines()
        .enumerate()
        .map(|(index, line)| parse(index + 1, line))
        .collect()
}

fn parse(line: usize, text: io::Result<String>) -> Result<Event, Error> {
    let text = text.map_err(|cause| Error::Read { line, cause })?;
    serde_json::from_str(&text).map_err(|cause| Error::Parse { line, cause })
}
