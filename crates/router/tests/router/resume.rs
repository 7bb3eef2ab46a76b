//! Streams whose connection breaks while the engine still holds them.

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

/// The numbers of a stream's events, in order.
fn numbers(stream: &[u8]) -> Vec<usize> {
    let text = String::from_utf8(stream.to_vec()).unwrap();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

// An engine's connection breaks in the middle of an event of a draft, and the
// engine works on. The editor gets the rest through whichever router it came
// in at: each event once, from the one run, and nothing of the half one.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_broken_within_an_event_arrives_whole() {
    let fleet = Fleet::start(SIZE).await;
    for engine in &fleet.engines {
        engine.faults().change(|faults| {
            faults.truncate = 1.0;
            faults.truncate_within = true;
            faults.truncate_once = true;
        });
    }
    // One prompt has one owner, so two of three go over another instance.
    for router in 0..SIZE.routers {
        let (status, _, body) = fleet.send_and_read(router, chat("sea ice", 20)).await;
        assert_eq!(status, 200);
        let sent = chat("sea ice", 20).into_body().collect().await.unwrap();
        let digest = digest::of(&sent.to_bytes());
        let wanted: String = (0..20).map(|n| digest::word(&digest, n)).collect();
        assert_eq!(words(&body).concat(), wanted);
        // One event for each token, and the last one with the usage.
        assert_eq!(numbers(&body), (1..=21).collect::<Vec<_>>());
        assert!(body.ends_with(b"data: [DONE]\n\n"));
    }
    let runs = fleet.engines.iter().map(|engine| engine.runs().len());
    assert_eq!(runs.sum::<usize>(), SIZE.routers);
}

// An engine breaks a draft off and has forgotten it when it is asked for the
// rest. The editor must not take half a draft, or the engine's refusal joined
// on to it, for the whole: the caller's connection breaks, and nothing runs
// anew behind it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_its_engine_forgot_breaks_off() {
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
