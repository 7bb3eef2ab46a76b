//! The engine's stand-in over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::{Connector, Error, Framing, ResponseBody, Settings as Pool};
use godwitpost_standin::digest;
use godwitpost_standin::engine::{self, End, Faults, Running, Settings};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(20);
const STREAM: &str = r#"{"model":"route-writer","stream":true,"max_tokens":5}"#;
const UNSTREAMED: &str = r#"{"model":"route-writer","max_tokens":5}"#;

fn fast_settings() -> Settings {
    Settings {
        models: ["route-writer@7".to_owned()].into(),
        decode: 5_000.0,
        ..Settings::default()
    }
}

async fn start(settings: Settings, faults: Faults) -> Running {
    let address = "127.0.0.1:0".parse().expect("an address");
    let started = engine::start(address, settings, faults).await;
    started.expect("a free port")
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response<ResponseBody>, Error> {
    let body = Full::new(Bytes::from(body.to_owned()))
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(body).expect("a well-formed request");
    let connector = Connector::new(Pool::default());
    connector.send(address, request, TIMEOUT).await
}

async fn chat(running: &Running, id: &str, body: &str) -> Result<Response<ResponseBody>, Error> {
    let headers = [("x-request-id", id), ("x-prefix-key", "chat-1")];
    let path = "/v1/chat/completions";
    call(running.address(), Method::POST, path, &headers, body).await
}

async fn text(response: Response<ResponseBody>) -> Result<String, hyper::Error> {
    let bytes = response.into_body().collect().await?.to_bytes();
    Ok(String::from_utf8(bytes.to_vec()).expect("text"))
}

async fn parsed(response: Response<ResponseBody>) -> Value {
    let text = text(response).await.expect("a complete body");
    serde_json::from_str(&text).expect("JSON")
}

fn words(stream: &str) -> String {
    stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|event| serde_json::from_str::<Value>(event).ok())
        .filter_map(|event| Some(event["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect()
}

fn expected(body: &str, from: u32) -> String {
    let digest = digest::body_digest(body.as_bytes());
    (from..5).map(|n| digest::word(&digest, n)).collect()
}

#[tokio::test]
async fn stream_has_every_word_of_its_own_request() {
    let running = start(fast_settings(), Faults::default()).await;
    let response = chat(&running, "r1", STREAM).await.expect("an answer");
    assert_eq!(response.headers()["x-request-id"], "r1");
    let stream = text(response).await.expect("a complete stream");
    assert_eq!(words(&stream), expected(STREAM, 0));
    assert!(stream.ends_with("data: [DONE]\n\n"));
    assert_eq!(running.runs()[0].end, Some(End::Finished));
}

#[tokio::test]
async fn unstreamed_answer_reports_cached_tokens() {
    let running = start(fast_settings(), Faults::default()).await;
    let first = parsed(chat(&running, "r1", UNSTREAMED).await.expect("an answer")).await;
    let second = parsed(chat(&running, "r2", UNSTREAMED).await.expect("an answer")).await;
    let cached = |answer: &Value| answer["usage"]["prompt_tokens_details"]["cached_tokens"].clone();
    assert_eq!(cached(&first), 0);
    assert_eq!(cached(&second), second["usage"]["prompt_tokens"]);
    let content = &second["choices"][0]["message"]["content"];
    assert_eq!(*content, expected(UNSTREAMED, 0));
}

#[tokio::test]
async fn a_stream_resumes_after_the_last_event_seen() {
    let running = start(fast_settings(), Faults::default()).await;
    let response = chat(&running, "r1", STREAM).await.expect("an answer");
    text(response).await.expect("a complete stream");
    let headers = [("x-request-id", "r1"), ("last-event-id", "3")];
    let path = "/v1/chat/completions";
    let rest = call(running.address(), Method::POST, path, &headers, "").await;
    let rest = text(rest.expect("an answer")).await.expect("the rest");
    assert_eq!(words(&rest), expected(STREAM, 3));
    assert_eq!(running.runs().len(), 1);
}

#[tokio::test]
async fn disconnected_caller_cancels_its_request() {
    let running = start(
        Settings {
            decode: 0.01,
            hold: Duration::ZERO,
            ..fast_settings()
        },
        Faults::default(),
    )
    .await;
    let response = chat(&running, "r1", STREAM).await.expect("an answer");
    drop(response);
    while running.runs()[0].end.is_none() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(running.runs()[0].end, Some(End::Cancelled));
}

#[tokio::test]
async fn a_delete_cancels_a_request() {
    let running = start(
        Settings {
            decode: 0.01,
            ..fast_settings()
        },
        Faults::default(),
    )
    .await;
    let response = chat(&running, "r1", STREAM).await.expect("an answer");
    let path = "/v1/requests/r1";
    let deleted = call(running.address(), Method::DELETE, path, &[], "").await;
    assert_eq!(deleted.expect("an answer").status(), StatusCode::NO_CONTENT);
    text(response).await.expect_err("a truncated stream");
    assert_eq!(running.runs()[0].end, Some(End::Cancelled));
}

#[tokio::test]
async fn crash_marker_restarts_the_engine_as_a_new_incarnation() {
    let running = start(
        fast_settings(),
        Faults {
            crash_marker: Some("poison".to_owned()),
            down_for: Duration::from_millis(20),
            ..Faults::default()
        },
    )
    .await;
    let body = r#"{"model":"route-writer","messages":"poison"}"#;
    let crashed = chat(&running, "r1", body).await;
    assert!(matches!(crashed, Err(Error::Unknown(_))));
    assert_eq!(running.runs()[0].end, Some(End::Crashed));
    assert_eq!(running.incarnation(), 2);
    let back = loop {
        match chat(&running, "r2", UNSTREAMED).await {
            Ok(response) => break parsed(response).await,
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    };
    assert_eq!(back["digest"], digest::body_digest(UNSTREAMED.as_bytes()));
}

#[tokio::test]
async fn faults_truncate_and_cross_answers() {
    let running = start(fast_settings(), Faults::default()).await;
    text(chat(&running, "r1", STREAM).await.expect("an answer"))
        .await
        .expect("a complete stream");
    running.faults().change(|faults| faults.cross = 1.0);
    let crossed = chat(&running, "r2", UNSTREAMED).await.expect("an answer");
    assert_eq!(crossed.headers()["x-request-id"], "r1");
    running.faults().set(Faults {
        truncate: 1.0,
        ..Faults::default()
    });
    let cut = chat(&running, "r3", STREAM).await.expect("an answer");
    text(cut).await.expect_err("a truncated stream");
}

/// Checks that a stream without length or chunks can end in order inside an event, where only
/// its events show that it broke off, and by a reset.
#[tokio::test]
async fn close_delimited_streams_break_off_anywhere() {
    let running = start(fast_settings(), Faults::default()).await;
    running
        .faults()
        .change(|faults| faults.close_delimited = 1.0);
    let response = chat(&running, "r1", STREAM).await.expect("an answer");
    assert_eq!(response.body().framing(), Framing::CloseDelimited);
    let whole = text(response).await.expect("an orderly end");
    assert!(whole.ends_with("data: [DONE]\n\n"), "{whole}");
    for cleanly in [true, false] {
        for after in [0, 1, whole.len() / 2, whole.len() - 20] {
            running.faults().set(Faults {
                close_delimited: 1.0,
                truncate: 1.0,
                truncate_after: Some(after),
                truncate_cleanly: cleanly,
                ..Faults::default()
            });
            let response = chat(&running, "r2", STREAM).await;
            // A reset may overtake the head.
            let Ok(response) = response else {
                assert!(!cleanly, "{after}");
                continue;
            };
            assert_eq!(response.body().framing(), Framing::CloseDelimited);
            match text(response).await {
                Ok(part) => assert_eq!((part.len(), cleanly), (after, true)),
                Err(_) => assert!(!cleanly, "{after}"),
            }
        }
    }
}

#[tokio::test]
async fn an_old_fencing_number_is_refused_or_ignored() {
    let running = start(fast_settings(), Faults::default()).await;
    let order = async |fence: u64, weights: &str| {
        let load = json!({ "model": "captions", "weights": weights });
        let body = json!({ "fence": fence, "load": load }).to_string();
        let given = call(running.address(), Method::POST, "/v1/orders", &[], &body).await;
        given.expect("an answer").status()
    };
    assert_eq!(order(7, "a").await, StatusCode::ACCEPTED);
    assert_eq!(order(6, "b").await, StatusCode::CONFLICT);
    running
        .faults()
        .change(|faults| faults.ignore_fencing = true);
    assert_eq!(order(6, "b").await, StatusCode::ACCEPTED);
    let taken: Vec<_> = running.orders().iter().map(|order| order.taken).collect();
    assert_eq!(taken, [true, false, true]);
}

// One context uses 15 of 20 tokens, so that of a second chat evicts the first.
#[tokio::test]
async fn cache_events_report_evictions() {
    let running = start(
        Settings {
            cache_tokens: 20,
            ..fast_settings()
        },
        Faults::default(),
    )
    .await;
    for prefix in ["chat-1", "chat-2"] {
        let headers = [("x-prefix-key", prefix)];
        let path = "/v1/chat/completions";
        let done = call(running.address(), Method::POST, path, &headers, UNSTREAMED).await;
        text(done.expect("an answer"))
            .await
            .expect("a complete body");
    }
    let path = "/v1/cache-events?from=0";
    let page = call(running.address(), Method::GET, path, &[], "").await;
    let page = parsed(page.expect("an answer")).await;
    let kinds: Vec<_> = page["events"]
        .as_array()
        .expect("events")
        .iter()
        .map(|event| format!("{} {}", event["kind"], event["prefix"]))
        .collect();
    let all = [
        r#""stored" "chat-1""#,
        r#""evicted" "chat-1""#,
        r#""stored" "chat-2""#,
    ];
    assert_eq!(kinds, all);
}

/// A finished stream that is retained for resumption must release its slot.
/// Otherwise the next request waits for the whole hold, and an engine of 16 slots
/// runs at most eight requests per second.
#[tokio::test]
async fn finished_stream_releases_its_slot() {
    let settings = Settings {
        slots: 1,
        hold: 2 * TIMEOUT,
        ..fast_settings()
    };
    let running = start(settings, Faults::default()).await;
    for id in ["first", "second"] {
        let response = chat(&running, id, UNSTREAMED).await;
        assert_eq!(response.expect("an answer").status(), StatusCode::OK);
    }
}
