use std::time::Duration;

use super::Notices;
use crate::roster::Life;

const fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn life() -> Life {
    Life {
        name: "e1".to_owned(),
        incarnation: 7,
    }
}

#[test]
fn leaving_is_handed_on_once_and_holds() {
    let mut notices = Notices::default();
    assert!(!notices.is_leaving(1));
    assert!(notices.leaves(1, &life(), at(1)));
    assert!(!notices.leaves(1, &life(), at(2)));
    assert_eq!(notices.take_leaving(at(2)), [life()]);
    assert!(notices.take_leaving(at(3)).is_empty());
    assert!(notices.is_leaving(1) && !notices.is_leaving(2));
}

#[test]
fn what_was_heard_long_ago_is_forgotten() {
    let mut notices = Notices::default();
    notices.leaves(1, &life(), at(1));
    notices.leaves(2, &life(), at(40));
    drop(notices.take_leaving(at(70)));
    assert!(!notices.is_leaving(1) && notices.is_leaving(2));
}
