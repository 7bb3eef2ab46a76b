use std::time::Duration;

use super::{read, write};
use crate::schema::Kind;

/// A bundle with every section.
pub(crate) const FULL_BUNDLE: &str = r#"
fleet: kitakaze
version: 2
claim_window: 10m
operators:
  asahikawa: { key: "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=" }
classes:
  order: { priority: 0, weight: 1, deadline: 5s, queue: true }
  draft: { priority: 2, deadline: 60s }
services:
  drafting: { kind: engine, load_bound: 1.5, reuse: 0.8, slots: 16, checks_fencing: true }
  ordering: { kind: plain, slots: 64 }
models:
  route-writer: { service: drafting, weights: "7", replicas: 10, answer_tokens: 256 }
workspaces:
  otaru: { weight: 2, rate: 50, concurrency: 40, services: [drafting, ordering] }
routes:
  - { path: /v1/chat/completions, methods: [POST], service: drafting, class: draft }
  - { path: /orders, methods: [POST], service: ordering, class: order, unrepeatable: true }
"#;

fn mistakes(yaml: &str) -> String {
    read(yaml).expect_err("the bundle has mistakes").to_string()
}

#[test]
fn defaults_are_filled_in() {
    let bundle = read(FULL_BUNDLE).expect("it is right");
    assert_eq!(bundle.version, 2);
    assert_eq!(bundle.fleet.claim_window, Duration::from_mins(10));
    assert!(bundle.classes["draft"].queue);
    let ordering = &bundle.services["ordering"];
    assert_eq!(ordering.kind, Kind::Plain);
    assert!((ordering.load_bound - 2.0).abs() < f64::EPSILON);
    assert!(bundle.routes[1].unrepeatable);
}

// Without this, an operator would fix one mistake, run the check and see the
// next, ten times over. All mistakes of form must be reported at once, with
// their lines.
#[test]
fn all_mistakes_of_form_are_reported_at_once() {
    let yaml = FULL_BUNDLE
        .replace("rate: 50", "rate: fast")
        .replace("slots: 64", "slots: 0, colour: red")
        .replace("deadline: 60s", "deadline: 60")
        .replace("weights: \"7\"", "weights: 7")
        .replace("class: draft }", "class: draft, retries: 3 }");
    assert_eq!(
        mistakes(&yaml),
        "line 9: classes.draft.deadline: is 60; \
         write a duration above zero such as 500ms, 5s, 15m or 1h\n\
         line 12: services.ordering.colour: is not a known key; \
         remove it; known here: kind, load_bound, reuse, slots, checks_fencing\n\
         line 12: services.ordering.slots: is 0; write a whole number from 1 to 65536\n\
         line 14: models.route-writer.weights: is 7; write the version as a quoted string\n\
         line 16: workspaces.otaru.rate: is \"fast\"; write a number from 0.001 to 1000000000\n\
         line 18: routes[0].retries: is not a known key; \
         remove it; known here: path, methods, service, class, unrepeatable"
    );
}

#[test]
fn all_broken_references_are_reported_at_once() {
    let yaml = FULL_BUNDLE
        .replace("[drafting, ordering]", "[drafting, booking]")
        .replace("class: order,", "class: orders,")
        .replace("service: drafting, weights", "service: ordering, weights");
    assert_eq!(
        mistakes(&yaml),
        "line 14: models.route-writer.service: ordering is a plain service, \
         which loads no models; name a service of kind engine\n\
         line 16: workspaces.otaru.services: names the unknown service \"booking\"; \
         add the service or correct the name\n\
         line 19: routes[1].class: names the unknown class \"orders\"; \
         add the class or correct the name"
    );
}

#[test]
fn ill_formed_yaml_names_its_line() {
    let text = mistakes("fleet: kitakaze\nversion: [1\n");
    assert!(text.starts_with("line "), "{text}");
    let text = mistakes("fleet: a\nfleet: b\n");
    assert!(text.contains("line 2"), "{text}");
}

#[test]
fn a_missing_key_is_reported() {
    let text = mistakes("fleet: kitakaze\n");
    assert!(text.contains("version: is missing"), "{text}");
}

// The YAML library limits the size of hostile documents. These limits must not
// reject an operator's own file at the size expected in two years.
#[test]
fn a_bundle_of_8900_workspaces_is_read() {
    use std::fmt::Write;
    let mut workspaces = String::from("workspaces:\n");
    for index in 0..8_900 {
        writeln!(
            workspaces,
            "  w{index}: {{ weight: 2, rate: 50, concurrency: 40, services: [drafting, ordering] }}"
        )
        .expect("a string takes all");
    }
    let bundle = read(&FULL_BUNDLE.replace("workspaces:\n", &workspaces)).expect("it is right");
    assert_eq!(bundle.workspaces.len(), 8_901);
}

#[test]
fn written_yaml_parses_to_the_same_bundle() {
    let mut bundle = read(FULL_BUNDLE).expect("it is right");
    let draft = bundle.classes.get_mut("draft").expect("it is there");
    draft.deadline = Duration::from_millis(1_500);
    assert_eq!(read(&write(&bundle)), Ok(bundle));
}
