use http::header::{CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Response};

use super::{has_unknown_coding, is_event_stream};
use crate::policy::Kind;

#[test]
fn event_streams_are_known_by_media_type_and_else_by_route() {
    let stream = Kind::Stream { resumable: false };
    for (kind, status, media_type, expected) in [
        (stream, 200, "", true),
        (stream, 200, "text/event-stream", true),
        (stream, 200, "Text/Event-Stream; charset=utf-8", true),
        (stream, 200, "application/json", false),
        (stream, 500, "", false),
        (Kind::Safe, 200, "", false),
        (Kind::Safe, 200, "application/json", false),
        (Kind::Safe, 200, "text/event-stream", true),
    ] {
        let mut response = Response::builder().status(status);
        if !media_type.is_empty() {
            response = response.header(CONTENT_TYPE, media_type);
        }
        let (head, ()) = response.body(()).expect("a valid head").into_parts();
        let answer = is_event_stream(kind, &head);
        assert_eq!(answer, expected, "{kind:?} {status} {media_type}");
    }
}

#[test]
fn only_chunks_are_a_known_transfer_coding() {
    for (values, expected) in [
        (vec![], false),
        (vec!["chunked"], false),
        (vec!["Chunked "], false),
        (vec!["gzip"], true),
        (vec!["gzip, chunked"], true),
        (vec!["gzip", "chunked"], true),
    ] {
        let values = values.iter().map(|value| HeaderValue::from_static(value));
        let headers = values.map(|value| (TRANSFER_ENCODING, value));
        let mut map = HeaderMap::new();
        for (name, value) in headers {
            map.append(name, value);
        }
        assert_eq!(has_unknown_coding(&map), expected, "{map:?}");
    }
}
