//! The command line: one definition for each flag, and what they mean together.

use std::collections::BTreeSet;
use std::ffi::OsString;
use std::path::PathBuf;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

#[cfg(test)]
mod tests;

/// Exit code when every promise was kept, or after `--hold` was ended.
pub const EXIT_KEPT: u8 = 0;
/// Exit code when a promise was broken; each is printed with its events.
pub const EXIT_BROKEN: u8 = 1;
/// Exit code for a wrong command line.
pub const EXIT_USAGE: u8 = 2;
/// Exit code when the fleet did not come up, or the history file can't be
/// written.
pub const EXIT_START: u8 = 3;

/// The seed when none is given.
const SEED: u64 = 1;
/// The requests to each deployment when none are given: enough for a few
/// turns of each chat, few enough to end well within 30 s.
const REQUESTS: u64 = 600;
/// The most requests: the history is kept in memory at about a kilobyte each.
const MOST_REQUESTS: u64 = 100_000;

const ABOUT: &str = "Runs a whole fleet on loopback, loads it and judges what it did";

const LONG_ABOUT: &str = "\
Runs a whole fleet on loopback, loads it and judges what it did.

In one process it brings up, for each of two deployments, a log service, an
instance list, ten model engines, five back ends of a plain service and six
routers over four availability zones. It signs and rolls a bundle, sends
returning chats (streamed) and unrepeatable orders through all six routers,
rolls a second version mid-way, stops one router gracefully and kills another,
and ends with a table. Every caller, router and endpoint writes a history, which
a checker reads for each promise of the product.";

const AFTER: &str = "\
Exit codes:
  0  every promise was kept, or --hold was ended by a signal
  1  a promise was broken; each is printed with the events that show it
  2  wrong command line
  3  the fleet did not come up, or the history file can't be written

Faults:
  log-down       the log service refuses everything for a while
  log-slow       the log service takes half a second for each call
  lost-answers   appends to the log take effect and orders run, and their
                 answers are lost
  poison         a request that crashes each engine that runs it, sent again
                 and again by its caller
  flapping       an engine that leaves the list and comes back, over and over
  all            all of these";

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Run the demo.
    Run(Options),
    /// Print this text and end with this exit code.
    Say(String, u8),
}

/// How the demo runs, with every default resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Seeds chats, orders and who is stopped.
    pub seed: u64,
    /// Requests to each deployment.
    pub requests: u64,
    /// Faults that are switched on.
    pub faults: BTreeSet<Fault>,
    /// Whether the fleets stay up until a signal.
    pub hold: bool,
    /// Where the history goes.
    pub history: Option<PathBuf>,
}

/// A fault that the demo can switch on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The log service refuses everything for a while.
    LogDown,
    /// The log service is slow.
    LogSlow,
    /// Appends take effect and their answers are lost.
    LostAnswers,
    /// A request that crashes each engine that runs it.
    Poison,
    /// An engine that leaves and comes back.
    Flapping,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 5] = [
        Self::LogDown,
        Self::LogSlow,
        Self::LostAnswers,
        Self::Poison,
        Self::Flapping,
    ];

    /// Returns its name on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::LogDown => "log-down",
            Self::LogSlow => "log-slow",
            Self::LostAnswers => "lost-answers",
            Self::Poison => "poison",
            Self::Flapping => "flapping",
        }
    }
}

/// Reads a command line.
#[must_use]
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Next {
    match command().try_get_matches_from(args) {
        Ok(matches) => Next::Run(options(&matches)),
        Err(error) => {
            let code = if error.use_stderr() {
                EXIT_USAGE
            } else {
                EXIT_KEPT
            };
            Next::Say(error.render().to_string(), code)
        }
    }
}

fn options(matches: &ArgMatches) -> Options {
    let named: Vec<&String> = matches.get_many("faults").into_iter().flatten().collect();
    let wanted = |fault: &Fault| {
        named
            .iter()
            .any(|name| *name == fault.name() || *name == "all")
    };
    Options {
        seed: matches.get_one("seed").copied().unwrap_or(SEED),
        requests: matches.get_one("requests").copied().unwrap_or(REQUESTS),
        faults: Fault::ALL.into_iter().filter(wanted).collect(),
        hold: matches.get_flag("hold"),
        history: matches.get_one("history").cloned(),
    }
}

fn command() -> Command {
    Command::new("godwitpost-demo")
        .version(env!("CARGO_PKG_VERSION"))
        .about(ABOUT)
        .long_about(LONG_ABOUT)
        .after_long_help(AFTER)
        .arg(seed())
        .arg(requests())
        .arg(faults())
        .arg(hold())
        .arg(history())
}

fn seed() -> Arg {
    Arg::new("seed")
        .long("seed")
        .value_name("N")
        .value_parser(value_parser!(u64))
        .help("Seeds chats, orders and who is stopped [default: 1]")
}

fn requests() -> Arg {
    Arg::new("requests")
        .long("requests")
        .value_name("N")
        .value_parser(value_parser!(u64).range(1..=MOST_REQUESTS))
        .help("Sends about this many requests to each deployment [default: 600]")
}

fn faults() -> Arg {
    let names = Fault::ALL.into_iter().map(Fault::name).chain(["all"]);
    Arg::new("faults")
        .long("faults")
        .value_name("FAULT,...")
        .value_delimiter(',')
        .value_parser(PossibleValuesParser::new(names))
        .help("Switches faults on")
}

fn hold() -> Arg {
    Arg::new("hold")
        .long("hold")
        .action(ArgAction::SetTrue)
        .help("Leaves the fleets up, prints addresses and a curl line, until a signal")
}

fn history() -> Arg {
    Arg::new("history")
        .long("history")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Writes the history as JSON lines, one file for each deployment")
}
