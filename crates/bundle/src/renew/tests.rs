use std::time::Duration;

use crate::renew::{Next, View, decide};
use crate::snapshot::Anchor;

const HOUR: Duration = Duration::from_hours(1);

fn view(now: Duration, rank: u32) -> View {
    View {
        now,
        retention: 24 * HOUR,
        anchor: Some(Anchor {
            from: 10,
            since: 100 * HOUR,
        }),
        next: 20,
        tried: None,
        rank,
    }
}

// All instances are replaced at once after a week without changes. If the log
// had dropped the last change by then, no instance would find a bundle. Even if
// eight writers fail in turn, a ninth must still append a checkpoint while a
// third of the retention is left.
#[test]
fn a_checkpoint_is_due_well_before_the_oldest_record_is_dropped() {
    assert_eq!(decide(&view(107 * HOUR, 0)), Next::Wait(108 * HOUR));
    assert_eq!(decide(&view(108 * HOUR, 0)), Next::Append);
    assert_eq!(decide(&view(108 * HOUR, 1)), Next::Wait(109 * HOUR));
    assert_eq!(decide(&view(116 * HOUR, 319)), Next::Append);
}

#[test]
fn many_changes_make_it_due_early() {
    let mut view = view(101 * HOUR, 0);
    view.next = 10 + 2_048;
    assert_eq!(decide(&view), Next::Append);
    view.rank = 1;
    assert_eq!(decide(&view), Next::Wait(109 * HOUR));
}

#[test]
fn an_append_without_effect_is_retried_after_a_delay() {
    let mut view = view(110 * HOUR, 0);
    view.tried = Some(110 * HOUR);
    let retry = 110 * HOUR + Duration::from_secs(30);
    assert_eq!(decide(&view), Next::Wait(retry));
    view.now = retry;
    assert_eq!(decide(&view), Next::Append);
}

#[test]
fn an_instance_without_an_anchor_appends_nothing() {
    let mut view = view(110 * HOUR, 0);
    view.anchor = None;
    assert!(matches!(decide(&view), Next::Wait(_)));
}
