use std::ffi::OsString;
use std::path::PathBuf;

use super::{EXIT_KEPT, EXIT_USAGE, Fault, Next, Options, REQUESTS, SEED, command, parse};

fn run(args: &[&str]) -> Next {
    let args = ["godwitpost-demo"].iter().chain(args);
    parse(args.map(OsString::from))
}

#[test]
fn definitions_are_consistent() {
    command().debug_assert();
}

#[test]
fn defaults_are_resolved() {
    let options = Options {
        seed: SEED,
        requests: REQUESTS,
        faults: [].into(),
        hold: false,
        history: None,
    };
    assert_eq!(run(&[]), Next::Run(options));
}

#[test]
fn all_flags_are_read() {
    let args = [
        "--seed",
        "7",
        "--requests",
        "50",
        "--faults",
        "poison,log-down",
    ];
    let more = ["--hold", "--history", "/tmp/h.jsonl"];
    let options = Options {
        seed: 7,
        requests: 50,
        faults: [Fault::LogDown, Fault::Poison].into(),
        hold: true,
        history: Some(PathBuf::from("/tmp/h.jsonl")),
    };
    assert_eq!(run(&[&args[..], &more].concat()), Next::Run(options));
}

#[test]
fn all_stands_for_every_fault() {
    let Next::Run(options) = run(&["--faults", "all"]) else {
        panic!("--faults all is a right command line");
    };
    assert_eq!(options.faults, Fault::ALL.into());
}

#[test]
fn mistakes_name_the_way_out() {
    let Next::Say(text, code) = run(&["--faults", "fire"]) else {
        panic!("there is no such fault");
    };
    assert_eq!(code, EXIT_USAGE);
    assert!(
        text.contains("possible values: log-down, log-slow, lost-answers, poison, flapping, all")
    );
    assert!(matches!(
        run(&["--requests", "0"]),
        Next::Say(_, EXIT_USAGE)
    ));
    assert!(matches!(run(&["--help"]), Next::Say(_, EXIT_KEPT)));
}
