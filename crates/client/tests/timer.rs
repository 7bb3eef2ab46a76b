//! Tests of the timer, advanced by hand.

use std::time::Duration;

use godwitpost_client::timer::Timer;

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test]
async fn a_late_tick_does_not_shift_the_period_and_missed_ticks_are_skipped() {
    let timer = Timer::new(SECOND);
    let mut ticks = timer.every(2 * SECOND);
    timer.advance(3 * SECOND);
    assert_eq!(ticks.next().await, Some(3 * SECOND));
    // The ticks at 5, 7 and 9 s are missed; the next is due at 11 s.
    timer.advance(10 * SECOND);
    assert_eq!(ticks.next().await, Some(10 * SECOND));
    timer.advance(11 * SECOND);
    assert_eq!(ticks.next().await, Some(11 * SECOND));
}

#[tokio::test]
async fn a_moment_ticks_once_and_ends() {
    let timer = Timer::new(SECOND);
    let mut tick = timer.at(5 * SECOND);
    timer.advance(6 * SECOND);
    assert_eq!(tick.next().await, Some(6 * SECOND));
    assert_eq!(tick.next().await, None);
}

#[tokio::test]
async fn time_that_goes_backwards_fires_nothing() {
    let timer = Timer::new(10 * SECOND);
    let mut ticks = timer.every(SECOND);
    timer.advance(2 * SECOND);
    timer.advance(11 * SECOND);
    assert_eq!(ticks.next().await, Some(11 * SECOND));
}

// A component waits for a response or a time-out ten thousand times an hour, and
// nearly always the response comes first. Time-outs that stayed in the wheel would
// exhaust the memory of a router in normal operation.
#[tokio::test]
async fn a_dropped_subscription_is_removed() {
    let timer = Timer::new(SECOND);
    drop(timer.at(1000 * SECOND));
    drop(timer.every(SECOND));
    let kept = timer.at(5 * SECOND);
    assert_eq!(timer.subscriptions(), 1);
    timer.advance(6 * SECOND);
    assert_eq!(timer.subscriptions(), 0);
    drop(kept);
}
