use std::time::Duration;

use http::StatusCode;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::{Attempt, Found, Next};
use crate::log::append::Error as Append;
use crate::log::backoff::Backoff;
use crate::log::writer::Error;

const MS: Duration = Duration::from_millis(1);
const START: Duration = Duration::from_secs(100);
const DEADLINE: Duration = Duration::from_secs(101);

fn attempt() -> (Attempt, ChaCha8Rng) {
    let pauses = Backoff::new(50 * MS, 200 * MS);
    (Attempt::new(DEADLINE, pauses), ChaCha8Rng::seed_from_u64(1))
}

fn lost() -> Append {
    Append::Strange(StatusCode::GATEWAY_TIMEOUT)
}

// An append's answer is lost, the read-back doesn't show the record, and then
// the log refuses everything until the deadline. The last word was "refused",
// yet the first append may still take effect: saying "not appended" would let
// the caller of an order go elsewhere while its claim wins.
#[test]
fn a_later_refusal_does_not_settle_a_lost_answer() {
    let (mut attempt, mut random) = attempt();
    assert!(matches!(attempt.failed(START, lost()), Next::ReadBack));
    let next = attempt.read_back(START, Some(Found::Missing), &mut random);
    assert!(matches!(next, Next::Append(at) if at > START));
    assert!(matches!(
        attempt.failed(DEADLINE, Append::Down),
        Next::Append(_)
    ));
    let next = attempt.failed(DEADLINE + MS, Append::Down);
    assert!(matches!(next, Next::Failed(Error::Unknown(_))));
}

#[test]
fn refusals_alone_are_a_certain_no() {
    let (mut attempt, _) = attempt();
    assert!(matches!(
        attempt.failed(START, Append::Down),
        Next::Append(START)
    ));
    let next = attempt.failed(DEADLINE + MS, Append::Busy);
    assert!(matches!(
        next,
        Next::Failed(Error::NotAppended(Append::Busy))
    ));
}

#[test]
fn a_read_back_that_fails_is_repeated_before_another_append() {
    let (mut attempt, mut random) = attempt();
    attempt.failed(START, lost());
    assert!(matches!(
        attempt.read_back(START, None, &mut random),
        Next::ReadBack
    ));
    let next = attempt.read_back(DEADLINE + MS, None, &mut random);
    assert!(matches!(next, Next::Failed(Error::Unknown(_))));
}

#[test]
fn a_record_that_the_log_rejects_is_not_tried_again() {
    let (mut attempt, _) = attempt();
    let refused = Append::Refused(StatusCode::PAYLOAD_TOO_LARGE);
    let next = attempt.failed(START, refused);
    assert!(matches!(next, Next::Failed(Error::NotAppended(_))));
}
