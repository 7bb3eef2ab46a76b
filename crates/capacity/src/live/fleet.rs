//! Routers under a signed bundle, with a log and a list of their own.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use godwitpost_bundle::key::PrivateKey;
use godwitpost_bundle::record::{Change, Record, STREAM};
use godwitpost_bundle::source;
use godwitpost_client::connect::{Connector, Settings as Connections};
use godwitpost_client::list::{Entry, Role};
use godwitpost_router::settings::Settings;
use godwitpost_router::{Running, start};
use godwitpost_standin::{list, log};
use godwitpost_types::endpoint::Standing;
use http::Request;
use http_body_util::BodyExt as _;

use super::bare::full;
use crate::letter::ZONES;

/// The key that the routers and their stand-ins share, in base64.
pub const FLEET_KEY: &str = "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=";

/// Attempts to find a fleet ready, a twentieth of a second apart.
const LOOKS: u32 = 400;

/// A log, a list and some routers.
#[derive(Debug)]
pub struct Fleet {
    /// The log.
    pub log: log::Running,
    /// The list.
    pub list: list::Running,
    /// The routers.
    pub routers: Vec<Running>,
    key: PrivateKey,
}

impl Fleet {
    /// Starts a log with a bundle, and an empty list that is not read yet.
    ///
    /// # Panics
    ///
    /// Panics if no port of the loopback address is free.
    pub async fn start() -> Self {
        let log = log::start(any(), log::Faults::default()).await;
        let list = list::start(any(), list::Faults::default()).await;
        let fleet = Self {
            log: log.expect("a free port"),
            list: list.expect("a free port"),
            routers: Vec::new(),
            key: PrivateKey::from_seed(&[3; 32]),
        };
        // Nobody may read half of the list: who joins later is on probation.
        fleet.list.faults().change(|faults| faults.down = true);
        fleet.roll();
        fleet
    }

    fn roll(&self) {
        let public = STANDARD.encode(self.key.public().0);
        let yaml = include_str!("bundle.yaml").replace("<key>", &public);
        let bundle = source::read(&yaml).expect("the bundle is right");
        let change = Change::sign(None, &bundle, "asahikawa", &self.key);
        let bytes = Record::Change(change).encode().expect("it is small");
        self.log.append(STREAM, Bytes::from(bytes));
    }

    /// Puts endpoints on the list that all listen at one address.
    pub fn add_endpoints(&self, count: usize, service: &str, model: Option<&str>, at: SocketAddr) {
        for index in 0..count {
            let mut entry = entry(&format!("{service}-{index}"), Role::Endpoint, index, at);
            entry.service = Some(service.to_owned());
            entry.models = model.map(str::to_owned).into_iter().collect();
            self.list.set(entry);
        }
    }

    /// Puts a router on the list that is no [`Running`] of this fleet.
    pub fn add_stranger(&self, name: &str, index: usize, at: SocketAddr) {
        let mut entry = entry(name, Role::Router, index, at);
        entry.operators_address = Some(at);
        self.list.set(entry);
    }

    /// Starts a router with a number of traffic threads.
    ///
    /// # Panics
    ///
    /// Panics if it can't be started.
    pub fn add_router(&mut self, threads: usize) {
        let index = self.routers.len();
        let router = start(self.settings(index, threads)).expect("the settings are right");
        let name = format!("router-{index}");
        let mut entry = entry(&name, Role::Router, index, router.peers_address());
        entry.operators_address = Some(router.operators_address());
        self.list.set(entry);
        self.routers.push(router);
    }

    fn settings(&self, index: usize, threads: usize) -> Settings {
        let root = STANDARD.encode(self.key.public().0);
        Settings::parse(&format!(
            "name: router-{index}
incarnation: 1
zone: zone-{}
region: region-0
fleet: letter
listen: {{ callers: '127.0.0.1:0', peers: '127.0.0.1:0', operators: '127.0.0.1:0' }}
platform: {{ log: '{}', list: '{}' }}
root_keys: ['{root}']
fleet_key: {FLEET_KEY}
threads: {threads}
",
            index % ZONES,
            self.log.address(),
            self.list.address(),
        ))
        .expect("the settings are right")
    }

    /// Shows the list and waits until each router knows `endpoints`.
    ///
    /// # Panics
    ///
    /// Panics if a router is not ready after twenty seconds.
    pub async fn ready(&self, endpoints: usize) {
        self.list.faults().change(|faults| faults.down = false);
        for router in &self.routers {
            let mut known = 0;
            for _ in 0..LOOKS {
                let text = get(router.operators_address(), "/endpoints").await;
                let list: Vec<serde_json::Value> = serde_json::from_str(&text).unwrap_or_default();
                known = list.len();
                let ready = get(router.callers_address(), "/readyz").await;
                if known == endpoints && ready.starts_with("ready") {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            assert_eq!(known, endpoints, "the router knows all endpoints");
        }
    }
}

/// Returns the text of an answer; empty if there is none.
///
/// # Panics
///
/// Panics if `path` is no path.
pub async fn get(address: SocketAddr, path: &str) -> String {
    let connector = Connector::new(Connections::default());
    let request = Request::get(path).body(full(Bytes::new()));
    let request = request.expect("constant parts make a request");
    let sent = connector.send(address, request, Duration::from_secs(5));
    let Ok(response) = sent.await else {
        return String::new();
    };
    let body = response.into_body().collect().await;
    let bytes = body
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn entry(name: &str, role: Role, index: usize, address: SocketAddr) -> Entry {
    Entry {
        name: name.to_owned(),
        incarnation: 1,
        role,
        standing: Standing::Live,
        zone: format!("zone-{}", index % ZONES),
        region: "region-0".to_owned(),
        address,
        operators_address: None,
        service: None,
        models: BTreeSet::new(),
    }
}

fn any() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
