use super::flags::command;
use super::{Command, Side, parse};

const KEY: &str = "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=";

fn args(line: &str) -> Command {
    parse(line.split_whitespace().map(Into::into))
}

fn said(line: &str) -> (String, u8) {
    match args(line) {
        Command::Print(text, code) => (text, code),
        other => panic!("{line} gave {other:?}"),
    }
}

#[test]
fn every_flag_is_well_defined() {
    command().debug_assert();
}

#[test]
fn a_roll_names_its_bundle_its_log_and_its_signer() {
    let line = format!(
        "godwitpost-bundle roll b.yaml --operator asahikawa --key k --log 127.0.0.1:1 \
         --fleet kitakaze --root-key {KEY} --root-key {KEY} --patience 3"
    );
    let Command::Roll { log, signer, .. } = args(&line) else {
        panic!("{line}")
    };
    assert_eq!(log.settings.fleet, "kitakaze");
    assert_eq!(log.settings.roots.len(), 2);
    assert_eq!(log.settings.roll_timeout.as_secs(), 3);
    assert_eq!(signer.operator, "asahikawa");
}

#[test]
fn a_signed_record_needs_no_key() {
    let rest = format!("--log 127.0.0.1:1 --fleet kitakaze --root-key {KEY}");
    let line = format!("godwitpost-bundle roll --signed r {rest}");
    assert!(matches!(args(&line), Command::RollSigned { .. }));
    let both = format!("godwitpost-bundle roll b.yaml --signed r {rest}");
    assert_eq!(said(&both).1, 2);
    let neither = format!("godwitpost-bundle roll b.yaml {rest}");
    assert!(said(&neither).0.contains("--operator"));
}

#[test]
fn a_side_is_a_version_or_a_file() {
    let rest = format!("--log 127.0.0.1:1 --fleet kitakaze --root-key {KEY}");
    let Command::Diff { old, new, .. } = args(&format!("godwitpost-bundle diff 3 b.yaml {rest}"))
    else {
        panic!("it is a diff")
    };
    assert_eq!((old, new), (Side::Version(3), Side::File("b.yaml".into())));
    let text = said("godwitpost-bundle diff 3 b.yaml").0;
    assert!(text.contains("--log"), "{text}");
}

#[test]
fn a_wrong_line_says_what_is_missing() {
    let (text, code) = said("godwitpost-bundle show --log here");
    assert_eq!(code, 2);
    assert!(text.contains("invalid value 'here' for '--log"), "{text}");
    assert_eq!(said("godwitpost-bundle roll --help").1, 0);
}
