//! A shutdown aborts no request before its limit and ends at the limit.

use proptest::prelude::*;

use super::*;

const LIMITS: Limits = Limits {
    balancer_lag: Duration::from_secs(5),
    hard_limit: Duration::from_mins(1),
    second_signal_limit: Duration::from_secs(2),
};

const fn at(seconds: u64) -> Moment {
    Duration::from_secs(seconds)
}

/// Guards against refusing requests during a shutdown: the balancer's list lags
/// and still sends a request to an instance that closed its listener at once
/// because nothing was in flight.
#[test]
fn an_idle_instance_serves_while_the_balancer_lags() {
    let mut drain = Drain::new(LIMITS);
    drain.handle_signal(at(10));
    assert_eq!(drain.tick(at(10), 0), Next::Announce { until: at(15) });
    assert_eq!(drain.tick(at(14), 0), Next::Announce { until: at(15) });
    assert_eq!(drain.tick(at(15), 1), Next::Close { limit: at(70) });
    drain.record_handover();
    assert_eq!(drain.tick(at(16), 1), Next::Wait { limit: at(70) });
    assert_eq!(drain.tick(at(17), 0), Next::Exit { aborted: 0 });
}

/// Guards against aborting a stream early: a second signal from the operator
/// ended the instance at once instead of after the documented short limit.
#[test]
fn a_second_signal_shortens_the_wait_and_a_third_does_not_lengthen_it() {
    let mut drain = Drain::new(LIMITS);
    drain.handle_signal(at(10));
    drain.handle_signal(at(20));
    assert_eq!(drain.tick(at(20), 1), Next::Close { limit: at(22) });
    drain.record_handover();
    drain.handle_signal(at(21));
    assert_eq!(drain.tick(at(21), 1), Next::Wait { limit: at(22) });
    assert_eq!(drain.tick(at(22), 1), Next::Exit { aborted: 1 });
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Signal,
    HandedOver,
    Tick(u64, usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => Just(Step::Signal),
        2 => Just(Step::HandedOver),
        6 => (1..20_u64, 0..3_usize).prop_map(|(seconds, n)| Step::Tick(seconds, n)),
    ]
}

proptest! {
    #[test]
    fn no_request_is_aborted_before_a_limit_and_the_limit_is_kept(
        steps in prop::collection::vec(any_step(), 1..40),
    ) {
        let mut drain = Drain::new(LIMITS);
        let mut now = at(0);
        let mut signals: Vec<Moment> = Vec::new();
        for step in steps {
            match step {
                Step::Signal => {
                    drain.handle_signal(now);
                    signals.push(now);
                }
                Step::HandedOver => drain.record_handover(),
                Step::Tick(seconds, in_flight) => {
                    now += at(seconds);
                    let hard_limit = signals.first().map(|first| *first + LIMITS.hard_limit);
                    let second = signals.get(1).map(|second| *second + LIMITS.second_signal_limit);
                    let limit = [hard_limit, second].into_iter().flatten().min();
                    let next = drain.tick(now, in_flight);
                    if let Next::Exit { aborted } = next {
                        prop_assert!(aborted == 0 || limit.is_some_and(|limit| now >= limit));
                        return Ok(());
                    }
                    // A limit that passes in the announced state takes effect
                    // one tick later, after the close.
                    let late = limit.is_some_and(|limit| now >= limit);
                    let closing = matches!(next, Next::Close { .. });
                    prop_assert!(!late || closing);
                }
            }
        }
    }
}
