//! Definition and parsing of the command line.

mod flag;
mod flags;

#[cfg(test)]
mod tests;

use std::ffi::OsString;
use std::net::SocketAddr;

use clap::{Arg, ArgMatches, value_parser};
use godwitpost_standin::{engine, list, log, plain, weights};

/// A stand-in to run, with every default filled in.
#[derive(Debug)]
pub(crate) struct Command {
    /// The address to listen on.
    pub(crate) listen: SocketAddr,
    /// The stand-in with its settings and faults.
    pub(crate) standin: Standin,
}

/// A stand-in with its settings and faults.
#[derive(Debug, PartialEq)]
pub(crate) enum Standin {
    Log(log::Faults),
    List(list::Faults),
    Engine(engine::Settings, engine::Faults),
    Service(plain::Faults),
    Weights(weights::Faults),
}

const ABOUT: &str = "Stand-ins for the platform and the endpoints of a godwitpost fleet.";
const AFTER_HELP: &str = "\
Faults can be changed while it runs: GET /faults shows them as JSON, and
PUT /faults replaces them all; what the JSON leaves out gets its default.

Durations are written as 250ms, 2s, 5m or 1h; probabilities lie from 0 to 1.
Exit codes: 0 after SIGINT or SIGTERM, 1 if it can't start, 2 for a wrong
command line.";

/// Parses the process's command line; ends the process if it is wrong.
pub(crate) fn parse() -> Command {
    try_parse(std::env::args_os()).unwrap_or_else(|error| error.exit())
}

fn try_parse<T>(arguments: impl IntoIterator<Item = T>) -> Result<Command, clap::Error>
where
    T: Into<OsString> + Clone,
{
    let matches = command().try_get_matches_from(arguments)?;
    let (name, matches) = matches
        .subcommand()
        .expect("a subcommand is required by the definition");
    let listen = matches.get_one::<SocketAddr>("listen");
    Ok(Command {
        listen: *listen.expect("the flag has a default"),
        standin: standin(name, matches),
    })
}

fn standin(name: &str, matches: &ArgMatches) -> Standin {
    match name {
        "log" => Standin::Log(flag::resolve(flags::LOG, matches)),
        "list" => Standin::List(flag::resolve(flags::LIST, matches)),
        "engine" => Standin::Engine(
            flag::resolve(flags::engine::SETTINGS, matches),
            flag::resolve(flags::engine::FAULTS, matches),
        ),
        "service" => Standin::Service(flag::resolve(flags::SERVICE, matches)),
        "weights" => Standin::Weights(flag::resolve(flags::WEIGHTS, matches)),
        other => unreachable!("{other} is no subcommand"),
    }
}

fn command() -> clap::Command {
    clap::Command::new("godwitpost-standin")
        .about(ABOUT)
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(subcommand("log", "The append-only log service").args(flag::args(flags::LOG)))
        .subcommand(subcommand("list", "The list of instances").args(flag::args(flags::LIST)))
        .subcommand(
            subcommand("engine", "A model engine")
                .args(flag::args(flags::engine::SETTINGS))
                .args(flag::args(flags::engine::FAULTS)),
        )
        .subcommand(subcommand("service", "A plain service").args(flag::args(flags::SERVICE)))
        .subcommand(subcommand("weights", "The weight store").args(flag::args(flags::WEIGHTS)))
}

fn subcommand(name: &'static str, about: &'static str) -> clap::Command {
    clap::Command::new(name)
        .about(about)
        .after_help(AFTER_HELP)
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDRESS")
                .help("IP address and port to listen on; port 0 takes a free one")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:0"),
        )
}
