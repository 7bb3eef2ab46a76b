use super::*;

const NOW: Moment = Duration::from_secs(100);

#[test]
fn silence_ends_with_a_report_or_its_lifetime() {
    let mut silence = Silence::default();
    assert!(!silence.lasts(None, NOW));
    assert!(silence.record(NOW));
    let later = NOW + SILENCE_LIFETIME / 2;
    assert!(silence.lasts(None, later));
    assert!(silence.lasts(Some(since(NOW, Duration::from_millis(1))), later));
    assert!(!silence.lasts(Some(later), later));
    assert!(!silence.lasts(None, NOW + SILENCE_LIFETIME));
}

#[test]
fn others_are_told_again_after_an_interval() {
    let mut silence = Silence::default();
    assert!(silence.record(NOW));
    assert!(!silence.record(NOW + SILENCE_TOLD_INTERVAL / 2));
    assert!(silence.record(NOW + SILENCE_TOLD_INTERVAL * 2));
}

/// Guards against endpoints of a slow model that all count as silent.
#[test]
fn responses_are_late_by_what_is_usual_in_their_service() {
    let mut slow = HeadTimes::default();
    let mut quick = HeadTimes::default();
    for _ in 0..200 {
        slow.add(Duration::from_secs(1));
        quick.add(Duration::from_millis(5));
    }
    assert!(slow.late() > Duration::from_millis(1_900));
    assert_eq!(quick.late(), MIN_LATE_HEAD);
}
