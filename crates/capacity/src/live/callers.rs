//! Callers that keep a number of requests in flight.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::{Connector, Settings};
use http::Request;
use http_body_util::BodyExt as _;

use super::bare::full;

const WAIT: Duration = Duration::from_secs(20);

/// What callers ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// A short answer of a plain service.
    Plain,
    /// A streamed answer of an engine.
    Chat,
}

/// What came of the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests answered whole, with success.
    pub whole: u64,
    /// Requests that failed or broke off.
    pub failed: u64,
    /// Bytes of answers.
    pub bytes: u64,
}

/// Sends `requests` in all, `at_once` at a time, spread over the targets.
pub async fn send(targets: &[SocketAddr], ask: Ask, at_once: u64, requests: u64) -> Count {
    let connector = Connector::new(Settings {
        max_idle_per_address: usize::try_from(at_once).unwrap_or(usize::MAX),
        ..Settings::default()
    });
    let next = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..at_once)
        .map(|_| {
            let (connector, next, targets) =
                (connector.clone(), Arc::clone(&next), targets.to_vec());
            tokio::spawn(async move { call(&connector, &next, &targets, ask, requests).await })
        })
        .collect();
    let mut sum = Count::default();
    for caller in callers {
        let count = caller.await.unwrap_or_default();
        sum.whole += count.whole;
        sum.failed += count.failed;
        sum.bytes += count.bytes;
    }
    sum
}

async fn call(
    connector: &Connector,
    next: &AtomicU64,
    targets: &[SocketAddr],
    ask: Ask,
    requests: u64,
) -> Count {
    let mut count = Count::default();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= requests {
            return count;
        }
        let index = usize::try_from(number).unwrap_or(0) % targets.len();
        match one(connector, targets[index], ask, number).await {
            Some(bytes) => {
                count.whole += 1;
                count.bytes += bytes;
            }
            None => count.failed += 1,
        }
    }
}

async fn one(connector: &Connector, to: SocketAddr, ask: Ask, number: u64) -> Option<u64> {
    let response = connector.send(to, request(ask, number), WAIT).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = response.into_body().collect().await.ok()?;
    Some(body.to_bytes().len() as u64)
}

fn request(ask: Ask, number: u64) -> Request<godwitpost_client::connect::Body> {
    let (path, body) = match ask {
        Ask::Plain => ("/stock", "{\"guide\":\"Sounkyo\"}".to_owned()),
        Ask::Chat => (
            "/v1/chat/completions",
            format!(
                "{{\"model\":\"writer\",\"stream\":true,\"max_tokens\":376,\"messages\":[{{\"role\":\"user\",\"content\":\"Chat {number}: draft the Sounkyo ice route\"}}]}}"
            ),
        ),
    };
    Request::post(path)
        .header("godwitpost-workspace", "otaru")
        .header("content-type", "application/json")
        .body(full(Bytes::from(body)))
        .expect("constant parts make a request")
}
