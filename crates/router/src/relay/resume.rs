//! Requests the rest of a stream from its engine after the connection broke.

use std::sync::Arc;

use godwitpost_client::connect::Body;
use godwitpost_decide::owner::Grant;
use godwitpost_decide::resume::{Next, Progress};
use http::header::{CONTENT_ENCODING, CONTENT_TYPE};
use http::{HeaderName, HeaderValue, StatusCode};

use super::Job;
use super::endpoint::{self, Target};
use crate::shared::Shared;

/// The id of the last event that was received (HTML Living Standard,
/// server-sent events).
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// The source of a stream that can be resumed.
#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) shared: Arc<Shared>,
    pub(crate) target: Target,
    pub(crate) grant: Grant,
    pub(crate) job: Job,
}

impl Source {
    /// Returns a future of the rest of the stream, or `None` if the stream must
    /// not be resumed.
    pub(crate) fn reconnect(
        &self,
        progress: &mut Progress,
    ) -> Option<impl Future<Output = Option<Body>> + Send + use<>> {
        let now = self.shared.now();
        let request = &self.job.head.request;
        let next = progress.record_break(now, request, &mut self.shared.entry_state().budgets);
        let Next::Reconnect { after } = next else {
            return None;
        };
        log::info!(endpoint:% = self.target.endpoint.name, after = after; "stream broke off; resuming it");
        let shared = Arc::clone(&self.shared);
        let (target, grant, job) = (self.target.clone(), self.grant, self.job_from(after));
        Some(async move { fetch_rest(&shared, &target, &grant, &job).await })
    }

    fn job_from(&self, event: u64) -> Job {
        let mut job = self.job.clone();
        job.headers.insert(LAST_EVENT_ID, HeaderValue::from(event));
        job
    }
}

// Accepts only an event stream of the same request. Its events are checked
// one by one as they are read.
async fn fetch_rest(shared: &Shared, target: &Target, grant: &Grant, job: &Job) -> Option<Body> {
    let response = endpoint::send(shared, target, grant, job).await.ok()?;
    let headers = response.headers();
    let content_type = headers.get(CONTENT_TYPE).map_or(&b""[..], |v| v.as_bytes());
    let is_event_stream =
        content_type.starts_with(b"text/event-stream") && !headers.contains_key(CONTENT_ENCODING);
    let is_usable = response.status() == StatusCode::OK && is_event_stream;
    is_usable.then(|| response.into_body().boxed())
}
