//! A small fleet for tests: a log, a list, endpoints and routers with a signed
//! bundle.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use godwitpost_bundle::entry;
use godwitpost_bundle::key::PrivateKey;
use godwitpost_bundle::record::{Change, Record, STREAM};
use godwitpost_bundle::root::Tree;
use godwitpost_bundle::schema::Bundle;
use godwitpost_bundle::source;
use godwitpost_client::connect::{self, Body, Connector, ResponseBody};
use godwitpost_client::list::{Entry, Role};
use godwitpost_router::settings::Settings;
use godwitpost_router::{Running, start};
use godwitpost_standin::{engine, list, log, plain, weights};
use godwitpost_types::endpoint::Standing;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};

/// The fleet's key in base64.
pub(crate) const FLEET_KEY: &str = "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=";

/// Bound on all waits, far above what they take without a fault.
const MAX_WAIT: Duration = Duration::from_secs(20);

const ZONES: [&str; 4] = ["sapporo", "asahikawa", "otaru", "kushiro"];

/// The numbers of a fleet's routers and endpoints.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) routers: usize,
    pub(crate) engines: usize,
    pub(crate) plains: usize,
}

/// A running fleet.
pub(crate) struct Fleet {
    pub(crate) log: log::Running,
    pub(crate) list: list::Running,
    pub(crate) store: weights::Running,
    pub(crate) engines: Vec<engine::Running>,
    pub(crate) plains: Vec<plain::Running>,
    pub(crate) routers: Vec<Running>,
    pub(crate) client: Connector,
    retention: Duration,
}

impl Fleet {
    /// Starts a fleet and returns when each router is ready.
    pub(crate) async fn start(size: Size) -> Self {
        Self::start_with(size, Duration::from_hours(1)).await
    }

    /// Starts a fleet whose routers assume that the log retains records for
    /// `retention`.
    pub(crate) async fn start_with(size: Size, retention: Duration) -> Self {
        let key = PrivateKey::from_seed(&[3; 32]);
        let log = log::start(any_port(), log::Faults::default())
            .await
            .unwrap();
        let list = list::start(any_port(), list::Faults::default())
            .await
            .unwrap();
        let store = weights::start(any_port(), weights::Faults::default());
        // No router may read an incomplete list: instances that join later are on
        // probation.
        list.faults().change(|faults| faults.down = true);
        let mut fleet = Self {
            engines: Vec::new(),
            plains: Vec::new(),
            routers: Vec::new(),
            client: Connector::new(connect::Settings::default()),
            retention,
            log,
            list,
            store: store.await.unwrap(),
        };
        for n in 0..size.engines {
            fleet.add_engine(n).await;
        }
        for n in 0..size.plains {
            fleet.add_plain(n).await;
        }
        fleet.publish_bundle(&key);
        for n in 0..size.routers {
            fleet.add_router(n, &key);
        }
        fleet.list.faults().change(|faults| faults.down = false);
        fleet.wait_until_ready(size).await;
        fleet
    }

    async fn add_engine(&mut self, n: usize) {
        let settings = engine::Settings {
            models: BTreeSet::from(["writer@7".to_owned()]),
            weights: Some(self.store.address()),
            ..engine::Settings::default()
        };
        let engine = engine::start(any_port(), settings, engine::Faults::default()).await;
        let engine = engine.unwrap();
        let mut entry = list_entry(&format!("runner-{n}"), Role::Endpoint, n, engine.address());
        entry.service = Some("drafting".to_owned());
        entry.models = BTreeSet::from(["writer".to_owned()]);
        self.list.set(entry);
        self.engines.push(engine);
    }

    async fn add_plain(&mut self, n: usize) {
        let plain = plain::start(any_port(), plain::Faults::default())
            .await
            .unwrap();
        self.list_plain(&format!("orders-{n}"), plain.address());
        self.plains.push(plain);
    }

    pub(crate) fn add_router(&mut self, n: usize, key: &PrivateKey) {
        let router = start(self.settings(n, key)).unwrap();
        let name = format!("router-{n}");
        let mut entry = list_entry(&name, Role::Router, n, router.peers_address());
        entry.operators_address = Some(router.operators_address());
        self.list.set(entry);
        self.routers.push(router);
    }

    fn settings(&self, n: usize, key: &PrivateKey) -> Settings {
        let root = STANDARD.encode(key.public().0);
        Settings::parse(&format!(
            "name: router-{n}
incarnation: 1
zone: {}
region: hokkaido
fleet: kitakaze
listen: {{ callers: '127.0.0.1:0', peers: '127.0.0.1:0', operators: '127.0.0.1:0' }}
platform: {{ log: '{}', list: '{}', retention: {}ms }}
root_keys: ['{root}']
fleet_key: {FLEET_KEY}
limits: {{ body_bytes: 100000 }}
balancer_lag: 200ms
drain: 20s
",
            ZONES[n % ZONES.len()],
            self.log.address(),
            self.list.address(),
            self.retention.as_millis(),
        ))
        .unwrap()
    }

    fn publish_bundle(&self, key: &PrivateKey) {
        self.append(&Change::sign(None, &bundle(key), "asahikawa", key));
    }

    /// Publishes version 2, with other weights of the model.
    pub(crate) fn publish_weights(&self, weights: &str) {
        let key = PrivateKey::from_seed(&[3; 32]);
        let mut second = bundle(&key);
        let first = Tree::new(entry::split(&second));
        second.version = 2;
        let writer = second.models.get_mut("writer").unwrap();
        weights.clone_into(&mut writer.weights);
        self.append(&Change::sign(Some(&first), &second, "asahikawa", &key));
    }

    /// Publishes the version after `version`, which differs in its claim window.
    pub(crate) fn publish_version_after(&self, version: u64) {
        let key = PrivateKey::from_seed(&[3; 32]);
        let at = |version: u64| {
            let mut bundle = bundle(&key);
            bundle.version = version;
            bundle.fleet.claim_window += Duration::from_secs(version - 1);
            bundle
        };
        let before = Tree::new(entry::split(&at(version)));
        let next = at(version + 1);
        self.append(&Change::sign(Some(&before), &next, "asahikawa", &key));
    }

    /// Adds a plain endpoint that listens at `address`.
    pub(crate) fn list_plain(&self, name: &str, address: SocketAddr) {
        let mut entry = list_entry(name, Role::Endpoint, 0, address);
        entry.service = Some("ordering".to_owned());
        self.list.set(entry);
    }

    fn append(&self, change: &Change) {
        let bytes = Record::Change(change.clone()).encode().unwrap();
        self.log.append(STREAM, Bytes::from(bytes));
    }

    async fn wait_until_ready(&self, size: Size) {
        let endpoints = size.engines + size.plains;
        for router in &self.routers {
            wait_until("a router is ready", async || {
                let (ready, _, _) = self.get(router.callers_address(), "/readyz").await;
                let (_, _, known) = self.get(router.operators_address(), "/endpoints").await;
                let known: Vec<serde_json::Value> = serde_json::from_slice(&known).unwrap();
                let owners: BTreeSet<&str> =
                    known.iter().filter_map(|e| e["owner"].as_str()).collect();
                ready == StatusCode::OK && known.len() == endpoints && !owners.is_empty()
            })
            .await;
        }
    }

    /// Sends a request to a router's callers' port and returns the response once
    /// its head has arrived.
    pub(crate) async fn send(
        &self,
        router: usize,
        request: Request<Body>,
    ) -> Result<Response<ResponseBody>, connect::Error> {
        let address = self.routers[router].callers_address();
        self.client.send(address, request, MAX_WAIT).await
    }

    /// Sends a request and reads the complete response.
    pub(crate) async fn send_and_read(
        &self,
        router: usize,
        request: Request<Body>,
    ) -> (StatusCode, HeaderMap, Bytes) {
        read_response(self.send(router, request).await.unwrap()).await
    }

    pub(crate) async fn get(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> (StatusCode, HeaderMap, Bytes) {
        let request = Request::get(path).body(full("")).unwrap();
        read_response(self.client.send(address, request, MAX_WAIT).await.unwrap()).await
    }
}

fn bundle(key: &PrivateKey) -> Bundle {
    let public = STANDARD.encode(key.public().0);
    source::read(&include_str!("bundle.yaml").replace("<key>", &public)).unwrap()
}

/// Returns a streamed chat request.
pub(crate) fn chat(prompt: &str, tokens: u32) -> Request<Body> {
    let body = serde_json::json!({
        "model": "writer",
        "stream": true,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    });
    Request::post("/v1/chat/completions")
        .header("godwitpost-workspace", "otaru")
        .header("content-type", "application/json")
        .body(full(&body.to_string()))
        .unwrap()
}

/// Returns an order under a key.
pub(crate) fn order(key: &str, body: &str) -> Request<Body> {
    Request::post("/orders")
        .header("godwitpost-workspace", "otaru")
        .header("idempotency-key", key)
        .body(full(body))
        .unwrap()
}

/// Returns an idempotency key with the current time.
pub(crate) fn key(last: u16) -> String {
    let now = std::time::SystemTime::now();
    let millis = now
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis();
    format!(
        "{:08x}-{:04x}-7000-8000-00000000{last:04x}",
        millis >> 16,
        millis & 0xffff
    )
}

/// Returns the outcome in a response's headers.
pub(crate) fn outcome(headers: &HeaderMap) -> &str {
    headers["godwitpost-outcome"].to_str().unwrap()
}

/// Returns the words of an event stream, in order.
pub(crate) fn words(stream: &[u8]) -> Vec<String> {
    let text = String::from_utf8(stream.to_vec()).unwrap();
    text.lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter(|data| *data != "[DONE]")
        .map(|data| serde_json::from_str::<serde_json::Value>(data).unwrap())
        .filter_map(|event| {
            let content = &event["choices"][0]["delta"]["content"];
            content.as_str().map(str::to_owned)
        })
        .filter(|word| !word.is_empty())
        .collect()
}

pub(crate) async fn read_response(
    response: Response<ResponseBody>,
) -> (StatusCode, HeaderMap, Bytes) {
    let (parts, body) = response.into_parts();
    let bytes = body.collect().await.unwrap().to_bytes();
    (parts.status, parts.headers, bytes)
}

/// Waits until a condition holds, for at most [`MAX_WAIT`].
pub(crate) async fn wait_until(what: &str, holds: impl AsyncFnMut() -> bool) {
    wait_until_within(MAX_WAIT, what, holds).await;
}

/// Waits until a condition holds, for at most `bound`.
pub(crate) async fn wait_until_within(
    bound: Duration,
    what: &str,
    mut holds: impl AsyncFnMut() -> bool,
) {
    let start = tokio::time::Instant::now();
    while !holds().await {
        assert!(start.elapsed() < bound, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

pub(crate) fn full(text: &str) -> Body {
    Full::new(Bytes::from(text.to_owned()))
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn list_entry(name: &str, role: Role, n: usize, address: SocketAddr) -> Entry {
    Entry {
        name: name.to_owned(),
        incarnation: 1,
        role,
        standing: Standing::Live,
        zone: ZONES[n % ZONES.len()].to_owned(),
        region: "hokkaido".to_owned(),
        address,
        operators_address: None,
        service: None,
        models: BTreeSet::new(),
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
