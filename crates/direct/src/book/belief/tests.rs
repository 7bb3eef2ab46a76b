use std::time::Duration;

use super::{DEFAULT_DURATION_SECONDS, DurationStats, ReportHistory, WeightedMean, mean_duration};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn near(value: f64, wanted: f64) -> bool {
    (value - wanted).abs() < 0.05
}

#[test]
fn what_is_usual_outlasts_a_report() {
    let mut reports = ReportHistory::default();
    for second in 0..20 {
        reports.add(6, at(1_000 * second));
    }
    reports.add(0, at(19_500));
    // At once it is the report, soon after what was usual, and in the end the mean.
    assert!(near(reports.estimate(2.0, 0.06, at(19_500)).others, 0.0));
    let soon = reports.estimate(2.0, 0.06, at(20_000)).others;
    assert!((4.0..6.0).contains(&soon), "{soon}");
    assert!(near(reports.estimate(2.0, 0.06, at(90_000)).others, 2.0));
}

/// A hundred answers come from an endpoint within a tenth of a second, all while the
/// same long prompt is read there. They are not a hundred reasons to think it slow.
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
fn of_an_endpoint_without_reports_nothing_is_known() {
    let estimate = ReportHistory::default().estimate(4.0, DEFAULT_DURATION_SECONDS, at(1_000));
    assert!(near(estimate.others, 4.0) && near(estimate.std_dev, 2.0));
    assert!(near(estimate.known, 0.0));
    assert!(near(WeightedMean::default().mean(), 0.0));
}

#[test]
fn long_requests_are_met_running_for_longer() {
    assert!(near(
        mean_duration(std::iter::empty()),
        DEFAULT_DURATION_SECONDS
    ));
    let mut durations = DurationStats::default();
    for _ in 0..50 {
        durations.add(at(100));
        durations.add(at(1_900));
    }
    // Of those met running nineteen of twenty are long.
    let mean_duration = mean_duration([durations].into_iter());
    assert!((1.7..1.9).contains(&mean_duration), "{mean_duration}");
}
