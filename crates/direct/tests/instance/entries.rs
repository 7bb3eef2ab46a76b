//! Records with values at the limits of their types, as another writer may leave them.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use godwitpost_direct::ShutdownResult;
use godwitpost_direct::policy::{Ramp, Service};
use godwitpost_direct::roster::Registration;
use godwitpost_direct::source::Value;
use godwitpost_types::endpoint::Standing;

use crate::endpoint::{Endpoint, ReceivedRequest, Step, ok_with_body, response_to};
use crate::fleet::{TestInstance, content, read_rest, registration, request, wait_until};
use crate::peers::wait_until_log_unread;

/// An address at which nobody listens.
const UNUSED: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

// Waits until an instance that follows its list sends requests to an endpoint.
async fn wait_until_used(instance: &TestInstance, endpoint: &Endpoint) {
    wait_until(async || {
        instance.call("GET", "/stock/1", "").await;
        !endpoint.received().is_empty()
    })
    .await;
}

// Returns entries that are sound but for one field.
fn odd_entries() -> Vec<Registration> {
    let sound = |n: usize| registration(&format!("odd-{n}"), UNUSED, Standing::Live);
    let endless = Registration {
        warming: Duration::MAX,
        ..sound(0)
    };
    let many_slots = Registration {
        slots: u32::MAX,
        ..sound(1)
    };
    let late_start = Registration {
        started_at: SystemTime::UNIX_EPOCH.checked_add(Duration::from_secs(i64::MAX as u64)),
        ..sound(2)
    };
    let mut last_incarnation = sound(3);
    last_incarnation.endpoint.incarnation = u64::MAX;
    vec![endless, many_slots, late_start, last_incarnation]
}

/// Guards against an instance that follows no change of the list any more, since one entry has a
/// value that can't be added to a time, and says that it is ready all the same.
#[tokio::test]
async fn list_is_followed_after_odd_entries() {
    let first = Endpoint::start(ok_with_body("ok")).await;
    let later = Endpoint::start(ok_with_body("ok")).await;
    let instances = TestInstance::start_seed_and_poller(&[first.address]).await;
    let [seed, poller] = &instances;
    wait_until_log_unread(poller).await;
    for entry in odd_entries() {
        let name = entry.endpoint.name.clone();
        seed.endpoints.append(&name, Value::Set(entry.clone()));
        seed.endpoints.append(&name, Value::Set(entry));
    }
    seed.register("later", later.address);
    wait_until_used(seed, &later).await;
    let before = later.received().len();
    wait_until(async || {
        poller.call("GET", "/stock/1", "").await;
        later.received().len() > before
    })
    .await;
}

/// Guards against an instance that follows no change any more, since a time of the configuration
/// can't be added to another one.
#[tokio::test]
async fn list_is_followed_after_a_version_with_endless_times() {
    let first = Endpoint::start(ok_with_body("ok")).await;
    let later = Endpoint::start(ok_with_body("ok")).await;
    let instance = TestInstance::start(&[first.address]).await;
    let mut changed = content(2);
    for route in &mut changed.routes {
        route.timeout = Duration::MAX;
    }
    let services = changed.services.into_iter();
    let with_ramp = services.map(|(id, service)| {
        let ramp = Some(Ramp {
            time: Duration::MAX,
            spacing: Duration::ZERO,
        });
        (id, Service { ramp, ..service })
    });
    changed.services = with_ramp.collect();
    instance.publish(changed);
    instance.set_evacuated("otaru", true);
    tokio::time::sleep(Duration::from_millis(300)).await;
    instance.set_evacuated("otaru", false);
    instance.register("later", later.address);
    wait_until_used(&instance, &later).await;
    assert!(instance.is_ready().await);
}

/// Guards against an instance that goes on saying that it is ready after a task that renews what
/// it knows has ended by a fault of the program. Requests in flight are finished.
#[tokio::test]
async fn instance_whose_list_is_not_followed_is_not_ready() {
    let slow = |_: usize, received: &ReceivedRequest| {
        vec![Step::Wait(600), response_to(received, "200 OK", "", "ok")]
    };
    let endpoint = Endpoint::start(slow).await;
    let instance = TestInstance::start(&[endpoint.address]).await;
    let mut open = instance.open(&request("POST", "/order/1", "", "")).await;
    wait_until(async || !endpoint.received().is_empty()).await;
    instance.endpoints.set_faulty();
    wait_until(async || !instance.is_ready().await).await;
    assert_eq!(instance.running.wait_for_failure().await, "endpoints");
    let stopping = tokio::spawn(instance.running.stop());
    let response = read_rest(&mut open).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let stopped = stopping.await.expect("a shutdown");
    assert_eq!(stopped, ShutdownResult::Drained);
}
