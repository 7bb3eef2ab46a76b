use std::time::Duration;

use godwitpost_types::clock::Moment;
use proptest::prelude::*;

use super::{CASES, Evidence, Fate, HOLD, Sighting, Suspects};

const DIGEST: [u8; 16] = [7; 16];

const fn ms(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

const fn crashed(endpoint: u64, sent: u64, at: u64) -> Evidence {
    Evidence {
        digest: DIGEST,
        fate: Fate::Crashed(endpoint),
        sent: ms(sent),
        at: ms(at),
    }
}

const fn answered(sent: u64, at: u64) -> Evidence {
    Evidence {
        digest: DIGEST,
        fate: Fate::Answered,
        sent: ms(sent),
        at: ms(at),
    }
}

fn held(evidence: &[Evidence], now: u64) -> Option<Duration> {
    let mut suspects = Suspects::default();
    for one in evidence {
        suspects.learn(*one);
    }
    suspects.held(&DIGEST, ms(now))
}

// A request takes an endpoint down, is sent to another and takes that down,
// and so on. From the third on it waits, and longer after each further one.
#[test]
fn a_chain_of_three_is_held_back_and_longer_each_time() {
    let chain = [
        crashed(1, 0, 100),
        crashed(2, 110, 200),
        crashed(3, 5_000, 5_100),
        crashed(4, 40_000, 40_100),
    ];
    assert_eq!(held(&chain[..2], 5_000), None);
    assert_eq!(held(&chain[..3], 5_100), Some(HOLD));
    assert_eq!(held(&chain[..3], 35_200), None);
    assert_eq!(held(&chain, 40_100), Some(HOLD * 2));
}

// All endpoints of a service lose power at once while the same stock check is
// in flight on each. Nobody sent it again after an end, so it is no chain.
#[test]
fn endpoints_that_end_together_count_once() {
    let together: Vec<_> = (1..9).map(|n| crashed(n, 90 - n, 100 + n)).collect();
    assert_eq!(held(&together, 200), None);
}

// A stock check is in flight on each of three endpoints that go down minutes
// apart. It was answered in between.
#[test]
fn an_answer_clears_what_came_before() {
    let mut records = vec![
        crashed(1, 0, 100),
        crashed(2, 200, 300),
        answered(350, 400),
        crashed(3, 500, 600),
    ];
    assert_eq!(held(&records, 700), None);
    records.push(crashed(4, 700, 800));
    records.push(crashed(5, 900, 1_000));
    assert_eq!(held(&records, 1_000), Some(HOLD));
}

#[test]
fn an_answer_to_an_unsuspected_request_leaves_no_trace() {
    let mut suspects = Suspects::default();
    suspects.saw(answered(0, 10));
    assert!(suspects.is_empty());
    suspects.saw(crashed(1, 20, 30));
    suspects.saw(answered(40, 50));
    assert_eq!(suspects.take_unsent().len(), 2);
    assert_eq!(suspects.chain(&DIGEST), 0);
}

#[test]
fn evidence_is_bounded_and_ends() {
    let mut suspects = Suspects::default();
    for n in 0..=CASES as u64 {
        suspects.learn(Evidence {
            digest: u128::from(n).to_le_bytes(),
            ..crashed(1, 0, 10 + n)
        });
    }
    assert_eq!(suspects.chain(&0_u128.to_le_bytes()), 0);
    assert_eq!(suspects.chain(&1_u128.to_le_bytes()), 1);
    suspects.learn(crashed(1, 3 * 3_600_000, 3 * 3_600_000));
    assert_eq!(suspects.chain(&1_u128.to_le_bytes()), 0);
}

proptest! {
    // Evidence arrives in any order and more than once.
    #[test]
    fn order_and_repetition_change_nothing(
        order in Just((0..6_usize).chain(0..6).collect::<Vec<_>>()).prop_shuffle()
    ) {
        let records = [
            crashed(1, 0, 100), crashed(2, 110, 200), answered(210, 220),
            crashed(3, 300, 310), crashed(4, 320, 330), crashed(5, 340, 350),
        ];
        let shuffled: Vec<_> = order.iter().map(|n| records[*n]).collect();
        prop_assert_eq!(held(&shuffled, 400), held(&records, 400));
    }

    #[test]
    fn passing_on_keeps_what_was_seen(sent in 0..1_000_u64, took in 0..1_000_u64, way in 0..5_u64) {
        let seen = crashed(1, sent, sent + took);
        let passed = Sighting::of(&seen, ms(5_000)).evidence(ms(5_000 + way));
        prop_assert_eq!(passed.at, seen.at + ms(way));
        prop_assert_eq!(passed.sent, seen.sent + ms(way));
    }
}
