use std::time::Duration;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::Backoff;

const LEAST: Duration = Duration::from_millis(50);
const MOST: Duration = Duration::from_secs(5);

// The log is down for minutes and comes back. If all 320 instances paused
// alike, it would get 320 appends in the same instant, go over its rate, and
// they would all come back together again.
#[test]
fn a_fleet_after_an_outage_is_spread() {
    let mut tenths = [0; 50];
    for instance in 0..320 {
        let mut random = ChaCha8Rng::seed_from_u64(instance);
        let mut backoff = Backoff::new(LEAST, MOST);
        let pause = (0..10)
            .map(|_| backoff.pause(&mut random))
            .last()
            .expect("ten pauses");
        tenths[usize::try_from(pause.as_millis() / 100).expect("a small number")] += 1;
    }
    // Even shares would be 6.5 for each tenth of a second.
    assert!(tenths.iter().all(|&share| share <= 20), "{tenths:?}");
}

#[test]
fn pauses_stay_in_bounds_and_start_over() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut backoff = Backoff::new(LEAST, MOST);
    for _ in 0..100 {
        let pause = backoff.pause(&mut random);
        assert!((LEAST..=MOST).contains(&pause), "{pause:?}");
    }
    backoff.reset();
    assert!(backoff.pause(&mut random) <= 2 * LEAST);
}
