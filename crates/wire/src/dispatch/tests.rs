use std::time::Duration;

use godwitpost_decide::ending::Ending;
use godwitpost_decide::hop::Hop;
use godwitpost_decide::load::Summary;
use godwitpost_decide::view::Pool;
use godwitpost_types::request::Request;
use http::{HeaderMap, HeaderValue};

use super::{Head, Reply, format_load, pack, parse_load, unpack};
use crate::frame::Frame;

const POOL: Pool = Pool {
    service: 3,
    model: 4,
};

fn head() -> Head {
    Head {
        request: Request {
            id: u128::MAX,
            version: 7,
            workspace: 1,
            service: POOL.service,
            model: POOL.model,
            class: 5,
            chat: u64::MAX,
            prompt_tokens: 6,
            answer_tokens: 7,
            deadline: Duration::from_nanos(1_764_712_800_123_456_789),
            key: Some([9; 16]),
            digest: [255; 16],
        },
        hop: Hop::first(2, 8),
        attempt: u64::MAX,
        method: "POST".to_owned(),
        path: "/orders?urgent".to_owned(),
        headers: vec![("x".to_owned(), vec![0xff, 0x20])],
        issued: Some(Duration::from_millis(1_764_712_800_123)),
    }
}

#[test]
fn head_and_body_round_trip() {
    let frame = Frame {
        head: head(),
        body: bytes::Bytes::from_static(b"40 guides"),
    };
    assert_eq!(Frame::decode(&frame.encode()).unwrap(), frame);
}

#[test]
fn replies_round_trip() {
    let reply = Reply::Failed {
        endpoint: 3,
        ending: Ending::Broken,
        evidence: Vec::new(),
    };
    let bytes = rmp_serde::to_vec(&reply).unwrap();
    assert_eq!(rmp_serde::from_slice::<Reply>(&bytes).unwrap(), reply);
}

#[test]
fn repeated_headers_round_trip() {
    let mut headers = HeaderMap::new();
    headers.append("cookie", HeaderValue::from_static("a=1"));
    headers.append("cookie", HeaderValue::from_static("b=2"));
    assert_eq!(unpack(&pack(&headers)), headers);
}

#[test]
fn malformed_load_is_rejected() {
    let summary = Summary {
        source: 1,
        pool: POOL,
        endpoints: 2,
        work: 12_345,
        waiting: 6,
        taken: Duration::from_millis(99),
    };
    assert_eq!(parse_load(&format_load(&summary), 1, POOL), Some(summary));
    for text in ["", "2", "2 3 4", "2 3 4 5 6", "-1 3 4 5", "2  3 4"] {
        assert_eq!(parse_load(text, 1, POOL), None, "{text}");
    }
}
