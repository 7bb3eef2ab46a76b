//! Prints the capacity page, or writes it to a file.

use std::alloc::System;
use std::process::ExitCode;

use cap::Cap;
use clap::{Arg, ArgAction, Command};
use godwitpost_bench::figure::Figure;
use godwitpost_capacity::live::{control, relay};
use godwitpost_capacity::page::{self, Sum};
use godwitpost_capacity::role;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// The command that writes the page, as the page names it.
const HOW: &str = "cargo run --release --locked --bin godwitpost-capacity -- --live --write docs/CAPACITY-router.md";

/// The sums are above the letter's budgets.
const OVER: u8 = 1;
/// The page could not be written.
const UNWRITTEN: u8 = 2;

fn command() -> Command {
    Command::new("godwitpost-capacity")
        .about("Measures slopes and gives each role's cost at the letter's size")
        .after_help(
            "Exit codes:\n  0  the control sums keep the letter's budgets\n  \
             1  a sum or a running figure is above its bound\n  2  the page could not be written",
        )
        .arg(
            Arg::new("live")
                .long("live")
                .action(ArgAction::SetTrue)
                .help("Also measures routers that run; takes about a minute and a half"),
        )
        .arg(
            Arg::new("write")
                .long("write")
                .value_name("FILE")
                .help("Writes the page to this file, not to standard output"),
        )
}

fn live() -> Vec<Figure> {
    let sizes = control::SIZES.into_iter();
    let control = sizes.flat_map(|(instances, endpoints)| control::figures(instances, endpoints));
    control.chain(relay::figures()).collect()
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let measures = role::all(|| ALLOCATOR.allocated());
    let live = if matches.get_flag("live") {
        live()
    } else {
        Vec::new()
    };
    let page = page::render(&measures, &live, HOW);
    match matches.get_one::<String>("write") {
        None => print!("{page}"),
        Some(file) => {
            if let Err(error) = std::fs::write(file, page) {
                eprintln!("can't write {file}: {error}; name a file in a folder that exists");
                return ExitCode::from(UNWRITTEN);
            }
        }
    }
    if Sum::of(&measures).holds() && live.iter().all(Figure::holds) {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(OVER)
    }
}
