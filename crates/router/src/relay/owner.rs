//! The owner's part: asks the desk, then dispatches.

use std::sync::Arc;

use godwitpost_wire::dispatch::Reply;

use super::local_owner::{self, Decision};
use super::{AttemptResult, Job, endpoint, once};
use crate::shared::Shared;

/// Serves one attempt at this instance.
///
/// An unrepeatable request runs apart from its caller: once it has started,
/// its caller's going away must not break it off half-way, and its answer is
/// kept for the caller's return.
pub(crate) async fn serve(shared: &Arc<Shared>, job: &Job) -> AttemptResult {
    if job.head.request.repeatable() {
        return run(shared, job).await;
    }
    let shared = Arc::clone(shared);
    let job = job.clone();
    let apart = tokio::spawn(async move {
        let _in_flight = shared.track_request();
        run(&shared, &job).await
    });
    match apart.await {
        Ok(attempt) => attempt,
        // Only a bug panics there; what the endpoint got is not known.
        Err(_panicked) => AttemptResult::Reply(Reply::Told(once::unknown().into())),
    }
}

async fn run(shared: &Arc<Shared>, job: &Job) -> AttemptResult {
    match once::replay(shared, job) {
        Ok(None) => {}
        Ok(Some(attempt)) => return attempt,
        Err(problem) => return AttemptResult::Reply(Reply::Told(problem.into())),
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
