use http::StatusCode;

use super::ResponseFields;

fn echoing(attempt: Option<&str>) -> ResponseFields {
    ResponseFields {
        attempt_id: attempt.map(str::to_owned),
        signed: true,
        ..ResponseFields::default()
    }
}

/// Guards against words that are held against an endpoint which didn't say them: late ones
/// of another attempt, and those of whoever has its address or rewrites answers on the way.
#[test]
fn an_answer_is_the_endpoints_own_only_if_it_is_this_attempts() {
    let is_from_endpoint = |answer: &ResponseFields, status| answer.is_from_endpoint(status, "a1");
    let own = echoing(Some("a1"));
    assert!(is_from_endpoint(&own, StatusCode::OK));
    assert!(is_from_endpoint(&own, StatusCode::SERVICE_UNAVAILABLE));
    assert!(!is_from_endpoint(&own, StatusCode::MISDIRECTED_REQUEST));
    assert!(!is_from_endpoint(&echoing(Some("a0")), StatusCode::OK));
    assert!(!is_from_endpoint(&echoing(None), StatusCode::OK));
    let encoded = ResponseFields {
        content_encoded: true,
        ..own
    };
    assert!(!is_from_endpoint(&encoded, StatusCode::OK));
}

#[test]
fn a_refusal_needs_no_signature_to_be_the_endpoints_own() {
    let unsigned = ResponseFields {
        signed: false,
        not_run: true,
        ..echoing(Some("a1"))
    };
    assert!(unsigned.is_from_endpoint(StatusCode::SERVICE_UNAVAILABLE, "a1"));
}
