//! Parses the command line into a [`Command`].

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use godwitpost_bundle::blob::Digest;
use godwitpost_types::id::Version;

use crate::error::{EXIT_DONE, EXIT_USAGE};
use crate::fleet::Settings;

mod flags;
#[cfg(test)]
mod tests;

/// A parsed command line.
#[derive(Clone, Debug)]
pub enum Command {
    /// Generate a key and write it to this file.
    Keygen(PathBuf),
    /// Check this bundle.
    Check(PathBuf),
    /// Sign this bundle and write the records to files.
    Sign {
        /// The bundle.
        bundle: PathBuf,
        /// Where the record goes.
        out: PathBuf,
        /// The fleet's log.
        log: Log,
        /// Who signs.
        signer: Signer,
    },
    /// Sign this bundle and roll it.
    Roll {
        /// The bundle.
        bundle: PathBuf,
        /// The fleet's log.
        log: Log,
        /// Who signs.
        signer: Signer,
    },
    /// Restart a fleet whose log no longer has its bundle.
    Anew {
        /// The bundle.
        bundle: PathBuf,
        /// The fleet's log.
        log: Log,
        /// Who signs, with a root key.
        signer: Signer,
    },
    /// Roll a record that `sign` wrote.
    RollSigned {
        /// The record.
        record: PathBuf,
        /// The fleet's log.
        log: Log,
    },
    /// Show the version in force.
    Show {
        /// The fleet's log.
        log: Log,
        /// The address of the instance list, to query instances too.
        list: Option<SocketAddr>,
        /// Whether to print the bundle itself.
        yaml: bool,
    },
    /// Show the differences between two bundles.
    Diff {
        /// The older side.
        old: Side,
        /// The newer side.
        new: Side,
        /// The fleet's log, needed if a side is a version.
        log: Option<Log>,
    },
    /// Roll the content of an older version as a new one.
    Rollback {
        /// That version.
        to: Version,
        /// The fleet's log.
        log: Log,
        /// Who signs.
        signer: Signer,
    },
    /// Show the log lines about a request.
    Story {
        /// The request's id.
        request: String,
        /// The logs.
        files: Vec<PathBuf>,
    },
    /// Print this text and exit with this code.
    Print(String, u8),
}

/// The fleet's log.
#[derive(Clone, Debug)]
pub struct Log {
    /// Where the log service listens.
    pub address: SocketAddr,
    /// Which fleet it is.
    pub settings: Settings,
}

/// An operator and the file with the key.
#[derive(Clone, Debug)]
pub struct Signer {
    /// The operator's name in the bundle in force.
    pub operator: String,
    /// The file with the private key.
    pub key: PathBuf,
}

/// One side of a comparison.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Side {
    /// A version that was in force.
    Version(Version),
    /// A file.
    File(PathBuf),
}

/// Parses a command line.
#[must_use]
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Command {
    match flags::command().try_get_matches_from(args) {
        Ok(matches) => command(&matches),
        Err(error) => {
            let code = if error.use_stderr() {
                EXIT_USAGE
            } else {
                EXIT_DONE
            };
            Command::Print(error.render().to_string(), code)
        }
    }
}

fn command(matches: &ArgMatches) -> Command {
    match matches.subcommand() {
        Some(("keygen", m)) => Command::Keygen(path(m, "out")),
        Some(("check", m)) => Command::Check(path(m, "bundle")),
        Some(("sign", m)) => with_log(m, |log| Command::Sign {
            bundle: path(m, "bundle"),
            out: path(m, "out"),
            log,
            signer: signer(m),
        }),
        Some(("roll", m)) => with_log(m, |log| match m.get_one::<PathBuf>("signed") {
            Some(record) => Command::RollSigned {
                record: record.clone(),
                log,
            },
            None => Command::Roll {
                bundle: path(m, "bundle"),
                log,
                signer: signer(m),
            },
        }),
        Some(("anew", m)) => with_log(m, |log| Command::Anew {
            bundle: path(m, "bundle"),
            log,
            signer: signer(m),
        }),
        Some(("show", m)) => with_log(m, |log| Command::Show {
            log,
            list: m.get_one("list").copied(),
            yaml: m.get_flag("yaml"),
        }),
        Some(("rollback", m)) => with_log(m, |log| Command::Rollback {
            to: m.get_one("to").copied().unwrap_or_default(),
            log,
            signer: signer(m),
        }),
        Some(("diff", m)) => diff(m),
        Some(("story", m)) => Command::Story {
            request: m.get_one::<String>("id").cloned().unwrap_or_default(),
            files: m.get_many("file").into_iter().flatten().cloned().collect(),
        },
        _ => Command::Print(flags::command().render_help().to_string(), EXIT_USAGE),
    }
}

fn with_log(matches: &ArgMatches, build: impl FnOnce(Log) -> Command) -> Command {
    match log_of(matches) {
        Some(log) => build(log),
        None => Command::Print(
            "write --log, --fleet and --root-key\n".to_owned(),
            EXIT_USAGE,
        ),
    }
}

fn diff(matches: &ArgMatches) -> Command {
    let (old, new) = (side_of(matches, "old"), side_of(matches, "new"));
    let log = log_of(matches);
    let needs = |side: &Side| matches!(side, Side::Version(_));
    if log.is_none() && (needs(&old) || needs(&new)) {
        let text = "a version is read from the log; write --log, --fleet and --root-key\n";
        return Command::Print(text.to_owned(), EXIT_USAGE);
    }
    Command::Diff { old, new, log }
}

fn side_of(matches: &ArgMatches, id: &str) -> Side {
    let text = matches.get_one::<String>(id).cloned().unwrap_or_default();
    match text.parse() {
        Ok(version) => Side::Version(version),
        Err(_not_a_number) => Side::File(text.into()),
    }
}

fn log_of(matches: &ArgMatches) -> Option<Log> {
    let roots: Vec<Digest> = matches.get_many("root-key")?.copied().collect();
    let seconds = matches.get_one::<u32>("patience").copied()?;
    Some(Log {
        address: matches.get_one("log").copied()?,
        settings: Settings {
            fleet: matches.get_one::<String>("fleet").cloned()?,
            roots,
            roll_timeout: Duration::from_secs(u64::from(seconds)),
        },
    })
}

fn signer(matches: &ArgMatches) -> Signer {
    let operator = matches.get_one::<String>("operator").cloned();
    Signer {
        operator: operator.unwrap_or_default(),
        key: path(matches, "key"),
    }
}

fn path(matches: &ArgMatches, id: &str) -> PathBuf {
    matches.get_one::<PathBuf>(id).cloned().unwrap_or_default()
}
