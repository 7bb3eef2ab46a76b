use http::StatusCode;

use super::Answer;

fn echoing(attempt: Option<&str>) -> Answer {
    Answer {
        attempt: attempt.map(str::to_owned),
        signed: true,
        ..Answer::default()
    }
}

/// Guards against words that are held against an endpoint which didn't say them: late ones
/// of another attempt, and those of whoever has its address or rewrites answers on the way.
#[test]
fn an_answer_is_the_endpoints_own_only_if_it_is_this_attempts() {
    let is_own = |answer: &Answer, status| answer.is_own(status, "a1");
    let own = echoing(Some("a1"));
    assert!(is_own(&own, StatusCode::OK));
    assert!(is_own(&own, StatusCode::SERVICE_UNAVAILABLE));
    assert!(!is_own(&own, StatusCode::MISDIRECTED_REQUEST));
    assert!(!is_own(&echoing(Some("a0")), StatusCode::OK));
    assert!(!is_own(&echoing(None), StatusCode::OK));
    let coded = Answer { coded: true, ..own };
    assert!(!is_own(&coded, StatusCode::OK));
}

#[test]
fn a_refusal_needs_no_signature_to_be_the_endpoints_own() {
    let unsigned = Answer {
        signed: false,
        not_run: true,
        ..echoing(Some("a1"))
    };
    assert!(unsigned.is_own(StatusCode::SERVICE_UNAVAILABLE, "a1"));
}
