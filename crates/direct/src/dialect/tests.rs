use http::StatusCode;

use super::ResponseFields;

fn echoing(attempt: Option<&str>) -> ResponseFields {
    ResponseFields {
        attempt_id: attempt.map(str::to_owned),
        signed: true,
        ..ResponseFields::default()
    }
}

/// Guards against blaming an endpoint for a response that isn't its own: a late one of
/// another attempt, or one of a server that took over its address or rewrites responses
/// on the way.
#[test]
fn response_is_the_endpoints_own_only_for_this_attempt() {
    let is_from_endpoint = |fields: &ResponseFields, status| fields.is_from_endpoint(status, "a1");
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
fn unsigned_refusal_is_the_endpoints_own() {
    let unsigned = ResponseFields {
        signed: false,
        not_run: true,
        ..echoing(Some("a1"))
    };
    assert!(unsigned.is_from_endpoint(StatusCode::SERVICE_UNAVAILABLE, "a1"));
}
