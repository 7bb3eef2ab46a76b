use std::time::Duration;

use super::{
    Pace, READ_WAIT_SERVING_PEERS, REFRESH_DIVISOR_SERVING_PEERS, pause_between_reads, read_wait,
};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The log answers after 250 ms instead of 4 ms. If the wait and the pause
/// between reads stay as long as with a fast log, the state of an instance that
/// serves peers gets 1.5 s old, and its peers conclude that it has lost the
/// log.
#[test]
fn a_slow_log_is_read_as_often() {
    let lag = at(250);
    let pace = Pace::Wait(READ_WAIT_SERVING_PEERS);
    assert_eq!(read_wait(pace, lag) + lag, READ_WAIT_SERVING_PEERS);
    let pause = at(1_000) / REFRESH_DIVISOR_SERVING_PEERS;
    assert_eq!(pause_between_reads(Pace::Poll(pause), lag) + lag, pause);
    // A log slower than the interval is read without a pause.
    assert_eq!(read_wait(pace, at(700)), Duration::ZERO);
    assert_eq!(
        pause_between_reads(Pace::Poll(pause), at(700)),
        Duration::ZERO
    );
}
