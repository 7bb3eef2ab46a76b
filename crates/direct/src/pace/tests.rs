use std::time::Duration;

use super::Pace;

const PATIENCE: Duration = Duration::from_secs(1);

// The bytes of a part.
const PART: u32 = 60_000;

// Returns how many of `askers`, all at once, get a turn.
fn turns(link_rate: u64, askers: u32) -> u32 {
    let mut pace = Pace::new(link_rate);
    let now = Duration::from_secs(9);
    let granted = (0..askers).filter(|_| pace.reserve(PART, now, PATIENCE).is_some());
    u32::try_from(granted.count()).unwrap_or(u32::MAX)
}

/// Guards against a link that is filled with parts that arrive after their recipients have
/// given up. What is sent depends on the link, not on how many ask.
#[test]
fn parts_fit_the_link_however_many_ask() {
    for link_rate in [1_250_000, 2_500_000, 125_000_000] {
        let turns = turns(link_rate, 5_000);
        let bytes = f64::from(turns) * f64::from(PART);
        let carried = f64::from(u32::try_from(link_rate).unwrap_or(u32::MAX));
        assert!(bytes < carried + f64::from(PART), "{bytes} of {carried}");
        assert!(bytes > carried / 2.0, "{bytes} of {carried}");
    }
    assert_eq!(turns(125_000_000, 4), 4);
}

#[test]
fn an_idle_link_lets_a_part_through_at_once() {
    let mut pace = Pace::new(1_250_000);
    for second in 1..5 {
        let now = Duration::from_secs(second);
        assert_eq!(pace.reserve(PART, now, PATIENCE), Some(Duration::ZERO));
    }
}

/// Guards against a small fleet that waits for turns as long as a large one: what counts is
/// how much a part holds.
#[test]
fn short_lists_wait_for_less() {
    let mut pace = Pace::new(1_250_000);
    let now = Duration::from_secs(9);
    let delays = (0..25).filter_map(|_| pace.reserve(63 * 120, now, PATIENCE));
    assert!(delays.max() < Some(Duration::from_millis(200)));
}
