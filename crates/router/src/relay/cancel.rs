//! Cancels requests at engines once their caller no longer waits.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_types::endpoint::Endpoint;
use godwitpost_types::id::RequestId;
use godwitpost_types::policy::Kind;
use http::Request;
use tokio::runtime::Handle;

use super::Job;
use super::endpoint::{Target, request_text};
use crate::body;
use crate::shared::Shared;

/// How long an engine may take to confirm that it cancelled a request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Cancels a request at its engine when dropped while armed.
///
/// An engine also notices a closed connection, but only at its next write; a
/// long prefill would continue for a caller that has disconnected.
#[derive(Debug)]
pub(crate) struct Cancel {
    armed: Option<(Arc<Shared>, Endpoint, RequestId)>,
}

impl Cancel {
    /// Returns a guard that cancels the request when dropped. It does nothing
    /// for plain services, which can't cancel.
    pub(crate) fn armed(shared: &Arc<Shared>, target: &Target, job: &Job) -> Self {
        let engine = target.kind == Kind::Engine;
        let id = job.head.request.id;
        Self {
            armed: engine.then(|| (Arc::clone(shared), target.endpoint.clone(), id)),
        }
    }

    /// Disarms the guard: the request continues or has already ended.
    pub(crate) fn disarm(&mut self) {
        self.armed = None;
    }
}

impl Drop for Cancel {
    fn drop(&mut self) {
        let Some((shared, endpoint, id)) = self.armed.take() else {
            return;
        };
        // Without a runtime the router itself is stopping, which closes its
        // connections.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(async move { cancel(&shared, &endpoint, id).await });
        }
    }
}

async fn cancel(shared: &Shared, endpoint: &Endpoint, id: RequestId) {
    let request = Request::delete(format!("/v1/requests/{}", request_text(id)))
        .body(body::full(Bytes::new()))
        .expect("hexadecimal digits are part of a path");
    let sent = shared
        .connector
        .send(endpoint.address, request, CANCEL_TIMEOUT);
    if let Err(error) = sent.await {
        log::debug!(endpoint:% = endpoint.name, error:% = error; "can't cancel request");
    }
}
