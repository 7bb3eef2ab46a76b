//! The timer under the driver that tests use.

use std::time::Duration;

use godwitpost_client::timer::Timer;

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test]
async fn a_period_ticks_on_its_grid_and_skips_what_was_missed() {
    let timer = Timer::new(SECOND);
    let mut ticks = timer.every(2 * SECOND);
    timer.advance(3 * SECOND);
    assert_eq!(ticks.next().await, Some(3 * SECOND));
    // Ticks at 5, 7 and 9 s are missed, the next stays on the grid.
    timer.advance(10 * SECOND);
    assert_eq!(ticks.next().await, Some(10 * SECOND));
    timer.advance(11 * SECOND);
    assert_eq!(ticks.next().await, Some(11 * SECOND));
}

#[tokio::test]
async fn a_moment_ticks_once_then_ends() {
    let timer = Timer::new(SECOND);
    let mut tick = timer.at(5 * SECOND);
    timer.advance(6 * SECOND);
    assert_eq!(tick.next().await, Some(6 * SECOND));
    assert_eq!(tick.next().await, None);
}

#[tokio::test]
async fn time_that_goes_back_fires_nothing() {
    let timer = Timer::new(10 * SECOND);
    let mut ticks = timer.every(SECOND);
    timer.advance(2 * SECOND);
    timer.advance(11 * SECOND);
    assert_eq!(ticks.next().await, Some(11 * SECOND));
}

// A part waits for an answer or a time-out, ten thousand times an hour, and
// nearly always the answer comes first. Time-outs that stayed in the wheel
// would fill the memory of a router that does nothing wrong.
#[tokio::test]
async fn a_dropped_subscription_leaves_nothing_behind() {
    let timer = Timer::new(SECOND);
    drop(timer.at(1000 * SECOND));
    drop(timer.every(SECOND));
    let kept = timer.at(5 * SECOND);
    assert_eq!(timer.subscriptions(), 1);
    timer.advance(6 * SECOND);
    assert_eq!(timer.subscriptions(), 0);
    drop(kept);
}
