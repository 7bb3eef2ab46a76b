use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue};

use super::is_event_stream;
use crate::policy::Kind;

#[test]
fn event_streams_are_known_by_media_type_and_else_by_route() {
    let stream = Kind::Stream { resumable: false };
    for (kind, media_type, expected) in [
        (stream, None, true),
        (stream, Some("text/event-stream"), true),
        (stream, Some("Text/Event-Stream; charset=utf-8"), true),
        (stream, Some("application/json"), false),
        (Kind::Safe, None, false),
        (Kind::Safe, Some("application/json"), false),
        (Kind::Safe, Some("text/event-stream"), true),
    ] {
        let value = media_type.map(|value| (CONTENT_TYPE, HeaderValue::from_static(value)));
        let headers: HeaderMap = value.into_iter().collect();
        assert_eq!(is_event_stream(kind, &headers), expected, "{media_type:?}");
    }
}
