//! The definitions of commands and flags, with their help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

use crate::keyfile;

const ABOUT: &str = "Checks, signs and rolls the bundles of a router fleet";

const ANEW: &str = "\
Starts a fleet whose log has dropped all that leads to its bundle.

This happens if no instance ran for longer than the log keeps records. The
bundle's file may name any version; take one above the last that was in force.
It must be signed with a root key. Instances that still hold a bundle do not
follow: use it only when none does.";

const AFTER: &str = "\
Exit codes:
  0  done
  1  a file, the log or the list failed; nothing was rolled
  2  wrong command line, or a bundle with mistakes (all are listed)
  3  the bundle was refused or lost a race; nothing was rolled
  4  the fate of a roll is unknown; run the same command again, it counts once
  5  show: a live instance does not hold the bundle in force

A first roll:
  godwitpost-bundle keygen --out alice.key      # prints the public key
  godwitpost-bundle check fleet.yaml
  godwitpost-bundle roll fleet.yaml --operator alice --key alice.key \\
      --fleet north --log 10.0.1.1:7001 --root-key <public key>
  godwitpost-bundle show --fleet north --log 10.0.1.1:7001 \\
      --root-key <public key> --list 10.0.1.2:7002

A later change: take the bundle with `show --yaml`, change it, count its version
up by one, and roll it. Root keys are those in the routers' settings; they sign
the first version, and the operators that a bundle names sign the next.";

/// Returns the definition of the command line.
pub(super) fn command() -> Command {
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
        .subcommand(signing(
            Command::new("anew")
                .about("Starts a fleet whose log has dropped all that leads to its bundle")
                .long_about(ANEW)
                .arg(bundle().required(true)),
            true,
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
        .subcommand(
            Command::new("story")
                .about("Tells what instances' logs say of one request")
                .arg(request())
                .arg(file()),
        )
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

fn request() -> Arg {
    Arg::new("id")
        .value_name("ID")
        .required(true)
        .help("The id of the request, as its lines have it")
}

fn file() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .action(ArgAction::Append)
        .num_args(1..)
        .required(true)
        .help("A log of one instance, or of several that each line names")
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
