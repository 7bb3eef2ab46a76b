//! Errors of commands and their exit codes.

use std::io;
use std::path::PathBuf;

use displaydoc::Display;
use godwitpost_bundle::entry;
use godwitpost_bundle::fold::Refusal;
use godwitpost_bundle::mistake::Mistakes;
use godwitpost_bundle::record;
use godwitpost_client::log::read;
use godwitpost_types::id::Version;

/// Exit code on success.
pub const EXIT_DONE: u8 = 0;
/// Exit code when a file or the platform failed and nothing was rolled.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for a wrong command line or a bundle with mistakes.
pub const EXIT_USAGE: u8 = 2;
/// Exit code when the bundle was refused or lost a race; nothing was rolled.
pub const EXIT_REFUSED: u8 = 3;
/// Exit code when the outcome of a roll is unknown; run the same command again.
pub const EXIT_UNKNOWN: u8 = 4;
/// Exit code of `show` when a live instance does not have the bundle in force.
pub const EXIT_BEHIND: u8 = 5;

/// Why a command failed.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}: {1}; check the path and its permissions
    File(PathBuf, io::Error),
    /// {0} has mode {1:o}, so others may read it; run chmod 600 on it
    KeyMode(PathBuf, u32),
    /// {0} holds no private key; write one with keygen
    Key(PathBuf),
    /// no randomness from the system ({0}); try again
    Random(String),
    /// {0}:
    /// {1}
    Mistakes(PathBuf, Mistakes),
    /// {0}; nothing was rolled, try again when the log is up
    Read(read::Error),
    /// nothing was appended ({0}); try again when the log is up
    Append(String),
    /// the log no longer keeps what leads to the bundle in force, and no checkpoint covers it; wait until an instance appends one, or if none holds a bundle any more use `anew`
    Gap,
    /// the log still has the bundle in force, version {0}; use roll
    NotLost(Version),
    /// nothing is in force yet; roll version 1 with a root key
    Empty,
    /// version {found} does not follow {current}, which is in force; make the change in the output of `show --yaml`, with `version: {next}`
    Version {
        /// The version in force; 0 for none.
        current: Version,
        /// The version that the file names.
        found: Version,
        /// The version to write.
        next: Version,
    },
    /// the file has nothing that version {0} in force does not have; nothing was rolled
    Same(Version),
    /// {0}; sign the bundle again with this version of the tool
    Entry(entry::Error),
    /// {0}
    Record(record::Error),
    /// one entry alone is larger than a record; make it smaller
    TooLarge,
    /// refused: {0}
    Refused(Refusal),
    /// version {version} by {winner} came first, so yours was not rolled; make your change in the output of `show --yaml` and roll it as version {next}
    Lost {
        /// The version that both rolled.
        version: Version,
        /// The operator whose version is in force.
        winner: String,
        /// The version to roll next.
        next: Version,
    },
    /// the fate of version {0} is unknown ({1}); run the same command again, it counts once
    Unknown(Version, String),
    /// version {0} is in force with a part of the change ({1}); roll the file again as version {2}
    Partial(Version, Box<Self>, Version),
    /// version {0} is not on the log any more; roll its file with the next version number
    VersionNotOnLog(Version),
    /// {0} is no signed record; write one with sign
    NotARecord(PathBuf),
    /// no instance list ({0}); try again when the list is up
    List(String),
    /// {0}
    NoLogLine(String),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the exit code.
    #[must_use]
    pub const fn code(&self) -> u8 {
        match self {
            Self::Partial(_, cause, _) => cause.code(),
            Self::File(..)
            | Self::KeyMode(..)
            | Self::Key(_)
            | Self::Random(_)
            | Self::Read(_)
            | Self::Append(_)
            | Self::Gap
            | Self::Empty
            | Self::VersionNotOnLog(_)
            | Self::NotARecord(_)
            | Self::List(_)
            | Self::NoLogLine(_) => EXIT_FAILED,
            Self::Mistakes(..) => EXIT_USAGE,
            Self::Version { .. }
            | Self::Same(_)
            | Self::NotLost(_)
            | Self::Entry(_)
            | Self::Record(_)
            | Self::TooLarge
            | Self::Refused(_)
            | Self::Lost { .. } => EXIT_REFUSED,
            Self::Unknown(..) => EXIT_UNKNOWN,
        }
    }
}
