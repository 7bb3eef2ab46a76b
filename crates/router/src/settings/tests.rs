use std::time::Duration;

use log::LevelFilter;

use super::{Error, Settings};

const KEY: &str = "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=";

fn text() -> String {
    format!(
        "name: otaru-1
zone: otaru
region: hokkaido
fleet: kitakaze
listen:
  callers: 127.0.0.1:8080
  peers: 127.0.0.1:8081
  operators: 127.0.0.1:8082
platform:
  log: 127.0.0.1:7001
  list: 127.0.0.1:7002
root_keys:
  - {KEY}
fleet_key: {KEY}
"
    )
}

fn mistakes(text: &str) -> Vec<String> {
    match Settings::parse(text) {
        Err(Error::Mistakes(mistakes)) => mistakes.iter().map(ToString::to_string).collect(),
        other => panic!("wanted mistakes, got {other:?}"),
    }
}

#[test]
fn defaults_are_filled_in() {
    let settings = Settings::parse(&text()).unwrap();
    assert_eq!(settings.log_level, LevelFilter::Info);
    assert_eq!(settings.drain, Duration::from_secs(90));
    assert_eq!(settings.limits, super::Limits::default());
}

// With one mistake reported at a time, an operator would have to restart the
// instance once for each, and it would stay out of the fleet meanwhile.
#[test]
fn all_mistakes_are_reported_with_line_key_and_remedy() {
    let text = text()
        .replace("name: otaru-1", "name: otaru 1")
        .replace("127.0.0.1:8081", "8081")
        .replace("fleet: kitakaze\n", "fleet: kitakaze\ncolour: red\n")
        .replace("  list: 127.0.0.1:7002\n", "");
    assert_eq!(
        mistakes(&text),
        [
            "line 1: `name` wants a name of letters, digits, `-`, `_` and `.`, such as otaru-1",
            "line 5: `colour` is unknown; the keys here are name, incarnation, zone, region, \
             fleet, listen, platform, root_keys, fleet_key, fleet_key_file, limits, \
             balancer_lag, drain, log_level, threads",
            "line 8: `listen.peers` wants an IP number and a port, such as 10.0.0.5:8080",
            "line 11: `platform.list` is missing; add it with an IP number and a port, such as \
             10.0.0.5:8080",
        ]
    );
}

#[test]
fn shared_port_is_a_mistake() {
    let text = text().replace("127.0.0.1:8081", "127.0.0.1:8080");
    assert_eq!(
        mistakes(&text),
        ["line 7: `listen.peers` is also that of callers; give each its own port"]
    );
}

#[test]
fn duplicate_key_is_refused() {
    let text = format!("{}zone: kushiro\n", text());
    assert!(matches!(Settings::parse(&text), Err(Error::Yaml(_))));
}

#[test]
fn secrets_are_never_printed() {
    let settings = Settings::parse(&text().replace(
        &format!("fleet_key: {KEY}"),
        "fleet_key: \
         //79/Pv6+fj39vX08/Lx8O/u7ezr6uno5+bl5OPi4eA=",
    ))
    .unwrap();
    assert!(!settings.print().contains("79/Pv6"));
    assert!(!format!("{settings:?}").contains("255, 254"));
}

// A mistake in the key's line must not put the key into the log.
#[test]
fn mistyped_secret_is_not_in_the_message() {
    let text = text().replace(&format!("fleet_key: {KEY}"), "fleet_key: hush-hush");
    assert!(!mistakes(&text).join("").contains("hush"));
    let text = format!("{text}\t: [");
    assert!(
        !Settings::parse(&text)
            .unwrap_err()
            .to_string()
            .contains("hush")
    );
}

#[test]
fn printed_settings_parse_to_the_same_settings() {
    let settings = Settings::parse(&text()).unwrap();
    let printed = settings.print().replace("hidden", KEY);
    assert_eq!(Settings::parse(&printed).unwrap(), settings);
}
