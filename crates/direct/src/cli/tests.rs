use std::ffi::OsString;
use std::path::PathBuf;

use super::{Action, EXIT_DONE, EXIT_USAGE, parse};

fn next(args: &[&str], from_environment: Option<&str>) -> Action {
    let args = std::iter::once("instance").chain(args.iter().copied());
    parse(
        "instance",
        args.map(OsString::from),
        from_environment.map(PathBuf::from),
    )
}

#[test]
fn the_flag_goes_before_the_environment() {
    assert_eq!(
        next(&["--settings", "a.yaml"], Some("b.yaml")),
        Action::Run("a.yaml".into())
    );
    assert_eq!(
        next(&["--check"], Some("b.yaml")),
        Action::Check("b.yaml".into())
    );
}

#[test]
fn without_settings_the_remedy_is_told() {
    let Action::Print(text, code) = next(&[], None) else {
        panic!("a text was expected");
    };
    assert_eq!(code, EXIT_USAGE);
    assert!(text.contains("--settings"), "{text}");
}

#[test]
fn help_tells_the_settings() {
    let Action::Print(text, code) = next(&["--help"], None) else {
        panic!("a text was expected");
    };
    assert_eq!(code, EXIT_DONE);
    assert!(text.contains("revocation"), "{text}");
}
