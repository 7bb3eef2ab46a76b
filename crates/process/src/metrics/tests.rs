use std::time::Duration;

use godwitpost_types::outcome::Outcome;

use super::{MAX_LABELLED_WORKSPACES, Metrics};

// With 8,900 workspaces, one label set each would exceed the memory limit.
#[test]
fn workspaces_beyond_the_limit_share_a_label() {
    let metrics = Metrics::new("otaru-1");
    for n in 0..MAX_LABELLED_WORKSPACES + 5 {
        let labels = metrics.labels(&format!("w{n}"), "draft");
        metrics.record_response_head(&labels, Outcome::Ran, 200, Duration::from_millis(3));
    }
    let text = metrics.text();
    let last = format!("workspace=\"w{}\"", MAX_LABELLED_WORKSPACES - 1);
    assert!(text.contains(&last), "{text}");
    assert!(!text.contains(&format!("workspace=\"w{MAX_LABELLED_WORKSPACES}\"")));
    let others = text
        .lines()
        .find(|line| line.starts_with("godwitpost_requests_total") && line.contains("(others)"));
    assert!(others.is_some_and(|line| line.ends_with(" 5")), "{text}");
}

#[test]
fn latencies_are_histograms_of_workspace_and_class() {
    let metrics = Metrics::new("otaru-1");
    let labels = metrics.labels("otaru", "order");
    metrics.record_response_head(&labels, Outcome::Ran, 200, Duration::from_millis(700));
    let text = metrics.text();
    let bucket = |le: &str| {
        let line = text.lines().find(|line| {
            line.starts_with("godwitpost_first_byte_seconds_bucket")
                && line.contains("workspace=\"otaru\"")
                && line.contains("class=\"order\"")
                && line.contains(&format!("le=\"{le}\""))
        });
        line.unwrap_or_else(|| panic!("no bucket {le} in {text}"))
            .ends_with(" 1")
    };
    assert!(!bucket("0.4"));
    assert!(bucket("0.8"));
}

// The value is read when metrics are exported. An instrument without its reader would
// report nothing, and the router would look idle.
#[test]
fn requests_in_flight_show_the_current_value() {
    let metrics = Metrics::new("otaru-1");
    let shown = || {
        let text = metrics.text();
        let line = text
            .lines()
            .find(|line| line.starts_with("godwitpost_in_flight"))
            .unwrap_or_else(|| panic!("not shown in {text}"));
        line.rsplit(' ').next().map(str::to_owned)
    };
    metrics.in_flight(1);
    metrics.in_flight(1);
    assert_eq!(shown().as_deref(), Some("2"));
    metrics.in_flight(-1);
    assert_eq!(shown().as_deref(), Some("1"));
}
