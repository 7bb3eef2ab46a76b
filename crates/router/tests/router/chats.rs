//! Chats: streamed whole or visibly broken, and cancelled when unwanted.

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
async fn a_chat_streams_whole_through_each_router() {
    let fleet = Fleet::start(SIZE).await;
    for router in 0..SIZE.routers {
        let (status, headers, body) = fleet.send_and_read(router, chat("ice lines", 8)).await;
        assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
        assert_eq!(outcome(&headers), "ran");
        assert_eq!(headers["godwitpost-version"], "1");
        let sent = chat("ice lines", 8).into_body().collect().await.unwrap();
        let digest = digest::of(&sent.to_bytes());
        let wanted: Vec<String> = (0..8).map(|n| digest::word(&digest, n)).collect();
        assert_eq!(words(&body), wanted);
        assert!(body.ends_with(b"data: [DONE]\n\n"));
    }
    // One chat has one home, whichever router its turns come in at.
    let busy = fleet
        .engines
        .iter()
        .filter(|engine| !engine.runs().is_empty());
    assert_eq!(busy.count(), 1);
}

// An engine breaks off in the middle of a draft, once with a cut connection
// and once as if the stream were complete. The editor must not take half a
// text for the whole: the caller's connection has to break, too.
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_stream_never_looks_complete() {
    for cleanly in [false, true] {
        // Four engines: one that broke twice gets nothing for a while.
        let fleet = Fleet::start(Size { engines: 4, ..SIZE }).await;
        for engine in &fleet.engines {
            engine.faults().change(|faults| {
                faults.truncate = 1.0;
                faults.truncate_cleanly = cleanly;
            });
        }
        for router in 0..SIZE.routers {
            // One prompt each: the same one twice would be quarantined.
            let request = chat(&format!("half a text {router}"), 20);
            let response = fleet.send(router, request).await.unwrap();
            // A break before the first token is repeated, until the request
            // is held to be the cause.
            if response.status() != 200 {
                assert_eq!(outcome(response.headers()), "unknown");
                continue;
            }
            let whole = response.into_body().collect().await;
            assert!(whole.is_err(), "cleanly: {cleanly}, router {router}");
        }
    }
}

// An editor closes the page during a long draft. Without a cancel the engine
// would go on for a minute, and others wait behind nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_cancels_at_the_engine() {
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
