use http::StatusCode;
use proptest::prelude::*;

use super::{Attempts, Failure, Next, Verdict, classify_response};
use crate::dialect::ResponseFields;
use crate::refusal::Reason;

fn response_fields(attempt: &str) -> ResponseFields {
    ResponseFields {
        attempt_id: Some(attempt.to_owned()),
        signed: true,
        ..ResponseFields::default()
    }
}

fn verdict(status: u16, fields: &ResponseFields, idempotent: bool) -> Verdict {
    let status = StatusCode::from_u16(status).expect("a status");
    classify_response(status, fields, "a1", idempotent)
}

/// An endpoint answered one request twice. The second answer arrived where the
/// next caller's was due, who got a stranger's chat.
#[test]
fn an_answer_to_another_attempt_is_nobodys() {
    assert_eq!(
        verdict(200, &response_fields("a0"), true),
        Verdict::Failed(Failure::Lost)
    );
    assert_eq!(verdict(200, &response_fields("a1"), false), Verdict::Relay);
}

/// An endpoint ran an order, then said 503 without its word that it had not
/// run. Passed on, the caller sends the order again.
#[test]
fn a_promise_without_the_endpoints_word_is_not_passed_on() {
    let failed = Verdict::Failed(Failure::Failed);
    assert_eq!(verdict(503, &response_fields("a1"), false), failed);
    assert_eq!(verdict(429, &response_fields("a1"), false), failed);
    let refused = ResponseFields {
        not_run: true,
        ..response_fields("a1")
    };
    assert_eq!(
        verdict(503, &refused, false),
        Verdict::Failed(Failure::Refused)
    );
}

#[test]
fn a_success_that_nobody_signed_is_no_answer() {
    let unsigned = ResponseFields {
        signed: false,
        ..response_fields("a1")
    };
    assert_eq!(
        verdict(200, &unsigned, true),
        Verdict::Failed(Failure::Lost)
    );
    let encoded = ResponseFields {
        content_encoded: true,
        ..response_fields("a1")
    };
    assert_eq!(verdict(200, &encoded, true), Verdict::Failed(Failure::Lost));
}

#[test]
fn failures_of_the_endpoint_may_be_tried_elsewhere_if_that_does_no_harm() {
    assert_eq!(
        verdict(500, &response_fields("a1"), true),
        Verdict::Fallback
    );
    assert_eq!(verdict(500, &response_fields("a1"), false), Verdict::Relay);
    assert_eq!(verdict(404, &response_fields("a1"), true), Verdict::Relay);
}

fn failure() -> impl Strategy<Value = Failure> {
    prop_oneof![
        Just(Failure::NotSent),
        Just(Failure::Refused),
        Just(Failure::Failed),
        Just(Failure::Lost),
    ]
}

/// A booking's connection broke after it was sent. Sent to another endpoint,
/// it puts two artists at one christening.
#[test]
fn an_unrepeatable_request_of_unknown_fate_is_never_sent_again() {
    let mut attempts = Attempts::new(false, 3);
    assert_eq!(
        attempts.record_failure(Failure::Lost),
        Next::GiveUp(Reason::Broken)
    );
}

#[test]
fn what_reached_nobody_is_free_and_goes_on() {
    let mut attempts = Attempts::new(false, 1);
    let again = Next::Retry { uses_budget: false };
    assert_eq!(attempts.record_failure(Failure::NotSent), again);
    assert_eq!(attempts.record_failure(Failure::NotSent), again);
    assert_eq!(attempts.record_failure(Failure::NotSent), again);
    assert_eq!(
        attempts.record_failure(Failure::NotSent),
        Next::GiveUp(Reason::Unreachable)
    );
}

proptest! {
    // Whatever happens, a promise is true, and no more endpoints than allowed
    // get the request.
    #[test]
    fn promises_hold_in_any_order_of_endings(
        idempotent: bool,
        max_sends in 1_u32..4,
        endings in prop::collection::vec(failure(), 1..12),
    ) {
        let mut attempts = Attempts::new(idempotent, max_sends);
        let (mut sent, mut ran) = (0, 0);
        for failure in endings {
            sent += u32::from(failure != Failure::NotSent);
            ran += u32::from(matches!(failure, Failure::Lost | Failure::Failed));
            prop_assert!(sent <= max_sends);
            prop_assert!(idempotent || ran <= 1);
            match attempts.record_failure(failure) {
                Next::Retry { uses_budget } => {
                    prop_assert_eq!(uses_budget, sent > 0);
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
