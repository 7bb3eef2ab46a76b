use std::time::Duration;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::{Admission, Gate};
use crate::log::backoff::Backoff;

const INSTANCES: u64 = 320;
const OUTAGE: u32 = 120;
const STEP: Duration = Duration::from_millis(10);

// The log is down for two minutes while 320 instances each have many waiting
// records. If every record were retried, the log would get thousands of requests
// per second when it recovers, exceed its rate limit and appear down again.
#[test]
fn an_outage_causes_few_attempts_and_a_prompt_recovery() {
    let mut gates: Vec<_> = (0..INSTANCES)
        .map(|seed| {
            let pauses = Backoff::new(Duration::from_millis(50), Duration::from_secs(5));
            (Gate::new(pauses), ChaCha8Rng::seed_from_u64(seed))
        })
        .collect();
    let down_until = Duration::from_secs(u64::from(OUTAGE));
    let mut tries = vec![0_u32; OUTAGE as usize + 10];
    let mut last_back = Duration::ZERO;
    let mut now = Duration::ZERO;
    while now < down_until + Duration::from_secs(10) {
        for (gate, random) in &mut gates {
            if gate.try_pass(now, random) != Admission::Allowed {
                continue;
            }
            if now < down_until {
                tries[usize::try_from(now.as_secs()).expect("seconds")] += 1;
                gate.record_failure(now, random);
            } else if gate.record_success() {
                last_back = now;
            }
        }
        now += STEP;
    }
    let during = &tries[10..OUTAGE as usize];
    let most = during.iter().max().copied().expect("two minutes");
    let mean = during.iter().sum::<u32>() / u32::try_from(during.len()).expect("seconds");
    assert!(mean <= 140, "tries a second of the fleet: {mean}");
    assert!(most <= 200, "tries in the worst second: {most}");
    let late = last_back.saturating_sub(down_until);
    assert!(
        late <= Duration::from_secs(5),
        "the last is back after {late:?}"
    );
    eprintln!(
        "FIG mean {mean} most {most} first {} late {late:?}",
        tries[0]
    );
}

#[test]
fn a_closed_gate_admits_one_call_per_pause() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let pause = Duration::from_millis(100);
    let mut gate = Gate::new(Backoff::new(pause, pause));
    let now = Duration::from_secs(1);
    assert_eq!(gate.try_pass(now, &mut random), Admission::Allowed);
    gate.record_failure(now, &mut random);
    assert_eq!(
        gate.try_pass(now, &mut random),
        Admission::RetryAt(now + pause)
    );
    assert_eq!(gate.try_pass(now + pause, &mut random), Admission::Allowed);
    assert_eq!(
        gate.try_pass(now + pause, &mut random),
        Admission::RetryAt(now + 2 * pause)
    );
    assert!(gate.record_success());
    assert_eq!(gate.try_pass(now + pause, &mut random), Admission::Allowed);
}
