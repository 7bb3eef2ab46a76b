use std::time::Duration;

use super::{DEFAULT_DURATION_SECONDS, DurationStats, ReportHistory, WeightedMean, mean_duration};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn near(value: f64, expected: f64) -> bool {
    (value - expected).abs() < 0.05
}

#[test]
fn the_mean_outlasts_a_report() {
    let mut reports = ReportHistory::default();
    for second in 0..20 {
        reports.add(6, at(1_000 * second));
    }
    reports.add(0, at(19_500));
    // Right after a report the estimate equals it, soon after it is near the endpoint's
    // mean, and in the end near the service's mean.
    assert!(near(reports.estimate(2.0, 0.06, at(19_500)).others, 0.0));
    let shortly_after = reports.estimate(2.0, 0.06, at(20_000)).others;
    assert!((4.0..6.0).contains(&shortly_after), "{shortly_after}");
    assert!(near(reports.estimate(2.0, 0.06, at(90_000)).others, 2.0));
}

/// A hundred responses come from an endpoint within a tenth of a second, all while it
/// processes the same long prompt. They must not count as a hundred separate reports of a
/// busy endpoint.
#[test]
fn reports_at_the_same_time_count_as_one() {
    let decayed_mean = |count: u64| {
        let mut reports = ReportHistory::default();
        reports.add(2, at(0));
        for n in 0..count {
            reports.add(9, at(5_000 + n));
        }
        reports.decayed_mean(at(5_100)).mean()
    };
    assert!(
        decayed_mean(100) - decayed_mean(1) < 0.6,
        "{} {}",
        decayed_mean(1),
        decayed_mean(100)
    );
}

#[test]
fn an_endpoint_without_reports_gets_the_mean() {
    let estimate = ReportHistory::default().estimate(4.0, DEFAULT_DURATION_SECONDS, at(1_000));
    assert!(near(estimate.others, 4.0) && near(estimate.std_dev, 2.0));
    assert!(near(estimate.known, 0.0));
    assert!(near(WeightedMean::default().mean(), 0.0));
}

#[test]
fn long_requests_weigh_more_in_the_mean_duration() {
    assert!(near(
        mean_duration(std::iter::empty()),
        DEFAULT_DURATION_SECONDS
    ));
    let mut durations = DurationStats::default();
    for _ in 0..50 {
        durations.add(at(100));
        durations.add(at(1_900));
    }
    // Nineteen of twenty requests that are running at a moment are long.
    let mean_duration = mean_duration([durations].into_iter());
    assert!((1.7..1.9).contains(&mean_duration), "{mean_duration}");
}
