//! Orders to engines, under leases on the log.

use std::collections::BTreeSet;
use std::time::Duration;

use godwitpost_router::Running;
use godwitpost_standin::engine::{self, OrderAction};
use godwitpost_state::lease::{LEASE_DURATION, Operation, Record, STREAM_NAME, Table};
use godwitpost_types::id::{self, Offset};
use http::Request;

use crate::fleet::{Fleet, Size, chat, full, outcome, wait_until, wait_until_within};

const SIZE: Size = Size {
    routers: 3,
    engines: 3,
    plains: 0,
};

/// Far above a lease's duration, a successor's wait and three loads, 45 s in all.
const MAX_LEASE_WAIT: Duration = Duration::from_mins(3);

/// Returns the router that holds the lease, with its fencing number.
fn holder(fleet: &Fleet) -> Option<(u64, Offset)> {
    let mut table = Table::new();
    for record in fleet.log.records(STREAM_NAME) {
        let decoded = Record::decode(&record.body);
        table.apply(record.offset, record.time, decoded.as_ref());
    }
    let current = table.current(id::from_name("drafting"))?;
    (table.log_time() < current.expires_at).then_some((current.holder, current.fence))
}

async fn wait_for_holder(fleet: &Fleet, but: Option<u64>) -> (u64, Offset) {
    let wanted = || holder(fleet).filter(|(holder, _)| Some(*holder) != but);
    wait_until_within(MAX_LEASE_WAIT, "a router holds the lease", async || {
        wanted().is_some()
    })
    .await;
    wanted().unwrap()
}

// The first lease may go to a router whose view is not complete yet, which
// releases it at once. A lease that was renewed is known to its holder and stays.
async fn wait_for_renewal(fleet: &Fleet) -> (u64, Offset) {
    let renewed = || {
        let (holder, fence) = holder(fleet)?;
        let mut records = fleet.log.records(STREAM_NAME).into_iter();
        let renews = |record: &Record| record.operation == Operation::Renew(fence);
        let known = records.any(|r| Record::decode(&r.body).as_ref().is_some_and(renews));
        known.then_some((holder, fence))
    };
    wait_until_within(MAX_LEASE_WAIT, "a router renews the lease", async || {
        renewed().is_some()
    })
    .await;
    renewed().unwrap()
}

fn remove_router(fleet: &mut Fleet, holder: u64) -> Running {
    let names = ["router-0", "router-1", "router-2"];
    let index = names.iter().position(|name| id::from_name(name) == holder);
    fleet.routers.remove(index.unwrap())
}

fn count_with_model(fleet: &Fleet, model: &str) -> usize {
    let wanted = BTreeSet::from([model.to_owned()]);
    let engines = fleet.engines.iter();
    engines.filter(|engine| engine.models() == wanted).count()
}

fn orders(fleet: &Fleet) -> Vec<engine::Order> {
    let engines = fleet.engines.iter();
    engines.flat_map(engine::Running::orders).collect()
}

/// Sends an order as a former holder would and returns the status.
async fn send_stale_order(fleet: &Fleet, engine: usize, fence: Offset, weights: &str) -> u16 {
    let order = serde_json::json!({
        "fence": fence,
        "load": {"model": "writer", "weights": weights},
    });
    let request = Request::post("/v1/orders").body(full(&order.to_string()));
    let address = fleet.engines[engine].address();
    let sent = fleet
        .client
        .send(address, request.unwrap(), LEASE_DURATION)
        .await;
    sent.unwrap().status().as_u16()
}

async fn send_draft(fleet: &Fleet, n: usize) {
    let request = chat(&format!("draft {n}"), 2);
    let (status, headers, body) = fleet.send_and_read(n % fleet.routers.len(), request).await;
    let text = String::from_utf8_lossy(&body);
    assert_eq!((status.as_u16(), outcome(&headers)), (200, "ran"), "{text}");
}

// An operator changes a model's weights. Every engine must load the new ones,
// pulling them once from the store, and no request may fail meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn new_weights_reach_every_engine_without_failed_requests() {
    let fleet = Fleet::start(SIZE).await;
    fleet.publish_weights("8");
    let mut drafts = 0;
    wait_until_within(
        MAX_LEASE_WAIT,
        "every engine has the new weights",
        async || {
            send_draft(&fleet, drafts).await;
            drafts += 1;
            count_with_model(&fleet, "writer@8") == SIZE.engines
        },
    )
    .await;
    let (_, fence) = wait_for_holder(&fleet, None).await;
    let orders = orders(&fleet);
    assert_eq!(orders.len(), SIZE.engines, "{orders:?}");
    for order in &orders {
        assert!(order.taken && order.fence == fence, "{order:?}");
    }
    assert_eq!(fleet.store.pulls(), ["writer/8"; SIZE.engines]);
}

// The lease's holder crashes in the middle of a rollout. Another router must
// finish it, and a late order of the crashed holder must not bring the old
// weights back.
#[tokio::test(flavor = "multi_thread")]
async fn killed_holder_is_succeeded_and_its_fence_refused() {
    let mut fleet = Fleet::start(SIZE).await;
    fleet.publish_weights("8");
    wait_until_within(MAX_LEASE_WAIT, "the rollout has begun", async || {
        !orders(&fleet).is_empty()
    })
    .await;
    let (first, old) = wait_for_holder(&fleet, None).await;
    remove_router(&mut fleet, first).kill();
    wait_until_within(MAX_LEASE_WAIT, "the rollout is finished", async || {
        count_with_model(&fleet, "writer@8") == SIZE.engines
    })
    .await;
    let (_, fence) = wait_for_holder(&fleet, Some(first)).await;
    assert!(fence > old);
    let ordered: Vec<usize> = (0..SIZE.engines)
        .filter(|&n| fleet.engines[n].orders().iter().any(|o| o.fence == fence))
        .collect();
    assert!(!ordered.is_empty(), "the successor gave orders");
    for engine in ordered {
        assert_eq!(send_stale_order(&fleet, engine, old, "7").await, 409);
    }
    assert_eq!(count_with_model(&fleet, "writer@8"), SIZE.engines);
}

// Two routers send orders at the same time: the first was paused before it sent
// one, and its lease went to another meanwhile. The engine ignores fencing
// numbers and obeys the late order. The holder must see the wrong weights in the
// engine's report and order the wanted ones again.
#[tokio::test(flavor = "multi_thread")]
async fn engine_that_ignores_fencing_numbers_ends_in_the_wanted_state() {
    let mut fleet = Fleet::start(SIZE).await;
    for engine in &fleet.engines {
        engine
            .faults()
            .change(|faults| faults.ignore_fencing = true);
    }
    let (first, old) = wait_for_renewal(&fleet).await;
    let stopped = remove_router(&mut fleet, first);
    stopped.stop_gracefully().await;
    let (_, fence) = wait_for_holder(&fleet, Some(first)).await;
    let released = fleet.log.records(STREAM_NAME).iter().any(|record| {
        let record = Record::decode(&record.body);
        record.is_some_and(|record| {
            record.holder == first && record.operation == Operation::Release(old)
        })
    });
    assert!(released, "a graceful shutdown releases the lease");
    assert_eq!(send_stale_order(&fleet, 0, old, "6").await, 202);
    wait_until("the engine obeys", async || {
        count_with_model(&fleet, "writer@6") == 1
    })
    .await;
    wait_until_within(MAX_LEASE_WAIT, "the wanted weights are back", async || {
        count_with_model(&fleet, "writer@7") == SIZE.engines
    })
    .await;
    let last = fleet.engines[0].orders().pop().unwrap();
    let wanted = OrderAction::Load {
        model: "writer".to_owned(),
        weights: "7".to_owned(),
    };
    assert_eq!((last.fence, last.wanted), (fence, wanted));
}

// The log is down for long, so no router can know that it holds the lease. An
// engine with wrong weights must get no order, and chats must succeed. Once the
// log is back, orders are sent again.
#[tokio::test(flavor = "multi_thread")]
async fn with_the_log_down_no_order_is_sent_and_chats_succeed() {
    let fleet = Fleet::start(SIZE).await;
    for engine in &fleet.engines {
        engine
            .faults()
            .change(|faults| faults.ignore_fencing = true);
    }
    let (_, fence) = wait_for_renewal(&fleet).await;
    fleet.log.faults().change(|faults| faults.down = true);
    // The current holder's lease expires within this time.
    tokio::time::sleep(LEASE_DURATION).await;
    assert_eq!(send_stale_order(&fleet, 0, fence, "6").await, 202);
    wait_until("the engine obeys", async || {
        count_with_model(&fleet, "writer@6") == 1
    })
    .await;
    // A holder would see the weights in the next reports, within seconds.
    let end = tokio::time::Instant::now() + LEASE_DURATION;
    let mut drafts = 0;
    while tokio::time::Instant::now() < end {
        send_draft(&fleet, drafts).await;
        drafts += 1;
    }
    assert_eq!(orders(&fleet).len(), 1, "only the stale one");
    fleet.log.faults().change(|faults| faults.down = false);
    wait_until_within(MAX_LEASE_WAIT, "the wanted weights are back", async || {
        count_with_model(&fleet, "writer@7") == SIZE.engines
    })
    .await;
}

// The list still names a model at an engine that was ordered to unload it. A
// caller must not get the engine's 404 for a model that the bundle has.
#[tokio::test(flavor = "multi_thread")]
async fn engine_without_the_model_causes_no_failed_request() {
    let fleet = Fleet::start(SIZE).await;
    // Its reports lag as well and still name the model.
    fleet.engines[0]
        .faults()
        .change(|faults| faults.report_lag = Duration::from_mins(1));
    for n in 0..12 {
        send_draft(&fleet, n).await;
    }
    let before = fleet.engines[0].runs().len();
    assert!(before > 0, "some drafts have their home there");
    let order = r#"{"fence": 0, "unload": {"model": "writer"}}"#;
    let request = Request::post("/v1/orders").body(full(order)).unwrap();
    let address = fleet.engines[0].address();
    let sent = fleet
        .client
        .send(address, request, LEASE_DURATION)
        .await
        .unwrap();
    assert_eq!(sent.status(), 202);
    for n in 0..12 {
        send_draft(&fleet, n).await;
    }
    assert_eq!(fleet.engines[0].runs().len(), before);
}
