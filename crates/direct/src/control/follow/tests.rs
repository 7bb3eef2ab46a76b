use std::time::Duration;

use super::{OFTENER, Pace, WAIT_FOR_OTHERS, rest, waiting};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The log answers after a quarter of a second in place of 4 ms. An instance that
/// is asked waited as long as ever for a change, and rested as long between reads:
/// what it knew got 1.5 s old, and those that ask it took it for one that had lost
/// the log.
#[test]
fn a_slow_log_is_read_as_often() {
    let lag = at(250);
    let pace = Pace::Wait(WAIT_FOR_OTHERS);
    assert_eq!(waiting(pace, lag) + lag, WAIT_FOR_OTHERS);
    let pause = at(1_000) / OFTENER;
    assert_eq!(rest(Pace::Poll(pause), lag) + lag, pause);
    // Slower than that, it is read without a pause.
    assert_eq!(waiting(pace, at(700)), Duration::ZERO);
    assert_eq!(rest(Pace::Poll(pause), at(700)), Duration::ZERO);
}
