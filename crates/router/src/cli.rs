//! The command line: definitions of the flags and the resulting action.

use std::ffi::OsString;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// The action that the command line requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run the router with these settings.
    Run(PathBuf),
    /// Check these settings and exit.
    Check(PathBuf),
    /// Print these settings with all defaults and exit.
    PrintSettings(PathBuf),
    /// Print this text and exit with this code.
    PrintText(String, u8),
}

/// Exit code after a graceful shutdown, or a check without mistakes.
pub const EXIT_DONE: u8 = 0;
/// Exit code when the router can't start, for example because a port is in use.
pub const EXIT_START: u8 = 1;
/// Exit code for a wrong command line or settings with mistakes.
pub const EXIT_USAGE: u8 = 2;
/// Exit code when the drain limit passed with requests in flight.
pub const EXIT_DRAIN_TIMEOUT: u8 = 3;
/// Exit code when a second signal cut the graceful shutdown short.
pub const EXIT_ABORTED: u8 = 4;

const ABOUT: &str = "Routes requests of many workspaces to model engines and plain services";

const LONG_ABOUT: &str = "\
Routes requests of many workspaces to model engines and plain services.

A router is one instance of a fleet. It takes requests from callers behind a
balancer, places each on an endpoint, and relays the answer. Which workspaces,
services and models exist is said by the fleet's signed bundle, which operators
roll with `godwitpost-bundle`; the settings say only where this instance is and
whom it talks to.

SIGTERM or SIGINT begins a graceful shutdown: /readyz fails, keep-alive
connections are told to close, requests in flight are finished, then the process
ends. A second signal ends it at once.";

const AFTER: &str = "\
Exit codes:
  0  ended by a graceful shutdown; or --check found no mistake
  1  could not start: a port is taken, or a file can't be read
  2  wrong command line, or settings with mistakes (all are listed)
  3  the drain limit passed with requests still in flight; they were cut
  4  a second signal ended the graceful shutdown early

Settings (YAML):
  name: otaru-1                    # as on the platform's list
  zone: otaru                      # availability zone
  region: hokkaido
  fleet: north                     # must equal the bundle's
  listen:
    callers: 10.0.0.5:8080
    peers: 10.0.0.5:8081
    operators: 10.0.0.5:8082
  platform:
    log: 10.0.1.1:7001
    list: 10.0.1.2:7002
    weights: 10.0.1.3:7003         # optional
    retention: 1h                  # how long the log keeps records
  root_keys: [<base64 Ed25519>]    # may sign the first bundle
  fleet_key_file: /run/fleet.key   # or fleet_key: <32 bytes in base64>
  limits: { head_bytes: 16384, body_bytes: 4194304, streams: 4096 }
  balancer_lag: 5s                 # callers still come for so long
  drain: 90s                       # longest graceful shutdown
  log_level: info
  threads: 2                       # that carry traffic";

/// Parses a command line.
#[must_use]
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Action {
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => {
            let code = if error.use_stderr() {
                EXIT_USAGE
            } else {
                EXIT_DONE
            };
            return Action::PrintText(error.render().to_string(), code);
        }
    };
    let settings = matches
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default();
    if matches.get_flag("check") {
        Action::Check(settings)
    } else if matches.get_flag("print") {
        Action::PrintSettings(settings)
    } else {
        Action::Run(settings)
    }
}

fn command() -> Command {
    Command::new("godwitpost-router")
        .version(env!("CARGO_PKG_VERSION"))
        .about(ABOUT)
        .long_about(LONG_ABOUT)
        .after_long_help(AFTER)
        .arg(settings())
        .arg(check())
        .arg(print())
}

fn settings() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("Reads the settings from this YAML file")
}

fn check() -> Arg {
    Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .conflicts_with("print")
        .help("Checks the settings, lists every mistake, and ends")
}

fn print() -> Arg {
    Arg::new("print")
        .long("print-settings")
        .action(ArgAction::SetTrue)
        .help("Prints the settings with all defaults, secrets hidden, and ends")
}

#[cfg(test)]
mod tests;
