use std::time::Duration;

use super::{LASTS, Lasting, Reports, Usual, lasts};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn near(value: f64, wanted: f64) -> bool {
    (value - wanted).abs() < 0.05
}

#[test]
fn what_is_usual_outlasts_a_report() {
    let mut reports = Reports::default();
    for second in 0..20 {
        reports.add(6, at(1_000 * second));
    }
    reports.add(0, at(19_500));
    // At once it is the report, soon after what was usual, and in the end the mean.
    assert!(near(reports.believe(2.0, 0.06, at(19_500)).others, 0.0));
    let soon = reports.believe(2.0, 0.06, at(20_000)).others;
    assert!((4.0..6.0).contains(&soon), "{soon}");
    assert!(near(reports.believe(2.0, 0.06, at(90_000)).others, 2.0));
}

/// A hundred answers come from an endpoint within a tenth of a second, all while the
/// same long prompt is read there. They are not a hundred reasons to think it slow.
#[test]
fn reports_at_the_same_time_count_as_one() {
    let usual = |count: u64| {
        let mut reports = Reports::default();
        reports.add(2, at(0));
        for n in 0..count {
            reports.add(9, at(5_000 + n));
        }
        reports.usual(at(5_100)).mean()
    };
    assert!(usual(100) - usual(1) < 0.6, "{} {}", usual(1), usual(100));
}

#[test]
fn of_an_endpoint_without_reports_nothing_is_known() {
    let belief = Reports::default().believe(4.0, LASTS, at(1_000));
    assert!(near(belief.others, 4.0) && near(belief.spread, 2.0));
    assert!(near(belief.known, 0.0));
    assert!(near(Usual::default().mean(), 0.0));
}

#[test]
fn long_requests_are_met_running_for_longer() {
    assert!(near(lasts(std::iter::empty()), LASTS));
    let mut lasting = Lasting::default();
    for _ in 0..50 {
        lasting.add(at(100));
        lasting.add(at(1_900));
    }
    // Of those met running nineteen of twenty are long.
    let lasts = lasts([lasting].into_iter());
    assert!((1.7..1.9).contains(&lasts), "{lasts}");
}
