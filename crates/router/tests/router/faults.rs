//! Instances and endpoints that leave or crash, and other faults.

use std::time::Duration;

use bytes::Bytes;
use godwitpost_bundle::key::PrivateKey;
use godwitpost_router::Running;
use godwitpost_standin::digest;
use http_body_util::BodyExt as _;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

use crate::fleet::{Fleet, Size, chat, key, order, outcome, wait_until, words};

const SIZE: Size = Size {
    routers: 3,
    engines: 3,
    plains: 2,
};

// A router crashes, and the platform's list names it for some seconds more.
// Chats and orders whose owner or batcher it was still arrive at the other
// routers, and each of them must succeed.
#[tokio::test(flavor = "multi_thread")]
async fn crashed_router_causes_no_failures_at_other_routers() {
    let mut fleet = Fleet::start(SIZE).await;
    fleet.routers.remove(0).kill();
    for n in 0..16 {
        let router = n % 2;
        let (status, headers, body) = fleet
            .send_and_read(router, chat(&format!("draft {n}"), 2))
            .await;
        let text = String::from_utf8_lossy(&body);
        assert_eq!((status.as_u16(), outcome(&headers)), (200, "ran"), "{text}");
        let key = key(100 + u16::try_from(n).unwrap());
        let (status, headers, body) = fleet.send_and_read(router, order(&key, "guides")).await;
        let text = String::from_utf8_lossy(&body);
        assert_eq!((status.as_u16(), outcome(&headers)), (200, "ran"), "{text}");
        let runs = fleet.plains.iter().map(|p| p.runs("POST /orders", &key));
        assert_eq!(runs.sum::<usize>(), 1);
    }
}

// An engine announces that it is leaving before the list does. Its chats must be
// placed elsewhere at once, without failures for callers.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_gets_no_requests_and_callers_get_no_errors() {
    let fleet = Fleet::start(SIZE).await;
    fleet.engines[0]
        .faults()
        .change(|faults| faults.leaving = true);
    for n in 0..12 {
        let request = chat(&format!("draft {n}"), 2);
        let (status, headers, body) = fleet.send_and_read(n % SIZE.routers, request).await;
        let text = String::from_utf8_lossy(&body);
        assert_eq!((status.as_u16(), outcome(&headers)), (200, "ran"), "{text}");
    }
    assert!(fleet.engines[0].runs().is_empty());
}

// An engine mixes up two responses. A caller must not get one of another
// workspace's request.
#[tokio::test(flavor = "multi_thread")]
async fn response_to_another_request_never_reaches_a_caller() {
    let fleet = Fleet::start(Size { engines: 1, ..SIZE }).await;
    fleet.send_and_read(0, chat("first", 4)).await;
    fleet.engines[0]
        .faults()
        .change(|faults| faults.cross = 1.0);
    // The first attempt gets the response to `first` and is abandoned; the
    // second attempt gets the response to the first one.
    let (status, _, body) = fleet.send_and_read(1, chat("second", 4)).await;
    let text = String::from_utf8_lossy(&body);
    assert_eq!(status, 200, "{text}");
    let sent = chat("second", 4).into_body().collect().await.unwrap();
    let digest = digest::body_digest(&sent.to_bytes());
    let wanted: Vec<String> = (0..4).map(|n| digest::word(&digest, n)).collect();
    assert_eq!(words(&body), wanted);
    assert_eq!(fleet.engines[0].runs().len(), 3);
}

// A request's deadline passes while the engine works on it. It must not be
// reported as not run.
#[tokio::test(flavor = "multi_thread")]
async fn deadline_that_passes_at_the_engine_makes_the_outcome_unknown() {
    let fleet = Fleet::start(Size { engines: 1, ..SIZE }).await;
    fleet.engines[0]
        .faults()
        .change(|faults| faults.slow = Duration::from_mins(1));
    // A third request would have to wait, because the engine is closed after two
    // failures.
    for router in 0..2 {
        let mut request = chat(&format!("slow {router}"), 4);
        request
            .headers_mut()
            .insert("prefer", "wait=1".parse().unwrap());
        let (status, headers, _) = fleet.send_and_read(router, request).await;
        assert_eq!((status.as_u16(), outcome(&headers)), (504, "unknown"));
    }
}

// A caller loses its connection while its order runs. The order must run to its
// end, once, and the caller must get the response when it sends the key again.
#[tokio::test(flavor = "multi_thread")]
async fn order_of_a_disconnected_caller_runs_once_and_its_response_is_cached() {
    let fleet = Fleet::start(SIZE).await;
    for plain in &fleet.plains {
        plain
            .faults()
            .change(|faults| faults.slow = Duration::from_millis(500));
    }
    let key = key(7);
    let runs = || {
        let runs = fleet.plains.iter().map(|p| p.runs("POST /orders", &key));
        runs.sum::<usize>()
    };
    let address = fleet.routers[0].callers_address();
    let client = fleet.client.clone();
    let request = order(&key, "guides");
    let sending =
        tokio::spawn(async move { client.send(address, request, Duration::from_secs(20)).await });
    wait_until("the order runs", async || runs() == 1).await;
    sending.abort();
    wait_until("its response is cached", async || {
        let (_, headers, _) = fleet.send_and_read(1, order(&key, "guides")).await;
        outcome(&headers) == "ran" && headers.contains_key("godwitpost-replayed")
    })
    .await;
    assert_eq!(runs(), 1);
}

// A router starts while the log is down. It can't read the bundle stream and has
// to get the bundle from another router.
#[tokio::test(flavor = "multi_thread")]
async fn router_that_starts_with_the_log_down_gets_the_bundle_from_a_peer() {
    let mut fleet = Fleet::start(SIZE).await;
    fleet.log.faults().change(|faults| faults.down = true);
    fleet.add_router(3, &PrivateKey::from_seed(&[3; 32]));
    let late = fleet.routers[3].callers_address();
    wait_until("the late router is ready", async || {
        fleet.get(late, "/readyz").await.0 == 200
    })
    .await;
    let (status, _, _) = fleet.send_and_read(3, chat("ice lines", 2)).await;
    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn second_version_replaces_the_first_for_good_on_each_router() {
    let fleet = Fleet::start(SIZE).await;
    let first = fleet.log.records("bundles")[0].clone();
    fleet.publish_version_after(1);
    for router in &fleet.routers {
        let operators = router.operators_address();
        wait_until("the second version is in force", async || {
            let (_, _, bundle) = fleet.get(operators, "/bundle").await;
            let bundle: serde_json::Value = serde_json::from_slice(&bundle).unwrap();
            bundle["version"] == 2
        })
        .await;
    }
    fleet
        .log
        .append("bundles", Bytes::from(first.body.to_vec()));
    let response = fleet.send(2, chat("ice lines", 50)).await.unwrap();
    assert_eq!(response.headers()["godwitpost-version"], "2");
    response.into_body().collect().await.unwrap();
    for router in &fleet.routers {
        let (_, _, bundle) = fleet.get(router.operators_address(), "/bundle").await;
        let bundle: serde_json::Value = serde_json::from_slice(&bundle).unwrap();
        assert_eq!(bundle["version"], 2);
    }
}

// An engine crashes while it computes the prompt, before the first token. The
// request must be retried at another engine.
#[tokio::test(flavor = "multi_thread")]
async fn request_is_retried_elsewhere_after_a_crash_before_the_first_token() {
    let fleet = Fleet::start(SIZE).await;
    for engine in &fleet.engines {
        engine
            .faults()
            .change(|faults| faults.slow = Duration::from_millis(300));
    }
    let sending = fleet.send_and_read(0, chat("ice lines", 4));
    let crashing = async {
        let running = || {
            fleet
                .engines
                .iter()
                .find(|engine| !engine.runs().is_empty())
        };
        wait_until("the draft runs", async || running().is_some()).await;
        running().unwrap().crash(Duration::from_secs(1));
    };
    let ((status, headers, body), ()) = tokio::join!(sending, crashing);
    let text = String::from_utf8_lossy(&body);
    assert_eq!((status.as_u16(), outcome(&headers)), (200, "ran"), "{text}");
    assert_eq!(words(&body).len(), 4);
}

// An engine truncates a response that is not streamed and ends it as if it were
// complete. Only the syntax of the body shows it. The caller must not get the
// truncated response.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_is_not_relayed() {
    let fleet = Fleet::start(SIZE).await;
    for engine in &fleet.engines[..2] {
        engine.faults().change(|faults| {
            faults.truncate = 1.0;
            faults.truncate_cleanly = true;
        });
    }
    for n in 0..4 {
        let request = chat(&format!("draft {n}"), 4);
        let (parts, body) = request.into_parts();
        let body = body.collect().await.unwrap().to_bytes();
        let text = String::from_utf8(body.to_vec()).unwrap();
        let text = text.replace("\"stream\":true", "\"stream\":false");
        let request = http::Request::from_parts(parts, crate::fleet::full(&text));
        let (status, _, body) = fleet.send_and_read(n % SIZE.routers, request).await;
        let response = serde_json::from_slice::<serde_json::Value>(&body).unwrap();
        if status == 200 {
            assert_eq!(response["digest"], digest::body_digest(text.as_bytes()));
        } else {
            assert_eq!(response["outcome"], "unknown");
        }
    }
}

// A prompt crashes each engine that runs it, and its caller sends it again
// through other routers. It must not crash more than two engines, and the first
// response must not claim that it was not run.
#[tokio::test(flavor = "multi_thread")]
async fn prompt_that_crashes_engines_crashes_at_most_two() {
    let fleet = Fleet::start(Size { engines: 8, ..SIZE }).await;
    for engine in &fleet.engines {
        engine.faults().change(|faults| {
            faults.crash_marker = Some("poison".to_owned());
            faults.down_for = Duration::from_millis(100);
        });
    }
    let crashes = || -> u64 { fleet.engines.iter().map(|e| e.incarnation() - 1).sum() };
    for prompt in 0..4 {
        let poison = || chat(&format!("poison {prompt}"), 4);
        let before = crashes();
        let (_, headers, _) = fleet.send_and_read(0, poison()).await;
        assert_eq!(outcome(&headers), "unknown");
        for router in [1, 2, 0] {
            let (status, _, _) = fleet.send_and_read(router, poison()).await;
            assert!(!status.is_success());
        }
        assert!(crashes() - before <= 2, "prompt {prompt}");
    }
}

// The log drops records after its retention, and all routers are replaced at
// once without any state. The bundle must still be in the log.
#[tokio::test(flavor = "multi_thread")]
async fn bundle_outlasts_its_first_record_and_all_routers() {
    let mut fleet = Fleet::start_with(SIZE, Duration::from_secs(3)).await;
    wait_until("the bundle is appended again", async || {
        fleet.log.records("bundles").len() > 1
    })
    .await;
    fleet.log.truncate("bundles", 1);
    fleet.routers.drain(..).for_each(Running::kill);
    fleet.add_router(4, &PrivateKey::from_seed(&[3; 32]));
    let late = fleet.routers[0].callers_address();
    wait_until("a router without state is ready", async || {
        fleet.get(late, "/readyz").await.0 == 200
    })
    .await;
}

// A router starts without state and reads weeks of versions. If it served
// before it has read them all, it would apply bundles that were replaced long
// ago.
#[tokio::test(flavor = "multi_thread")]
async fn router_that_is_reading_the_stream_serves_under_no_old_version() {
    // More than one page.
    const LAST: u64 = 1050;
    let mut fleet = Fleet::start(Size { routers: 0, ..SIZE }).await;
    (1..LAST).for_each(|version| fleet.publish_version_after(version));
    // Leaves time to check the version between two pages.
    let slow = Duration::from_millis(200);
    fleet.log.faults().change(|faults| faults.slow = slow);
    fleet.add_router(0, &PrivateKey::from_seed(&[3; 32]));
    let operators = fleet.routers[0].operators_address();
    wait_until("the last version is in force", async || {
        let (_, _, bundle) = fleet.get(operators, "/bundle").await;
        let bundle: serde_json::Value = serde_json::from_slice(&bundle).unwrap();
        let version = bundle["version"].as_u64().unwrap();
        assert!(version == 0 || version == LAST, "{version}");
        version == LAST
    })
    .await;
}

// A service ends its response by closing the connection, so that nothing shows
// whether the response is complete. A list must not be relayed as complete, and
// an order must not be reported as run.
#[tokio::test(flavor = "multi_thread")]
async fn response_that_ends_with_its_connection_is_not_relayed_as_complete() {
    let fleet = Fleet::start(Size { plains: 0, ..SIZE }).await;
    let service = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    fleet.list_plain("unframed", service.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = service.accept().await {
            let mut head = [0; 4096];
            assert!(stream.read(&mut head).await.unwrap() > 0);
            let response = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf";
            stream.write_all(response).await.unwrap();
        }
    });
    let stock = || {
        http::Request::post("/stock")
            .header("godwitpost-workspace", "otaru")
            .body(crate::fleet::full(""))
            .unwrap()
    };
    wait_until(
        "the service is known and its response breaks off",
        async || {
            let response = fleet.send(0, stock()).await.unwrap();
            let status = response.status();
            let body = response.into_body().collect().await;
            assert!(status == 503 || body.is_err(), "{status}");
            status == 200
        },
    )
    .await;
    let (_, headers, _) = fleet.send_and_read(0, order(&key(8), "guides")).await;
    assert_eq!(outcome(&headers), "unknown");
}

// A router starts while the list is down and reads the bundle from the log. If
// it were ready with the bundle alone, the balancer would send it requests, and
// all of them would fail because it knows no endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn router_is_not_ready_before_it_has_read_the_list() {
    let mut fleet = Fleet::start(SIZE).await;
    fleet.list.faults().change(|faults| faults.down = true);
    fleet.add_router(9, &PrivateKey::from_seed(&[3; 32]));
    let late = fleet.routers.last().unwrap();
    let (callers, operators) = (late.callers_address(), late.operators_address());
    wait_until("the new router holds the bundle", async || {
        let (_, _, bundle) = fleet.get(operators, "/bundle").await;
        let bundle: serde_json::Value = serde_json::from_slice(&bundle).unwrap();
        bundle["version"] == 1
    })
    .await;
    let (status, _, text) = fleet.get(callers, "/readyz").await;
    assert_eq!(
        (status.as_u16(), &*text),
        (503, b"no instance list yet\n".as_slice())
    );
    fleet.list.faults().change(|faults| faults.down = false);
    wait_until("the new router is ready", async || {
        fleet.get(callers, "/readyz").await.0 == 200
    })
    .await;
    let (status, _, _) = fleet
        .send_and_read(fleet.routers.len() - 1, chat("ice lines", 4))
        .await;
    assert_eq!(status, 200);
}
