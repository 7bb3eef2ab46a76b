use http::StatusCode;
use proptest::prelude::*;

use super::{Attempts, Ending, Next, Verdict, judge};
use crate::dialect::Answer;
use crate::refusal::Reason;

fn answer(attempt: &str) -> Answer {
    Answer {
        attempt: Some(attempt.to_owned()),
        signed: true,
        ..Answer::default()
    }
}

fn verdict(status: u16, answer: &Answer, idempotent: bool) -> Verdict {
    let status = StatusCode::from_u16(status).expect("a status");
    judge(status, answer, "a1", idempotent)
}

/// An endpoint answered one request twice. The second answer arrived where the
/// next caller's was due, who got a stranger's chat.
#[test]
fn an_answer_to_another_attempt_is_nobodys() {
    assert_eq!(
        verdict(200, &answer("a0"), true),
        Verdict::Ended(Ending::Lost)
    );
    assert_eq!(verdict(200, &answer("a1"), false), Verdict::Relay);
}

/// An endpoint ran an order, then said 503 without its word that it had not
/// run. Passed on, the caller sends the order again.
#[test]
fn a_promise_without_the_endpoints_word_is_not_passed_on() {
    let failed = Verdict::Ended(Ending::Failed);
    assert_eq!(verdict(503, &answer("a1"), false), failed);
    assert_eq!(verdict(429, &answer("a1"), false), failed);
    let refused = Answer {
        not_run: true,
        ..answer("a1")
    };
    assert_eq!(
        verdict(503, &refused, false),
        Verdict::Ended(Ending::Refused)
    );
}

#[test]
fn a_success_that_nobody_signed_is_no_answer() {
    let unsigned = Answer {
        signed: false,
        ..answer("a1")
    };
    assert_eq!(verdict(200, &unsigned, true), Verdict::Ended(Ending::Lost));
    let coded = Answer {
        coded: true,
        ..answer("a1")
    };
    assert_eq!(verdict(200, &coded, true), Verdict::Ended(Ending::Lost));
}

#[test]
fn failures_of_the_endpoint_may_be_tried_elsewhere_if_that_does_no_harm() {
    assert_eq!(verdict(500, &answer("a1"), true), Verdict::Fallback);
    assert_eq!(verdict(500, &answer("a1"), false), Verdict::Relay);
    assert_eq!(verdict(404, &answer("a1"), true), Verdict::Relay);
}

fn ending() -> impl Strategy<Value = Ending> {
    prop_oneof![
        Just(Ending::NotSent),
        Just(Ending::Refused),
        Just(Ending::Failed),
        Just(Ending::Lost),
    ]
}

/// A booking's connection broke after it was sent. Sent to another endpoint,
/// it puts two artists at one christening.
#[test]
fn an_unrepeatable_request_of_unknown_fate_is_never_sent_again() {
    let mut attempts = Attempts::new(false, 3);
    assert_eq!(attempts.ended(Ending::Lost), Next::GiveUp(Reason::Broken));
}

#[test]
fn what_reached_nobody_is_free_and_goes_on() {
    let mut attempts = Attempts::new(false, 1);
    let again = Next::Again { repeat: false };
    assert_eq!(attempts.ended(Ending::NotSent), again);
    assert_eq!(attempts.ended(Ending::NotSent), again);
    assert_eq!(attempts.ended(Ending::NotSent), again);
    assert_eq!(
        attempts.ended(Ending::NotSent),
        Next::GiveUp(Reason::Unreachable)
    );
}

proptest! {
    // Whatever happens, a promise is true, and no more endpoints than allowed
    // get the request.
    #[test]
    fn promises_hold_in_any_order_of_endings(
        idempotent: bool,
        most in 1_u32..4,
        endings in prop::collection::vec(ending(), 1..12),
    ) {
        let mut attempts = Attempts::new(idempotent, most);
        let (mut sent, mut ran) = (0, 0);
        for ending in endings {
            sent += u32::from(ending != Ending::NotSent);
            ran += u32::from(matches!(ending, Ending::Lost | Ending::Failed));
            prop_assert!(sent <= most);
            prop_assert!(idempotent || ran <= 1);
            match attempts.ended(ending) {
                Next::Again { repeat } => {
                    prop_assert_eq!(repeat, sent > 0);
                    prop_assert!(idempotent || ran == 0);
                }
                Next::GiveUp(reason) => {
                    prop_assert!(reason == Reason::Broken || ran == 0);
                    break;
                }
            }
        }
    }
}
