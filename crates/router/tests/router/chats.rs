//! Chats: complete or visibly broken streams, and cancellation.

use godwitpost_standin::digest;
use godwitpost_standin::engine::{self, End};
use http_body_util::BodyExt as _;

use crate::fleet::{Fleet, Size, chat, outcome, wait_until, words};

const SIZE: Size = Size {
    routers: 3,
    engines: 2,
    plains: 0,
};

#[tokio::test(flavor = "multi_thread")]
async fn chat_streams_completely_through_each_router() {
    let fleet = Fleet::start(SIZE).await;
    for router in 0..SIZE.routers {
        let (status, headers, body) = fleet.send_and_read(router, chat("ice lines", 8)).await;
        assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
        assert_eq!(outcome(&headers), "ran");
        assert_eq!(headers["godwitpost-version"], "1");
        let sent = chat("ice lines", 8).into_body().collect().await.unwrap();
        let digest = digest::body_digest(&sent.to_bytes());
        let expected: Vec<String> = (0..8).map(|n| digest::word(&digest, n)).collect();
        assert_eq!(words(&body), expected);
        assert!(body.ends_with(b"data: [DONE]\n\n"));
    }
    // A chat has one home, whichever router receives its turns.
    let busy = fleet
        .engines
        .iter()
        .filter(|engine| !engine.runs().is_empty());
    assert_eq!(busy.count(), 1);
}

// Returns whether a stream has every word of an answer of so many, and its end.
fn is_whole(stream: &[u8], words: u32) -> bool {
    let text = String::from_utf8_lossy(stream);
    let has_word = |n| text.contains(&format!(".{n} \""));
    (0..words).all(has_word) && text.ends_with("data: [DONE]\n\n")
}

// An engine breaks off in the middle of a stream, once with a broken connection
// and once as if the stream were complete. The caller must not take a partial
// text for the complete one, so its connection has to break too. Only where the
// engine was done before it broke off can the rest be fetched.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_stream_never_looks_complete() {
    const WORDS: u32 = 400;
    let mut broken = 0;
    for cleanly in [false, true] {
        // Four engines, since one that broke off twice is not used for a while.
        let fleet = Fleet::start(Size { engines: 4, ..SIZE }).await;
        for engine in &fleet.engines {
            engine.faults().change(|faults| {
                faults.truncate = 1.0;
                faults.truncate_cleanly = cleanly;
            });
        }
        for router in 0..SIZE.routers {
            // Each router gets its own prompt: the same one twice would be
            // quarantined.
            let request = chat(&format!("half a text {router}"), WORDS);
            let response = fleet.send(router, request).await.unwrap();
            // A break before the first token is retried until the request is
            // considered the cause.
            if response.status() != 200 {
                assert_eq!(outcome(response.headers()), "unknown");
                continue;
            }
            match response.into_body().collect().await {
                Err(_truncated) => broken += 1,
                Ok(stream) => {
                    let stream = stream.to_bytes();
                    let told = format!("cleanly: {cleanly}, router {router}: {stream:?}");
                    assert!(is_whole(&stream, WORDS), "{told}");
                }
            }
        }
    }
    assert!(broken > 0, "no stream broke off");
}

// A caller disconnects during a long response. Without a cancel the engine would
// continue for a minute, and other requests would wait for an unwanted one.
#[tokio::test(flavor = "multi_thread")]
async fn disconnected_caller_cancels_the_request_at_the_engine() {
    let fleet = Fleet::start(SIZE).await;
    for router in 0..SIZE.routers {
        let mut response = fleet
            .send(router, chat("never read", 100_000))
            .await
            .unwrap();
        response.frame().await.unwrap().unwrap();
        drop(response);
    }
    wait_until("each run is cancelled", async || {
        let runs = fleet.engines.iter().flat_map(engine::Running::runs);
        let ends: Vec<Option<End>> = runs.map(|run| run.end).collect();
        ends.len() == SIZE.routers && ends.iter().all(|end| *end == Some(End::Cancelled))
    })
    .await;
}
