use proptest::prelude::{any, proptest};

use super::{Line, Logs, missing};

const ONE: &str = "\
2026-12-03T10:00:00.000Z [INFO] godwitpost_direct::control: version in force version=7 before=6
2026-12-03T10:00:05.000Z [WARN] godwitpost_direct::control::follow: log lost topic=policies cause=\"refused with status 503; it may be down\"
2026-12-03T10:00:06.000Z [INFO] godwitpost_direct::relay::send: request sent request=a1 endpoint=e1 choice=home version=7
2026-12-03T10:00:06.100Z [INFO] godwitpost_direct::relay::job: request answered request=b1 endpoint=e1 status=200
2026-12-03T10:00:06.400Z [WARN] godwitpost_direct::relay::send: not answered request=a1 endpoint=e1 error=\"fate unknown: \\\"x\\\"\"
2026-12-03T10:00:06.401Z [WARN] godwitpost_direct::relay::job: request refused request=a1 reason=broken status=502
2026-12-03T10:00:07.000Z [INFO] godwitpost_direct::control: endpoint gone endpoint=e1
2026-12-03T10:00:07.500Z [INFO] godwitpost_direct::control: endpoint gone endpoint=e2
2026-12-03T10:00:20.000Z [INFO] godwitpost_direct::control: endpoint gone endpoint=e9
";

#[test]
fn a_line_is_taken_apart_to_its_last_quoted_field() {
    let line = ONE.lines().nth(4).expect("five lines");
    let line = Line::parse(line).expect("a log line");
    assert_eq!(line.message, "not answered");
    assert_eq!(line.level, "WARN");
    assert_eq!(line.field("endpoint"), Some("e1"));
    assert_eq!(line.field("error"), Some("fate unknown: \"x\""));
    assert_eq!(line.instance, None);
}

#[test]
fn a_collectors_line_names_its_instance() {
    let line = Line::parse("21.6076 edge-1 [INFO] stopping name=edge-1").expect("a log line");
    assert!((line.at - 21.6076).abs() < 1e-9);
    assert_eq!(line.instance.as_deref(), Some("edge-1"));
}

/// A request failed with 502. Its story must have its own lines in order, the
/// connection that its instance lost shortly before, and the result of the other
/// request at that endpoint. Much later lines and those of other requests are
/// left out.
#[test]
fn a_story_has_the_lines_of_the_request_and_of_its_endpoint() {
    let mut logs = Logs::default();
    logs.read("one", ONE);
    let text = logs.story("a1").expect("lines of a1").to_string();
    let order = [
        "log lost",
        "request sent",
        "not answered",
        "request refused",
    ];
    let found: Vec<_> = order.iter().map(|part| text.find(part)).collect();
    assert!(
        found.iter().all(Option::is_some) && found.is_sorted(),
        "{text}"
    );
    assert!(text.contains("> "), "{text}");
    assert!(
        text.contains("at e1 in that time: 1 answered, 0 not answered"),
        "{text}"
    );
    assert!(text.contains("endpoint gone endpoint=e1"), "{text}");
    assert!(!text.contains("endpoint=e2"), "{text}");
    assert!(text.contains("1 line about other"), "{text}");
    assert!(
        !text.contains("e9") && !text.contains("request=b1"),
        "{text}"
    );
}

/// A request passed through two instances, and the second's clock is a minute
/// ahead. By the logged times the first responded before the second was asked.
/// Both logged versions 7 and 8 as in force, so the second's lines must be moved
/// a minute earlier and sorted correctly.
#[test]
fn clocks_that_differ_are_aligned() {
    let one = "\
10.0 [INFO] version in force version=7
12.0 [INFO] version in force version=8
20.0 [INFO] request sent request=a1 endpoint=two
20.3 [INFO] request answered request=a1 status=200
";
    let two = "\
70.2 [INFO] version in force version=7
72.1 [INFO] version in force version=8
80.2 [INFO] request sent request=a1 endpoint=e1
";
    let mut logs = Logs::default();
    logs.read("one", one);
    logs.read("two", two);
    let text = logs.story("a1").expect("lines of a1").to_string();
    assert!(text.contains("two (its clock is +60.2 s off)"), "{text}");
    assert!(
        text.contains(">    +0.000 INFO  request sent request=a1 endpoint=e1"),
        "{text}"
    );
    let late = |line: &str| line.starts_with('>') && line.contains("+60");
    assert!(!text.lines().any(late), "{text}");
}

#[test]
fn an_unknown_id_is_told_with_what_was_searched() {
    let mut logs = Logs::default();
    logs.read("one", ONE);
    logs.read("one", "no log line\n");
    assert!(logs.story("zz").is_none());
    let text = missing("zz", &logs);
    assert!(text.contains("one: 9 lines over 20.0 s"), "{text}");
}

proptest! {
    #[test]
    fn no_line_however_cut_stops_a_story(text in any::<String>(), cut in 0..400_usize) {
        let mut logs = Logs::default();
        logs.read("one", &text);
        logs.read("one", ONE.get(..cut).unwrap_or(ONE));
        drop(logs.story("a1"));
    }
}
