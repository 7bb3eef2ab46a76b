//! The dispatcher's claims and its cached responses.
//!
//! Requests verdicts from the batcher of a key's partition. If that batcher
//! can't be reached, the one on this instance is used: verdicts depend only on
//! the order of the log, so all batchers reach the same ones.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use godwitpost_state::claim::{self, Holder, Item, Record, ResponseCache, Verdict};
use godwitpost_types::endpoint::Standing;
use godwitpost_types::id::{BodyDigest, Incarnation, InstanceId, KeyDigest};
use godwitpost_types::instance::Instance;
use godwitpost_wire::dispatch;
use godwitpost_wire::frame::Frame;
use http::{HeaderMap, Method, StatusCode};
use tokio::sync::oneshot;

use crate::body;
use crate::control::Event;
use crate::relay::peer;
use crate::shared::Shared;

/// Path for items that batchers append.
pub(crate) const PATH: &str = "/peer/v1/claim";

/// Limit on the size of all cached responses. Confirmations of orders have about
/// a kilobyte, so some 8,000 fit. A response that was evicted can't be replayed,
/// but the request is not run again.
const MAX_CACHED_RESPONSE_BYTES: usize = 8 << 20;

/// How long responses are cached: callers resend within minutes.
const CACHED_RESPONSE_LIFETIME: Duration = Duration::from_mins(15);

/// Timeout of a verdict: twice the batcher's own timeout, so that the batcher's
/// response arrives first.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit on the size of an encoded verdict, far above its actual size.
const MAX_VERDICT_BYTES: usize = 1 << 10;

/// Path for requests for cached responses.
pub(crate) const RESPONSE_PATH: &str = "/peer/v1/answer";

/// A complete response, cached for a caller that sends its key again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CachedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The claims and cached responses of one dispatcher.
#[derive(Debug)]
pub(crate) struct Claims {
    inner: Mutex<Inner>,
}

/// The state that the lock of [`Claims`] guards.
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) holder: Holder,
    pub(crate) responses: ResponseCache<CachedResponse>,
}

impl Claims {
    pub(crate) fn new(own: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            inner: Mutex::new(Inner {
                holder: Holder::new(own, incarnation),
                responses: ResponseCache::new(MAX_CACHED_RESPONSE_BYTES, CACHED_RESPONSE_LIFETIME),
            }),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        // No code that holds the lock can panic in the middle of a change.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Requests the verdict on a claim.
pub(crate) async fn request_verdict(shared: &Shared, record: Record) -> Verdict {
    let item = Item::Claim(record);
    let verdict = async {
        match remote_batcher(shared, &record.key) {
            Some(instance) => match request_remote(shared, &instance, item).await {
                Some(verdict) => verdict,
                None => request_local(shared, item).await,
            },
            None => request_local(shared, item).await,
        }
    };
    // Without a verdict in time, the holder gives the claim up.
    tokio::time::timeout(CALL_TIMEOUT, verdict)
        .await
        .unwrap_or(Verdict::Unavailable)
}

/// Requests the cached response from the instance that ran a key.
///
/// A key that is sent again may arrive at any instance and be dispatched by
/// another one; only the dispatcher of the first request saw the response.
pub(crate) async fn fetch_response(
    shared: &Shared,
    holder: InstanceId,
    key: &KeyDigest,
    body: &BodyDigest,
) -> Option<CachedResponse> {
    let snapshot = shared.snapshot();
    let instance = snapshot.view.instance(holder)?;
    let bytes = Bytes::from(rmp_serde::to_vec(&(key, body)).ok()?);
    let request = peer::sealed(shared, instance, Method::POST, RESPONSE_PATH, &bytes);
    let sent = shared
        .claims_connector
        .send(instance.peer_address, request, CALL_TIMEOUT);
    let response = sent.await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let read = body::collect(response.into_body(), MAX_CACHED_RESPONSE_BYTES);
    let bytes = tokio::time::timeout(CALL_TIMEOUT, read).await.ok()?.ok()?;
    CachedResponse::decode(&bytes)
}

impl CachedResponse {
    /// Encodes the response for another instance.
    pub(crate) fn encode(&self) -> Bytes {
        let head = (self.status.as_u16(), dispatch::pack(&self.headers));
        let body = self.body.clone();
        Frame { head, body }.encode()
    }

    fn decode(bytes: &Bytes) -> Option<Self> {
        type Head = (u16, Vec<(String, Vec<u8>)>);
        let Frame { head, body } = Frame::<Head>::decode(bytes).ok()?;
        Some(Self {
            status: StatusCode::from_u16(head.0).ok()?,
            headers: dispatch::unpack(&head.1),
            body,
        })
    }
}

/// Reports the outcome of a claimed request to the batcher, as best effort.
pub(crate) async fn report_outcome(shared: &Shared, outcome: Item) {
    match remote_batcher(shared, outcome.key()) {
        Some(instance) => {
            request_remote(shared, &instance, outcome).await;
        }
        None => {
            request_local(shared, outcome).await;
        }
    }
}

// Returns the batcher of a key's partition, if that is another instance.
fn remote_batcher(shared: &Shared, key: &KeyDigest) -> Option<Instance> {
    let snapshot = shared.snapshot();
    let live = snapshot.view.instances();
    let live = live.filter(|instance| instance.standing == Standing::Live);
    let id = claim::batcher_for(claim::partition(key), live.map(|instance| instance.id))?;
    if id == shared.local() {
        return None;
    }
    snapshot.view.instance(id).cloned()
}

async fn request_remote(shared: &Shared, instance: &Instance, item: Item) -> Option<Verdict> {
    let bytes = Bytes::from(claim::batch::encode(&[item]));
    let request = peer::sealed(shared, instance, Method::POST, PATH, &bytes);
    let sent = shared
        .claims_connector
        .send(instance.peer_address, request, CALL_TIMEOUT);
    let response = match sent.await {
        Ok(response) if response.status() == StatusCode::OK => response,
        Ok(response) => {
            log::debug!(instance:% = instance.name, status:% = response.status(); "batcher refused a claim");
            return None;
        }
        Err(error) => {
            log::debug!(instance:% = instance.name, error:% = error; "could not send a claim to its batcher");
            return None;
        }
    };
    let bytes = body::collect(response.into_body(), MAX_VERDICT_BYTES).await;
    rmp_serde::from_slice(&bytes.ok()?).ok()
}

async fn request_local(shared: &Shared, item: Item) -> Verdict {
    let (reply, verdict) = oneshot::channel();
    let event = Event::Claim { item, reply };
    if shared.control.send(event).await.is_err() {
        return Verdict::Unavailable;
    }
    verdict.await.unwrap_or(Verdict::Unavailable)
}
