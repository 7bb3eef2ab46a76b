//! Resuming streams whose connection to the engine breaks.

use godwitpost_client::connect::Body;
use godwitpost_standin::digest;
use godwitpost_standin::engine;
use http::Request;
use http_body_util::BodyExt as _;

use crate::fleet::{Fleet, Size, chat, full, words};

const SIZE: Size = Size {
    routers: 3,
    engines: 2,
    plains: 0,
};

/// Returns the ids of a stream's events, in order.
fn event_ids(stream: &[u8]) -> Vec<usize> {
    let text = String::from_utf8(stream.to_vec()).unwrap();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

// An engine's connection breaks in the middle of an event while the engine
// continues. Through each router, the caller must get every event exactly once,
// from a single run, and nothing of the partial event.
#[tokio::test(flavor = "multi_thread")]
async fn stream_broken_within_an_event_is_resumed() {
    let fleet = Fleet::start(SIZE).await;
    for engine in &fleet.engines {
        engine.faults().change(|faults| {
            faults.truncate = 1.0;
            faults.truncate_within = true;
            faults.truncate_once = true;
        });
    }
    // A prompt has one owner, so two of the three routers forward it.
    for router in 0..SIZE.routers {
        let (status, _, body) = fleet.send_and_read(router, chat("sea ice", 20)).await;
        assert_eq!(status, 200);
        let sent = chat("sea ice", 20).into_body().collect().await.unwrap();
        let digest = digest::body_digest(&sent.to_bytes());
        let expected: String = (0..20).map(|n| digest::word(&digest, n)).collect();
        assert_eq!(words(&body).concat(), expected);
        // One event for each token, and a last one with the usage.
        assert_eq!(event_ids(&body), (1..=21).collect::<Vec<_>>());
        assert!(body.ends_with(b"data: [DONE]\n\n"));
    }
    let runs = fleet.engines.iter().map(|engine| engine.runs().len());
    assert_eq!(runs.sum::<usize>(), SIZE.routers);
}

// An engine breaks off a stream and no longer holds it when the rest is
// requested. The caller must not take the partial stream, or the engine's
// refusal appended to it, for the complete one: its connection must break, and
// the request must not be run again.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_its_engine_no_longer_holds_breaks_off() {
    let fleet = Fleet::start(SIZE).await;
    for router in 0..SIZE.routers {
        let request = chat(&format!("lost ice {router}"), 100_000);
        let response = fleet.send(router, request).await.unwrap();
        assert_eq!(response.status(), 200);
        let id = response.headers()["x-request-id"].to_str().unwrap();
        let path = format!("/v1/requests/{id}");
        let mut body = response.into_body();
        body.frame().await.unwrap().unwrap();
        for engine in &fleet.engines {
            forget(&fleet, engine, &path).await;
        }
        let mut read = Vec::new();
        let end = loop {
            match body.frame().await {
                Some(Ok(frame)) => read.extend_from_slice(frame.data_ref().unwrap()),
                end => break end,
            }
        };
        assert!(matches!(end, Some(Err(_))), "router {router}");
        assert!(!String::from_utf8_lossy(&read).contains("no longer held"));
    }
    let runs = fleet.engines.iter().map(|engine| engine.runs().len());
    assert_eq!(runs.sum::<usize>(), SIZE.routers);
}

async fn forget(fleet: &Fleet, engine: &engine::Running, path: &str) {
    let request: Request<Body> = Request::delete(path).body(full("")).unwrap();
    let wait = std::time::Duration::from_secs(5);
    let sent = fleet.client.send(engine.address(), request, wait).await;
    assert_eq!(sent.unwrap().status(), 204);
}
