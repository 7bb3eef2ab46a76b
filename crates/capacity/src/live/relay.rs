//! The data path: processor time of a request and of a token.

use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_bench::figure::{Bound, Figure};
use tokio::runtime::Builder;

use super::bare::{self, Bare};
use super::callers::{self, Ask};
use super::fleet::Fleet;
use super::{cpu, source};
use crate::letter;

/// The name of the router's threads that carry traffic.
const TRAFFIC: &str = "traffic";

/// Threads of each relay. One keeps thread switches out of the ratio.
const THREADS: usize = 1;

const AT_ONCE: u64 = 32;
const PLAIN: u64 = 20_000;
const CHATS: u64 = 600;

/// The ratio of requests a second and core that the router is held to.
const RATIO: f64 = 0.7;

/// Measures the relay and returns its figures.
///
/// # Panics
///
/// Panics if the fleet does not come up or a request fails: figures of a
/// broken run would mean nothing.
#[must_use]
pub fn figures() -> Vec<Figure> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(4)
        .thread_name("load")
        .enable_all()
        .build()
        .expect("threads to load with");
    runtime.block_on(measure())
}

async fn measure() -> Vec<Figure> {
    let endpoint = source::start().await.expect("a free port");
    let bare = Bare::start(endpoint, THREADS).expect("a free port");
    let one = fleet(1, endpoint).await;
    let plain = callers(&one);
    let bare_request = spent(bare::THREAD, &[bare.address()], Ask::Plain, PLAIN).await;
    let router_request = spent(TRAFFIC, &plain, Ask::Plain, PLAIN).await;
    let bare_stream = spent(bare::THREAD, &[bare.address()], Ask::Chat, CHATS).await;
    let router_stream = spent(TRAFFIC, &plain, Ask::Chat, CHATS).await;
    drop(one);
    let two = fleet(2, endpoint).await;
    let two_requests = spent(TRAFFIC, &callers(&two), Ask::Plain, PLAIN).await;
    let two_streams = spent(TRAFFIC, &callers(&two), Ask::Chat, CHATS).await;
    let tokens = f64::from(source::TOKENS);
    let mut figures = vec![
        free("relay.bare.request", bare_request, "us"),
        free("relay.router.request", router_request, "us"),
        Figure::new(
            "relay.request.ratio",
            bare_request / router_request,
            "ratio",
            Bound::AtLeast(RATIO),
        ),
        free("relay.two_routers.request", two_requests, "us"),
        free("relay.bare.token", bare_stream / tokens, "us"),
        free("relay.router.token", router_stream / tokens, "us"),
        Figure::new(
            "relay.token.ratio",
            bare_stream / router_stream,
            "ratio",
            Bound::AtLeast(RATIO),
        ),
        free("relay.two_routers.token", two_streams / tokens, "us"),
    ];
    let cores = two_streams / 1e6 * letter::entered();
    figures.push(free("relay.letter.traffic", cores, "cores"));
    figures
}

fn free(name: &str, value: f64, unit: &'static str) -> Figure {
    Figure::new(name, value, unit, Bound::Free)
}

async fn fleet(routers: usize, endpoint: SocketAddr) -> Fleet {
    let mut fleet = Fleet::start().await;
    fleet.add_endpoints(4, "drafting", Some("writer"), endpoint);
    fleet.add_endpoints(4, "ordering", None, endpoint);
    for _ in 0..routers {
        fleet.add_router(THREADS);
    }
    fleet.ready(8).await;
    // Heartbeats between the routers begin within a second.
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet
}

fn callers(fleet: &Fleet) -> Vec<SocketAddr> {
    let routers = fleet.routers.iter();
    routers
        .map(godwitpost_router::Running::callers_address)
        .collect()
}

/// Returns microseconds of processor time for a request on threads `name`.
async fn spent(name: &str, targets: &[SocketAddr], ask: Ask, requests: u64) -> f64 {
    callers::send(targets, ask, AT_ONCE, requests / 10).await;
    let before = cpu::of(name);
    let count = callers::send(targets, ask, AT_ONCE, requests).await;
    let took = cpu::of(name).saturating_sub(before);
    assert_eq!(count.failed, 0, "each request of {ask:?} is answered whole");
    #[expect(clippy::cast_precision_loss, reason = "some thousand requests")]
    let requests = requests as f64;
    took.as_secs_f64() * 1e6 / requests
}
