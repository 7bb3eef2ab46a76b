use std::ffi::OsString;

use super::{Action, EXIT_DONE, EXIT_USAGE, parse};

fn run(args: &[&str]) -> Action {
    let program = ["godwitpost-router"];
    parse(program.iter().chain(args).map(OsString::from))
}

#[test]
fn settings_alone_run_the_router() {
    assert_eq!(run(&["--settings", "a.yaml"]), Action::Run("a.yaml".into()));
}

#[test]
fn check_and_print_do_not_run_the_router() {
    let check = run(&["--check", "--settings", "a.yaml"]);
    assert_eq!(check, Action::Check("a.yaml".into()));
    let print = run(&["--print-settings", "--settings", "a.yaml"]);
    assert_eq!(print, Action::PrintSettings("a.yaml".into()));
}

#[test]
fn help_documents_each_exit_code() {
    let Action::PrintText(text, EXIT_DONE) = run(&["--help"]) else {
        panic!("help is no error");
    };
    for code in 0..=4 {
        assert!(text.contains(&format!("\n  {code}  ")), "{code} in {text}");
    }
}

#[test]
fn wrong_command_line_is_reported_with_the_usage() {
    for args in [
        &["--settings"][..],
        &[],
        &["--setting", "a"],
        &["--check", "--print-settings"],
    ] {
        assert!(
            matches!(run(args), Action::PrintText(text, EXIT_USAGE) if text.contains("--settings"))
        );
    }
}
