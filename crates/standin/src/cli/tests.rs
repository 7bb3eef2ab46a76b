use std::time::Duration;

use godwitpost_standin::{engine, list, log, plain, weights};

use super::{Standin, try_parse};

fn parse(line: &str) -> Standin {
    let arguments = line.split_whitespace();
    let command = try_parse(["godwitpost-standin"].into_iter().chain(arguments));
    command.expect("a valid command line").standin
}

fn parse_error(line: &str) -> String {
    let arguments = line.split_whitespace();
    let command = try_parse(["godwitpost-standin"].into_iter().chain(arguments));
    command.expect_err("an invalid command line").to_string()
}

#[test]
fn definitions_are_consistent() {
    super::command().debug_assert();
}

#[test]
fn without_flags_everything_has_its_default() {
    assert_eq!(parse("log"), Standin::Log(log::Faults::default()));
    assert_eq!(parse("list"), Standin::List(list::Faults::default()));
    assert_eq!(parse("service"), Standin::Service(plain::Faults::default()));
    assert_eq!(
        parse("weights"),
        Standin::Weights(weights::Faults::default())
    );
    let engine = Standin::Engine(engine::Settings::default(), engine::Faults::default());
    assert_eq!(parse("engine"), engine);
}

#[test]
fn flags_set_their_own_field() {
    let line = "engine --model a@1 --model b@2 --slots 3 --slow 2s --cross 0.5 --leaving";
    let settings = engine::Settings {
        models: ["a@1".to_owned(), "b@2".to_owned()].into(),
        slots: 3,
        ..engine::Settings::default()
    };
    let faults = engine::Faults {
        slow: Duration::from_secs(2),
        cross: 0.5,
        leaving: true,
        ..engine::Faults::default()
    };
    assert_eq!(parse(line), Standin::Engine(settings, faults));
}

#[test]
fn invalid_value_is_reported_with_a_remedy() {
    let mistake = parse_error("log --slow 2");
    assert_eq!(
        mistake.lines().next(),
        Some(
            "error: invalid value '2' for '--slow <DURATION>': \
             write a duration such as 250ms, 2s, 5m or 1h"
        )
    );
}

// Every field of the faults can be set from the command line: the help of
// each subcommand has as many flags as the JSON of `/faults` has keys.
#[test]
fn every_fault_has_a_flag() {
    let keys = |json: serde_json::Value| json.as_object().expect("an object").len();
    let value = |result: Result<_, serde_json::Error>| keys(result.expect("plain data"));
    assert_eq!(
        super::flags::LOG.len(),
        value(serde_json::to_value(log::Faults::default()))
    );
    assert_eq!(
        super::flags::LIST.len(),
        value(serde_json::to_value(list::Faults::default()))
    );
    let service = serde_json::to_value(plain::Faults::default());
    assert_eq!(super::flags::SERVICE.len(), value(service));
    let weights = serde_json::to_value(weights::Faults::default());
    assert_eq!(super::flags::WEIGHTS.len(), value(weights));
    let engine = serde_json::to_value(engine::Faults::default());
    assert_eq!(super::flags::engine::FAULTS.len(), value(engine));
    let settings = serde_json::to_value(engine::Settings::default());
    assert_eq!(super::flags::engine::SETTINGS.len(), value(settings));
}
