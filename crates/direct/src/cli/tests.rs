use std::ffi::OsString;
use std::path::PathBuf;

use super::{Action, EXIT_DONE, EXIT_USAGE, parse};

fn action(args: &[&str], from_environment: Option<&str>) -> Action {
    let args = std::iter::once("instance").chain(args.iter().copied());
    parse(
        "instance",
        args.map(OsString::from),
        from_environment.map(PathBuf::from),
    )
}

#[test]
fn the_flag_overrides_the_environment() {
    assert_eq!(
        action(&["--settings", "a.yaml"], Some("b.yaml")),
        Action::Run("a.yaml".into())
    );
    assert_eq!(
        action(&["--check"], Some("b.yaml")),
        Action::Check("b.yaml".into())
    );
}

#[test]
fn missing_settings_are_reported_with_a_remedy() {
    let Action::Print(text, code) = action(&[], None) else {
        panic!("a text was expected");
    };
    assert_eq!(code, EXIT_USAGE);
    assert!(text.contains("--settings"), "{text}");
}

#[test]
fn help_lists_the_settings() {
    let Action::Print(text, code) = action(&["--help"], None) else {
        panic!("a text was expected");
    };
    assert_eq!(code, EXIT_DONE);
    assert!(text.contains("revocation"), "{text}");
}
