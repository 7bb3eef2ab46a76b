//! What a router says of itself on its operators' port.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::{self, Connector};
use godwitpost_history::event::{InForce, What};
use godwitpost_history::recorder::Recorder;
use godwitpost_types::endpoint::Standing;
use godwitpost_types::id::Version;
use http::Request;
use http_body_util::{BodyExt, Full};
use serde::Deserialize;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// How often the version in force is asked for.
pub(super) const PAUSE: Duration = Duration::from_millis(20);

/// How long an answer on the operators' port may take.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Follows the version in force at one router until it is dropped.
#[derive(Debug)]
pub(super) struct Watch {
    version: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

#[derive(Deserialize, PartialEq, Eq)]
struct Held {
    version: Version,
    root: String,
}

impl Watch {
    pub(super) fn start(recorder: Recorder, instance: String, address: SocketAddr) -> Self {
        let version = Arc::new(AtomicU64::new(0));
        let seen = Arc::clone(&version);
        let task = tokio::spawn(async move {
            let connector = Connector::new(connect::Settings::default());
            let mut last = None;
            loop {
                let held = held(&connector, address).await;
                if let Some(now) = held.filter(|now| now.version > 0 && last.as_ref() != Some(now))
                {
                    recorder.record(What::BundleInForce(InForce {
                        instance: instance.clone(),
                        version: now.version,
                        root: now.root.clone(),
                    }));
                    seen.store(now.version, Ordering::Release);
                    last = Some(now);
                }
                sleep(PAUSE).await;
            }
        });
        Self { version, task }
    }

    /// Returns the version last seen in force; 0 for none.
    pub(super) fn version(&self) -> Version {
        self.version.load(Ordering::Acquire)
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An endpoint as a router knows it.
#[derive(Deserialize)]
pub(super) struct Known {
    name: String,
    standing: Standing,
}

/// Returns the endpoints that a router knows.
pub(super) async fn endpoints(address: SocketAddr) -> Vec<Known> {
    let connector = Connector::new(connect::Settings::default());
    let answer = get(&connector, address, "/endpoints").await;
    let endpoints = answer.and_then(|bytes| serde_json::from_slice(&bytes).ok());
    endpoints.unwrap_or_default()
}

/// Returns whether a router takes an endpoint for live.
pub(super) fn live(known: &[Known], name: &str) -> bool {
    known
        .iter()
        .any(|one| one.name == name && one.standing == Standing::Live)
}

/// Returns the control bytes that a router has counted since its start, by
/// where they go.
pub(super) async fn control_bytes(address: SocketAddr) -> BTreeMap<String, f64> {
    let connector = Connector::new(connect::Settings::default());
    let text = get(&connector, address, "/metrics").await;
    let text = String::from_utf8_lossy(&text.unwrap_or_default()).into_owned();
    text.lines()
        .filter(|line| line.starts_with("godwitpost_control_bytes"))
        .filter_map(counted)
        .collect()
}

fn counted(line: &str) -> Option<(String, f64)> {
    let (_, label) = line.split_once("to=\"")?;
    let (to, _) = label.split_once('"')?;
    let bytes = line.rsplit(' ').next()?.parse().ok()?;
    Some((to.to_owned(), bytes))
}

async fn held(connector: &Connector, address: SocketAddr) -> Option<Held> {
    let answer = get(connector, address, "/bundle").await?;
    serde_json::from_slice(&answer).ok()
}

async fn get(connector: &Connector, address: SocketAddr, path: &str) -> Option<Bytes> {
    let body = Full::new(Bytes::new()).map_err(Into::into).boxed_unsync();
    let request = Request::get(path).body(body).ok()?;
    let response = connector.send(address, request, TIMEOUT).await.ok()?;
    let collected = response.into_body().collect().await.ok()?;
    Some(collected.to_bytes())
}
