use std::time::Duration;

use super::{LIST_AGE, PATIENCE, POLICY_AGE, Refusal, news, wait};
use crate::board::{Board, Question};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn board(read: u64) -> Board {
    let mut board = Board::new(7);
    board.policy_read(at(read));
    board.endpoints_read(at(read));
    board
}

const QUESTION: Question = Question {
    life: 7,
    stamp: 0,
    version: 0,
    wait: at(400),
    loads: Vec::new(),
    held: Vec::new(),
};

/// The instance that others ask was cut from the log. Those that asked it went
/// on for 2.7 s with a list of endpoints from before, and sent an order to one
/// that had left. An answer at the limit of its age, the wait for the next one
/// and its time-out have to stay below the two seconds allowed.
#[test]
fn one_that_lost_the_log_is_left_in_time() {
    for bound in [2_000, 3_000, 6_000] {
        let oldest = POLICY_AGE.max(LIST_AGE) + wait(at(bound)) + PATIENCE;
        assert!(oldest < at(bound - 100), "{oldest:?} of {bound} ms");
    }
    assert_eq!(wait(at(2_000)), at(400));
    assert_eq!(wait(at(1_000)), at(0));
}

#[test]
fn what_is_old_at_the_peer_is_not_taken() {
    let told = board(1_000).tell(&QUESTION, at(0), at(1_800));
    assert!(news(told, at(50)).is_ok_and(|news| news.endpoints_read == Duration::ZERO));
    let told = board(1_000).tell(&QUESTION, at(0), at(2_000));
    assert!(matches!(news(told, at(50)), Err(Refusal::Stale)));
    let told = Board::new(7).tell(&QUESTION, at(0), at(2_000));
    assert!(matches!(news(told, at(50)), Err(Refusal::Stale)));
}

/// An answer was on its way for long. Counted from its arrival, a key would
/// live on by as much; it counts from when it was asked for, and waited there.
#[test]
fn a_slow_answer_makes_nothing_younger() {
    let told = board(1_000).tell(&QUESTION, at(300), at(1_500));
    let news = news(told, at(9_000)).ok();
    assert_eq!(news.map(|news| news.policy_read), Some(at(8_800)));
}
