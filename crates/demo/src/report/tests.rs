use std::time::Duration;

use godwitpost_types::outcome::Outcome;

use super::{Counts, Report, Share, Skew};

fn report() -> Report {
    let control = [("peers".to_owned(), 800.0), ("probes".to_owned(), 12.4)];
    let mut report = Report {
        fleet: "kitakaze".into(),
        cache: Share {
            part: 75,
            whole: 100,
        },
        skew: Skew {
            overall: 1.2,
            worst: 1.5,
        },
        control: [("otaru-router-1".to_owned(), control.into())].into(),
        rolls: vec![Duration::from_millis(40)],
        ..Report::default()
    };
    for millis in [10, 20] {
        report.count("draft", Some(Outcome::Ran), true);
        let last = Duration::from_millis(10 * millis);
        report.time("draft", Duration::from_millis(millis), last);
    }
    report
}

/// A stream that broke had *ran* in its head; counting it there would show a
/// whole answer where the editor saw half of one.
#[test]
fn a_broken_answer_counts_as_broken() {
    let mut report = report();
    report.count("draft", Some(Outcome::Ran), false);
    report.count("draft", None, true);
    let counts = Counts {
        ran: 2,
        broken: 2,
        ..Counts::default()
    };
    assert_eq!(report.calls["draft"], counts);
}

/// The histogram keeps three digits, so 200 ms shows as the top of its bucket.
#[test]
fn the_table_shows_every_figure() {
    let text = report().to_string();
    let wanted = [
        "    draft           2        0        0        0",
        "    draft, first byte         10.0     20.0     20.0     20.0",
        "    draft, last byte         100.0    200.1    200.1    200.1",
        "  cache reuse   75.0 % of 100 prompt tokens",
        "  skew          1.20 x mean over the run, 1.50 at the worst instant",
        "    otaru-router-1             812 = peers 800 probes 12",
        "  roll          version 1 in force everywhere in 40 ms",
    ];
    for line in wanted {
        assert!(
            text.lines().any(|found| found == line),
            "no {line:?} in:\n{text}"
        );
    }
}
