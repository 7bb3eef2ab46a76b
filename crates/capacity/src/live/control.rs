//! Control of one real router in a fleet of any size.
//!
//! The other instances are stubs: each has a port of its own, answers gossip
//! as a live instance with nothing to say, and one of them a second sends the
//! router a message, as many as would reach it in a real fleet. Endpoints
//! share one port. So the list, the view, the probes and the gossip of the
//! router have the size of the fleet, and this process stays small.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use godwitpost_bench::figure::{Bound, Figure};
use godwitpost_client::connect::{Body, Connector, Settings};
use godwitpost_state::gossip::Message;
use godwitpost_state::membership::Heartbeat;
use godwitpost_types::endpoint::Standing;
use godwitpost_types::id;
use godwitpost_wire::auth;
use http::{Request, Response};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::runtime::Builder;

use super::bare::full;
use super::fleet::{FLEET_KEY, Fleet, get};
use super::{cpu, source};
use crate::letter;

/// Instances and endpoints: today's, a step between, and the letter's.
pub const SIZES: [(usize, usize); 3] = [(6, 15), (50, 515), (320, 3_300)];

/// The path that gossip is taken on.
const PATH: &str = "/peer/v1/gossip";

/// The name of the router's thread for control state.
const CONTROL: &str = "control";

/// How long the router settles before it is measured: its peers are met for
/// the first time, and it learns which endpoints it owns.
const SETTLE: Duration = Duration::from_secs(6);

/// How long it is measured.
const MEASURE: Duration = Duration::from_secs(12);

/// Measures one size and returns its figures.
///
/// # Panics
///
/// Panics if the fleet does not come up.
#[must_use]
pub fn figures(instances: usize, endpoints: usize) -> Vec<Figure> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(4)
        .thread_name("stub")
        .enable_all()
        .build()
        .expect("threads for the stubs");
    runtime.block_on(measure(instances, endpoints))
}

async fn measure(instances: usize, endpoints: usize) -> Vec<Figure> {
    let engine = source::start().await.expect("a free port");
    let mut fleet = Fleet::start().await;
    fleet.add_endpoints(endpoints, "drafting", Some("writer"), engine);
    for index in 1..instances {
        let name = stub_name(index);
        let address = stub(&name).await.expect("a free port");
        fleet.add_stranger(&name, index, address);
    }
    fleet.add_router(1);
    fleet.ready(endpoints).await;
    let to = fleet.routers[0].peers_address();
    let senders = tokio::spawn(send(to, instances));
    tokio::time::sleep(SETTLE).await;
    let operators = fleet.routers[0].operators_address();
    let before = (cpu::of(CONTROL), bytes(operators).await);
    tokio::time::sleep(MEASURE).await;
    let after = (cpu::of(CONTROL), bytes(operators).await);
    senders.abort();
    let core = after.0.saturating_sub(before.0).as_secs_f64() / MEASURE.as_secs_f64();
    let mut figures = Vec::new();
    let name = |what: &str| format!("control.{instances}.{what}");
    figures.push(Figure::new(
        name("core"),
        core,
        "cores",
        Bound::AtMost(letter::CORE),
    ));
    let mut sum = 0.0;
    for (to, bytes) in &after.1 {
        let spent = bytes - before.1.get(to).unwrap_or(&0.0);
        let rate = spent / MEASURE.as_secs_f64();
        sum += rate;
        figures.push(Figure::new(
            name(&format!("bytes.{to}")),
            rate,
            "B/s",
            Bound::Free,
        ));
    }
    figures.push(Figure::new(
        name("bytes"),
        sum,
        "B/s",
        Bound::AtMost(letter::BYTES),
    ));
    figures
}

/// Returns the control bytes that a router has counted, by where they went.
async fn bytes(operators: SocketAddr) -> BTreeMap<String, f64> {
    let text = get(operators, "/metrics").await;
    text.lines()
        .filter(|line| line.starts_with("godwitpost_control_bytes_total{"))
        .filter_map(|line| {
            let to = line.split_once("to=\"")?.1.split_once('"')?.0;
            let value = line.rsplit_once(' ')?.1.parse().ok()?;
            Some((to.to_owned(), value))
        })
        .collect()
}

fn stub_name(index: usize) -> String {
    format!("stub-{index}")
}

fn message(name: &str) -> Bytes {
    let message = Message {
        from: Heartbeat {
            id: id::from_name(name),
            incarnation: 1,
            sequence: 0,
            standing: Standing::Live,
        },
        version: 1,
        member_updates: Vec::new(),
        leaving: Vec::new(),
        loads: Vec::new(),
        evidence: Vec::new(),
        demands: None,
    };
    Bytes::from(message.encode())
}

async fn stub(name: &str) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let said = message(name);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let said = said.clone();
            let service = service_fn(move |request| answer(said.clone(), request));
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    Ok(address)
}

async fn answer(said: Bytes, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
    drop(request.into_body().collect().await);
    Ok(Response::new(full(said)))
}

/// Sends the router one message a second, each time from the next stub.
async fn send(to: SocketAddr, instances: usize) {
    let key = auth::Key::parse(FLEET_KEY).expect("the key is right");
    let connector = Connector::new(Settings::default());
    let mut index = 0;
    loop {
        index = index % (instances - 1) + 1;
        let request = sealed(&key, &stub_name(index));
        let sent = connector.send(to, request, Duration::from_secs(1)).await;
        if let Ok(response) = sent {
            drop(response.into_body().collect().await);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

fn sealed(key: &auth::Key, sender: &str) -> Request<Body> {
    let body = message(sender);
    let mut request = Request::post(PATH)
        .body(full(body.clone()))
        .expect("constant parts make a request");
    let sealed = auth::Message {
        method: "POST",
        path: PATH,
        sender,
        receiver: "router-0",
        body: &body,
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    key.seal(&sealed, now.unwrap_or_default(), request.headers_mut());
    request
}
