use std::time::Duration;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::Backoff;

const MIN_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(5);

// Guards against a retry storm after an outage of the log. If all 320 instances
// paused for equally long, the log would get 320 appends at once, exceed its
// rate limit, and get them all at once again.
#[test]
fn retries_of_a_fleet_are_spread() {
    let mut tenths = [0; 50];
    for instance in 0..320 {
        let mut random = ChaCha8Rng::seed_from_u64(instance);
        let mut backoff = Backoff::new(MIN_PAUSE, MAX_PAUSE);
        let pause = (0..10)
            .map(|_| backoff.next_pause(&mut random))
            .last()
            .expect("ten pauses");
        tenths[usize::try_from(pause.as_millis() / 100).expect("a small number")] += 1;
    }
    // An even distribution has 6.5 for each tenth of a second.
    assert!(tenths.iter().all(|&share| share <= 20), "{tenths:?}");
}

#[test]
fn pauses_stay_in_bounds_and_reset() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut backoff = Backoff::new(MIN_PAUSE, MAX_PAUSE);
    for _ in 0..100 {
        let pause = backoff.next_pause(&mut random);
        assert!((MIN_PAUSE..=MAX_PAUSE).contains(&pause), "{pause:?}");
    }
    backoff.reset();
    assert!(backoff.next_pause(&mut random) <= 2 * MIN_PAUSE);
}
