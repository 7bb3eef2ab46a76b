//! A graceful shutdown cuts off no request.

use godwitpost_router::ShutdownResult;
use http_body_util::BodyExt as _;

use crate::fleet::{Fleet, Size, chat, words};

const SIZE: Size = Size {
    routers: 3,
    engines: 2,
    plains: 0,
};

// Guards against streams cut off while routers are replaced. A router that stops
// has streams of its own callers and relays streams for other instances.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_routers_cuts_off_no_stream() {
    let mut fleet = Fleet::start(SIZE).await;
    let mut streams = Vec::new();
    for n in 0..12 {
        // Two seconds at 200 tokens per second, ten times the balancer's lag.
        let request = chat(&format!("draft {n}"), 400);
        let response = fleet.send(n % SIZE.routers, request).await.unwrap();
        assert_eq!(response.status(), 200);
        streams.push(tokio::spawn(response.into_body().collect()));
    }
    let stopping: Vec<_> = fleet
        .routers
        .drain(..2)
        .map(|router| tokio::spawn(router.stop_gracefully()))
        .collect();
    for stream in streams {
        let body = stream
            .await
            .unwrap()
            .expect("no stream is cut off")
            .to_bytes();
        assert_eq!(words(&body).len(), 400);
    }
    for stopped in stopping {
        assert_eq!(stopped.await.unwrap(), ShutdownResult::Whole);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_router_serves_callers_and_closes_connections() {
    let mut fleet = Fleet::start(SIZE).await;
    let leaving = fleet.routers.remove(0);
    let address = leaving.callers_address();
    let hold = fleet.send(0, chat("keeps another router busy", 4)).await;
    let stream = {
        let request = chat("long", 300);
        let wait = std::time::Duration::from_secs(20);
        fleet.client.send(address, request, wait).await.unwrap()
    };
    let stopping = tokio::spawn(leaving.stop_gracefully());
    crate::fleet::wait_until("readiness fails", async || {
        let (status, _, _) = fleet.get(address, "/readyz").await;
        status == 503
    })
    .await;
    let request = chat("late, since the balancer's list lags", 4);
    let wait = std::time::Duration::from_secs(20);
    let late = fleet.client.send(address, request, wait).await.unwrap();
    assert_eq!(
        (late.status().as_u16(), &late.headers()["connection"]),
        (200, &"close".parse().unwrap())
    );
    assert_eq!(
        words(&late.into_body().collect().await.unwrap().to_bytes()).len(),
        4
    );
    assert_eq!(
        words(&stream.into_body().collect().await.unwrap().to_bytes()).len(),
        300
    );
    hold.unwrap().into_body().collect().await.unwrap();
    assert_eq!(stopping.await.unwrap(), ShutdownResult::Whole);
}
