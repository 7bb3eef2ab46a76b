//! The command line: one definition for each flag, and what they mean.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use godwitpost_bundle::blob::Digest;
use godwitpost_types::id::Version;

use crate::error::{EXIT_DONE, EXIT_USAGE};
use crate::fleet::Settings;
use crate::keyfile;

#[cfg(test)]
mod tests;

/// What the command line asks for.
#[derive(Clone, Debug)]
pub enum Next {
    /// Write a new key to this file.
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
    /// Roll a record that `sign` wrote.
    RollSigned {
        /// The record.
        record: PathBuf,
        /// The fleet's log.
        log: Log,
    },
    /// Show what is in force.
    Show {
        /// The fleet's log.
        log: Log,
        /// The instance list, if instances are to be asked.
        list: Option<SocketAddr>,
        /// Whether to print the bundle itself.
        yaml: bool,
    },
    /// Show what differs.
    Diff {
        /// The older side.
        old: Side,
        /// The newer side.
        new: Side,
        /// The fleet's log, where a side is a version.
        log: Option<Log>,
    },
    /// Roll the content of an older version.
    Rollback {
        /// That version.
        to: Version,
        /// The fleet's log.
        log: Log,
        /// Who signs.
        signer: Signer,
    },
    /// Print this text and end with this exit code.
    Say(String, u8),
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

const ABOUT: &str = "Checks, signs and rolls the bundles of a router fleet";

const AFTER: &str = "\
Exit codes:
  0  done
  1  a file, the log or the list failed; nothing was rolled
  2  wrong command line, or a bundle with mistakes (all are listed)
  3  the bundle was refused or lost a race; nothing was rolled
  4  the fate of a roll is unknown; run the same command again, it counts once
  5  show: a live instance does not hold the bundle in force

A first roll:
  godwitpost-bundle keygen --out asahikawa.key      # prints the public key
  godwitpost-bundle check kitakaze.yaml
  godwitpost-bundle roll kitakaze.yaml --operator asahikawa --key asahikawa.key \\
      --fleet kitakaze --log 10.0.1.1:7001 --root-key <public key>
  godwitpost-bundle show --fleet kitakaze --log 10.0.1.1:7001 \\
      --root-key <public key> --list 10.0.1.2:7002

A later change: take the bundle with `show --yaml`, change it, count its version
up by one, and roll it. Root keys are those in the routers' settings; they sign
the first version, and the operators that a bundle names sign the next.";

/// Reads a command line.
#[must_use]
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Next {
    match command().try_get_matches_from(args) {
        Ok(matches) => next(&matches),
        Err(error) => {
            let code = if error.use_stderr() {
                EXIT_USAGE
            } else {
                EXIT_DONE
            };
            Next::Say(error.render().to_string(), code)
        }
    }
}

fn command() -> Command {
    Command::new("godwitpost-bundle")
        .version(env!("CARGO_PKG_VERSION"))
        .about(ABOUT)
        .after_long_help(AFTER)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("keygen")
                .about("Writes a new private key to a file and prints the public key")
                .arg(out("Writes the key to this new file, with mode 0600")),
        )
        .subcommand(
            Command::new("check")
                .about("Checks a bundle and lists every mistake")
                .arg(bundle().required(true)),
        )
        .subcommand(signing(
            Command::new("sign")
                .about("Signs a bundle against what is in force, without rolling it")
                .arg(bundle().required(true))
                .arg(out("Writes the signed record to this file")),
            true,
        ))
        .subcommand(signing(
            Command::new("roll")
                .about("Signs a bundle, appends it to the log and settles its fate")
                .arg(bundle().required_unless_present("signed"))
                .arg(signed()),
            false,
        ))
        .subcommand(on_log(
            Command::new("show")
                .about("Shows what is in force and which instances hold it")
                .arg(list())
                .arg(yaml()),
            true,
        ))
        .subcommand(on_log(
            Command::new("diff")
                .about("Shows what differs between two versions or files")
                .arg(side("old"))
                .arg(side("new")),
            false,
        ))
        .subcommand(signing(
            Command::new("rollback")
                .about("Rolls the content of an older version, with today's operators")
                .arg(to()),
            true,
        ))
}

fn signing(command: Command, required: bool) -> Command {
    let command = command.arg(operator(required)).arg(key(required));
    on_log(command, true)
}

fn on_log(command: Command, required: bool) -> Command {
    command
        .arg(log(required))
        .arg(fleet(required))
        .arg(root_key(required))
        .arg(patience())
}

fn bundle() -> Arg {
    Arg::new("bundle")
        .value_name("BUNDLE")
        .value_parser(value_parser!(PathBuf))
        .help("The bundle in YAML")
}

fn out(help: &'static str) -> Arg {
    Arg::new("out")
        .long("out")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help(help)
}

fn signed() -> Arg {
    Arg::new("signed")
        .long("signed")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .conflicts_with_all(["bundle", "operator", "key"])
        .help("Rolls the record that sign wrote, in place of a bundle")
}

fn operator(required: bool) -> Arg {
    let arg = Arg::new("operator")
        .long("operator")
        .value_name("NAME")
        .help("The operator's name in the bundle in force");
    or_signed(arg, required)
}

fn key(required: bool) -> Arg {
    let arg = Arg::new("key")
        .long("key")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("The file with the operator's private key, of mode 0600");
    or_signed(arg, required)
}

fn or_signed(arg: Arg, required: bool) -> Arg {
    if required {
        arg.required(true)
    } else {
        arg.required_unless_present("signed")
    }
}

fn log(required: bool) -> Arg {
    Arg::new("log")
        .long("log")
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .required(required)
        .help("Where the log service listens")
}

fn fleet(required: bool) -> Arg {
    Arg::new("fleet")
        .long("fleet")
        .value_name("NAME")
        .required(required)
        .requires("log")
        .help("The fleet's name, as in the routers' settings")
}

fn root_key(required: bool) -> Arg {
    Arg::new("root-key")
        .long("root-key")
        .value_name("BASE64")
        .value_parser(|text: &str| keyfile::digest(text).ok_or("write 32 bytes in base64"))
        .action(ArgAction::Append)
        .required(required)
        .requires("log")
        .help("A public key that may sign version 1; may be given more than once")
}

fn patience() -> Arg {
    Arg::new("patience")
        .long("patience")
        .value_name("SECONDS")
        .value_parser(value_parser!(u32).range(1..=3600))
        .default_value("15")
        .help("How long a roll may take until its fate is called unknown")
}

fn list() -> Arg {
    Arg::new("list")
        .long("list")
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .help("Where the instance list listens; instances are then asked too")
}

fn yaml() -> Arg {
    Arg::new("yaml")
        .long("yaml")
        .action(ArgAction::SetTrue)
        .conflicts_with("list")
        .help("Prints the bundle in force, to be edited")
}

fn side(id: &'static str) -> Arg {
    Arg::new(id)
        .value_name(if id == "old" { "OLD" } else { "NEW" })
        .required(true)
        .help("A file, or the number of a version that is on the log")
}

fn to() -> Arg {
    Arg::new("to")
        .long("to")
        .value_name("VERSION")
        .value_parser(value_parser!(u64).range(1..))
        .required(true)
        .help("The version whose content is rolled again")
}

fn next(matches: &ArgMatches) -> Next {
    match matches.subcommand() {
        Some(("keygen", m)) => Next::Keygen(path(m, "out")),
        Some(("check", m)) => Next::Check(path(m, "bundle")),
        Some(("sign", m)) => with_log(m, |log| Next::Sign {
            bundle: path(m, "bundle"),
            out: path(m, "out"),
            log,
            signer: signer(m),
        }),
        Some(("roll", m)) => with_log(m, |log| match m.get_one::<PathBuf>("signed") {
            Some(record) => Next::RollSigned {
                record: record.clone(),
                log,
            },
            None => Next::Roll {
                bundle: path(m, "bundle"),
                log,
                signer: signer(m),
            },
        }),
        Some(("show", m)) => with_log(m, |log| Next::Show {
            log,
            list: m.get_one("list").copied(),
            yaml: m.get_flag("yaml"),
        }),
        Some(("rollback", m)) => with_log(m, |log| Next::Rollback {
            to: m.get_one("to").copied().unwrap_or_default(),
            log,
            signer: signer(m),
        }),
        Some(("diff", m)) => diff(m),
        _ => Next::Say(command().render_help().to_string(), EXIT_USAGE),
    }
}

fn with_log(matches: &ArgMatches, next: impl FnOnce(Log) -> Next) -> Next {
    match log_of(matches) {
        Some(log) => next(log),
        None => Next::Say(
            "write --log, --fleet and --root-key\n".to_owned(),
            EXIT_USAGE,
        ),
    }
}

fn diff(matches: &ArgMatches) -> Next {
    let (old, new) = (side_of(matches, "old"), side_of(matches, "new"));
    let log = log_of(matches);
    let needs = |side: &Side| matches!(side, Side::Version(_));
    if log.is_none() && (needs(&old) || needs(&new)) {
        let text = "a version is read from the log; write --log, --fleet and --root-key\n";
        return Next::Say(text.to_owned(), EXIT_USAGE);
    }
    Next::Diff { old, new, log }
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
            patience: Duration::from_secs(u64::from(seconds)),
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
