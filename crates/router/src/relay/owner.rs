//! Serves requests as the owner: gets a permit from the local owner, then
//! dispatches.

use std::sync::Arc;

use godwitpost_wire::dispatch::Reply;

use super::local_owner::{self, Decision};
use super::{AttemptResult, Job, endpoint, once};
use crate::shared::Shared;

/// Serves one attempt at this instance.
///
/// An unrepeatable request runs in a task of its own: once started, it must not
/// be interrupted if the caller disconnects, and its response is cached for the
/// caller's retry.
pub(crate) async fn serve(shared: &Arc<Shared>, job: &Job) -> AttemptResult {
    if job.head.request.repeatable() {
        return run(shared, job).await;
    }
    let shared = Arc::clone(shared);
    let job = job.clone();
    let task = tokio::spawn(async move {
        let _in_flight = shared.track_request();
        run(&shared, &job).await
    });
    match task.await {
        Ok(attempt) => attempt,
        // The task panics only because of a bug. Whether the endpoint got the
        // request is then unknown.
        Err(_panicked) => AttemptResult::Reply(Reply::Error(once::unknown_outcome().into())),
    }
}

async fn run(shared: &Arc<Shared>, job: &Job) -> AttemptResult {
    match once::replay(shared, job) {
        Ok(None) => {}
        Ok(Some(attempt)) => return attempt,
        Err(problem) => return AttemptResult::Reply(Reply::Error(problem.into())),
    }
    match local_owner::offer(shared, &job.head.request, &job.head.hop).await {
        Decision::Dispatch(permit) if job.head.request.repeatable() => {
            endpoint::relay(shared, permit, job).await
        }
        Decision::Dispatch(permit) => once::run(shared, permit, job).await,
        Decision::Forward(instance, hop) => AttemptResult::Reply(Reply::Forward { instance, hop }),
        Decision::Refuse(refusal) => AttemptResult::Reply(Reply::Refused(refusal)),
    }
}
