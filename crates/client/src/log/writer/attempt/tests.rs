use std::time::Duration;

use http::StatusCode;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::{Attempt, SearchResult, Step};
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
    Append::UnexpectedStatus(StatusCode::GATEWAY_TIMEOUT)
}

// The response of an append is lost, reading back does not find the record, and
// the log rejects everything until the deadline. The first append may still take
// effect, so reporting "not appended" because of the last rejection would let the
// caller of an order send it elsewhere while its claim wins.
#[test]
fn a_later_rejection_does_not_decide_a_lost_response() {
    let (mut attempt, mut random) = attempt();
    assert!(matches!(
        attempt.record_failure(START, lost()),
        Step::ReadBack
    ));
    let next = attempt.record_read_back(START, Some(SearchResult::Missing), &mut random);
    assert!(matches!(next, Step::Append(at) if at > START));
    assert!(matches!(
        attempt.record_failure(DEADLINE, Append::Unavailable),
        Step::Append(_)
    ));
    let next = attempt.record_failure(DEADLINE + MS, Append::Unavailable);
    assert!(matches!(next, Step::Failed(Error::Unknown(_))));
}

#[test]
fn only_rejections_mean_not_appended() {
    let (mut attempt, _) = attempt();
    assert!(matches!(
        attempt.record_failure(START, Append::Unavailable),
        Step::Append(START)
    ));
    let next = attempt.record_failure(DEADLINE + MS, Append::RateLimited);
    assert!(matches!(
        next,
        Step::Failed(Error::NotAppended(Append::RateLimited))
    ));
}

#[test]
fn a_failed_read_back_is_repeated_before_another_append() {
    let (mut attempt, mut random) = attempt();
    attempt.record_failure(START, lost());
    assert!(matches!(
        attempt.record_read_back(START, None, &mut random),
        Step::ReadBack
    ));
    let next = attempt.record_read_back(DEADLINE + MS, None, &mut random);
    assert!(matches!(next, Step::Failed(Error::Unknown(_))));
}

#[test]
fn a_permanently_rejected_record_is_not_retried() {
    let (mut attempt, _) = attempt();
    let refused = Append::Rejected(StatusCode::PAYLOAD_TOO_LARGE);
    let next = attempt.record_failure(START, refused);
    assert!(matches!(next, Step::Failed(Error::NotAppended(_))));
}
