//! Asks an engine for the rest of a stream whose connection broke.

use std::sync::Arc;

use godwitpost_client::connect::Body;
use godwitpost_decide::owner::Grant;
use godwitpost_decide::resume::{Next, Progress};
use http::header::{CONTENT_ENCODING, CONTENT_TYPE};
use http::{HeaderName, HeaderValue, StatusCode};

use super::Job;
use super::endpoint::{self, Target};
use crate::shared::Shared;

/// Names the last event that was received (HTML Living Standard, server-sent
/// events).
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// A stream that can be asked for again.
#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) shared: Arc<Shared>,
    pub(crate) target: Target,
    pub(crate) grant: Grant,
    pub(crate) job: Job,
}

impl Source {
    /// Returns the rest, to be waited for, if it is to be asked for.
    pub(crate) fn again(
        &self,
        resume: &mut Progress,
    ) -> Option<impl Future<Output = Option<Body>> + Send + use<>> {
        let now = self.shared.now();
        let request = &self.job.head.request;
        let next = resume.record_break(now, request, &mut self.shared.entry_state().budgets);
        let Next::Reconnect { after } = next else {
            return None;
        };
        log::info!(endpoint:% = self.target.endpoint.name, after = after; "resuming a stream");
        let shared = Arc::clone(&self.shared);
        let (target, grant, job) = (self.target.clone(), self.grant, self.after(after));
        Some(async move { rest(&shared, &target, &grant, &job).await })
    }

    fn after(&self, event: u64) -> Job {
        let mut job = self.job.clone();
        job.headers.insert(LAST_EVENT, HeaderValue::from(event));
        job
    }
}

// Anything but a stream under the same request's id is no rest; what the
// stream holds is checked event by event.
async fn rest(shared: &Shared, target: &Target, grant: &Grant, job: &Job) -> Option<Body> {
    let response = endpoint::send(shared, target, grant, job).await.ok()?;
    let headers = response.headers();
    let kind = headers.get(CONTENT_TYPE).map_or(&b""[..], |v| v.as_bytes());
    let events = kind.starts_with(b"text/event-stream") && !headers.contains_key(CONTENT_ENCODING);
    let held = response.status() == StatusCode::OK && events;
    held.then(|| response.into_body().boxed())
}
