//! Responses whose endpoint stops in the middle of their head.

use godwitpost_standin::path::Path;

use crate::endpoint::{Endpoint, ReceivedRequest, Step};
use crate::fleet::{TestInstance, free_addresses};
use crate::forwarding::start_fleet;

/// How an endpoint says where its response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    /// With the end of its connection.
    None,
}

/// The pauses before an endpoint ends its connection, in milliseconds: none, and one in which the
/// part of the head was read.
const PAUSES_MS: [u64; 2] = [0, 3];

// Returns the head of a response to an attempt.
fn head(attempt: &str, framing: Framing, media_type: &str) -> String {
    let framing = match framing {
        Framing::Length => "content-length: 12\r\n",
        Framing::Chunks => "transfer-encoding: chunked\r\n",
        Framing::None => "",
    };
    format!(
        "HTTP/1.1 200 OK\r\nx-attempt: {attempt}\r\nx-signed: s1\r\ncontent-type: {media_type}\r\n{framing}\r\n"
    )
}

// Returns what callers may not see of a head that was cut: a success that ends.
fn is_framed_as_whole(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let length = head.split_once("content-length: ").map(|(_, rest)| {
        let digits = rest.lines().next().unwrap_or_default();
        digits.parse::<usize>().expect("a length")
    });
    let is_complete = match length {
        Some(length) => body.len() >= length,
        None => body.ends_with("0\r\n\r\n"),
    };
    head.starts_with("http/1.1 200") && is_complete
}

// Starts an endpoint that sends as much of a head as the request says, after `before`, and ends
// its connection.
async fn start_endpoint(
    framing: Framing,
    media_type: &'static str,
    before: &'static str,
    last: Step,
) -> Endpoint {
    let script = move |_: usize, received: &ReceivedRequest| {
        let attempt = received.header("x-attempt").unwrap_or_default();
        let number = |name: &str| {
            let text = received.header(name).expect("a header of the test");
            text.parse::<u64>().expect("a number")
        };
        let cut_at = usize::try_from(number("x-cut-at")).expect("a place in the head");
        let part = head(attempt, framing, media_type)[..cut_at].to_owned();
        vec![
            Step::Send(format!("{before}{part}")),
            Step::Wait(number("x-pause")),
            last.clone(),
        ]
    };
    Endpoint::start(script).await
}

// Cuts the heads of responses on these routes at each byte. A complete head without a length or
// chunks is a whole response of an empty body if its connection is closed.
async fn assert_no_cut_head_is_whole(paths: &[(&str, &str)], media_type: &'static str) {
    for framing in [Framing::Length, Framing::Chunks, Framing::None] {
        for before in ["", "HTTP/1.1 100 Continue\r\n\r\n"] {
            for last in [Step::Close, Step::Reset] {
                let endpoint = start_endpoint(framing, media_type, before, last.clone()).await;
                let instance = TestInstance::start_without_retry_limit(&[endpoint.address]).await;
                let is_bodiless = framing == Framing::None
                    && media_type != "text/event-stream"
                    && matches!(last, Step::Close);
                let whole = head("a1", framing, media_type).len();
                for cut_at in 0..=whole - usize::from(is_bodiless) {
                    for (pause, (method, path)) in PAUSES_MS
                        .iter()
                        .flat_map(|pause| paths.iter().map(move |path| (pause, path)))
                    {
                        let headers = format!("x-cut-at: {cut_at}\r\nx-pause: {pause}\r\n");
                        let response = instance.call(method, path, &headers).await;
                        assert!(
                            !is_framed_as_whole(&response),
                            "{framing:?} {last:?} {path} at {cut_at} of {whole}: {response}"
                        );
                    }
                }
                assert!(!endpoint.received().is_empty());
            }
        }
    }
}

/// Guards against a plain answer of which only a part of the head came, framed as whole.
#[tokio::test]
async fn plain_answer_cut_in_its_head_is_not_whole() {
    let paths = [("GET", "/stock/1"), ("POST", "/order/1")];
    assert_no_cut_head_is_whole(&paths, "text/plain").await;
}

/// Guards against the same for streams, which may be resumed or not.
#[tokio::test]
async fn stream_cut_in_its_head_is_not_whole() {
    let paths = [("POST", "/draft/1"), ("POST", "/caption/1")];
    assert_no_cut_head_is_whole(&paths, "text/event-stream").await;
}

/// Guards against the same on a connection that has served a whole answer before.
#[tokio::test]
async fn answer_cut_in_its_head_on_a_used_connection_is_not_whole() {
    let script = |_: usize, received: &ReceivedRequest| {
        let attempt = received.header("x-attempt").unwrap_or_default();
        let head = head(attempt, Framing::Length, "text/plain");
        match received.header("x-cut-at") {
            None => vec![Step::Send(format!("{head}twelve bytes"))],
            Some(cut_at) => {
                let cut_at: usize = cut_at.parse().expect("a place in the head");
                vec![Step::Send(head[..cut_at].to_owned()), Step::Close]
            }
        }
    };
    let endpoint = Endpoint::start(script).await;
    let instance = TestInstance::start_without_retry_limit(&[endpoint.address]).await;
    let whole = head("a1", Framing::Length, "text/plain").len();
    for cut_at in 1..=whole {
        let first = instance.call("GET", "/stock/1", "").await;
        assert!(is_framed_as_whole(&first), "{first}");
        let cut = format!("x-cut-at: {cut_at}\r\n");
        let response = instance.call("GET", "/stock/1", &cut).await;
        assert!(!is_framed_as_whole(&response), "at {cut_at}: {response}");
    }
    assert!(endpoint.connections() < endpoint.received().len());
}

/// Guards against the same where a second endpoint is tried: one that cuts its head too, or one that
/// answers.
#[tokio::test]
async fn second_attempt_cut_in_its_head_is_not_whole() {
    const BODY: &str = "twelve bytes";
    let sound = |_: usize, received: &ReceivedRequest| {
        let attempt = received.header("x-attempt").unwrap_or_default();
        let head = head(attempt, Framing::Length, "text/plain");
        vec![Step::Send(format!("{head}{BODY}"))]
    };
    for last in [Step::Close, Step::Reset] {
        for is_second_sound in [false, true] {
            let start = || start_endpoint(Framing::Length, "text/plain", "", last.clone());
            let first = start().await;
            let second = if is_second_sound {
                Endpoint::start(sound).await
            } else {
                start().await
            };
            let addresses = [first.address, second.address];
            let instance = TestInstance::start_without_retry_limit(&addresses).await;
            for cut_at in 0..=head("a1", Framing::Length, "text/plain").len() {
                let headers = format!("x-cut-at: {cut_at}\r\nx-pause: 0\r\n");
                let response = instance.call("GET", "/stock/1", &headers).await;
                let is_sound = is_second_sound && response.ends_with(BODY);
                assert!(
                    is_sound || !is_framed_as_whole(&response),
                    "{last:?} at {cut_at}: {response}"
                );
            }
            assert!(!first.received().is_empty() && !second.received().is_empty());
        }
    }
}

/// Guards against the same through another instance.
#[tokio::test]
async fn answer_cut_in_its_head_behind_another_instance_is_not_whole() {
    for (framing, media_type, paths) in [
        (
            Framing::Length,
            "text/plain",
            [("GET", "/stock/1"), ("POST", "/order/1")],
        ),
        (
            Framing::None,
            "text/event-stream",
            [("POST", "/draft/1"), ("POST", "/caption/1")],
        ),
    ] {
        for last in [Step::Close, Step::Reset] {
            let endpoint = start_endpoint(framing, media_type, "", last.clone()).await;
            let [refused] = free_addresses();
            let cut_off = Path::new(refused, endpoint.address);
            let endpoints = [endpoint];
            let [instance, _second, _third] = start_fleet(&[cut_off], &endpoints).await;
            for cut_at in 0..=head("a1", framing, media_type).len() {
                for (method, path) in paths {
                    let headers = format!("x-cut-at: {cut_at}\r\nx-pause: 0\r\n");
                    let response = instance.call(method, path, &headers).await;
                    assert!(
                        !is_framed_as_whole(&response),
                        "{framing:?} {last:?} {path} at {cut_at}: {response}"
                    );
                }
            }
            let received = endpoints[0].received().len();
            let places = head("a1", framing, media_type).len();
            assert!(received >= places, "{framing:?} {last:?}: {received}");
        }
    }
}
