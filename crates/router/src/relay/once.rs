//! Unrepeatable requests: nothing is sent to an endpoint without a claim.
//!
//! The claim is acquired before the first byte is sent and is never passed to
//! another instance. If an endpoint provably ran nothing (it was unreachable or
//! replied that it is leaving), this instance alone may try another endpoint
//! under the same claim. Any other failure after a byte has been sent makes the
//! outcome unknown, and the caller gets that outcome.

use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::connect::{Framing, ResponseBody};
use godwitpost_decide::ending::Ending;
use godwitpost_state::claim::key::Key;
use godwitpost_state::claim::{AbandonResult, Id, Item, Lookup, Refusal, Step, Verdict};
use godwitpost_types::outcome::{Outcome, Scope};
use godwitpost_wire::dispatch::Reply;
use godwitpost_wire::header;
use http::{HeaderValue, Response, StatusCode};

use super::endpoint::{self, Target};
use super::local_owner::{self, Decision, Permit};
use super::{AttemptResult, Job};
use crate::body;
use crate::claims::{self, CachedResponse};
use crate::problem::Problem;
use crate::shared::Shared;

/// Maximum size of the response to an unrepeatable request. Responses are read
/// completely so that they can be cached; confirmations take about a kilobyte.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// How long the body of a response may take after its head.
const RESPONSE_BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of endpoints that are tried under one claim.
const MAX_ENDPOINTS_TRIED: usize = 3;

/// Runs an unrepeatable request that has a permit.
pub(crate) async fn run(shared: &Arc<Shared>, permit: Permit, job: &Job) -> AttemptResult {
    match request_claim(shared, job).await {
        ClaimResult::Acquired(id) => run_claimed(shared, permit, job, id).await,
        ClaimResult::Cached(cached) => build_response(cached, true),
        ClaimResult::Refused(problem) => problem_reply(problem),
    }
}

/// Returns the cached response if the key was sent before.
///
/// # Errors
///
/// Returns the problem if the key was sent with another body.
pub(crate) fn replay(shared: &Shared, job: &Job) -> Result<Option<AttemptResult>, Problem> {
    let request = &job.head.request;
    let Some(key) = &request.key else {
        return Ok(None);
    };
    let mut claims = shared.claims.lock();
    match claims.responses.get(shared.now(), key, &request.digest) {
        Lookup::Hit(cached) => Ok(Some(build_response(cached.clone(), true))),
        Lookup::OtherBody => Err(refusal_problem(Refusal::OtherBody)),
        Lookup::Miss => Ok(None),
    }
}

/// Returns the problem of a request whose outcome is unknown.
pub(crate) fn unknown_outcome() -> Problem {
    Problem::unknown(
        StatusCode::BAD_GATEWAY,
        "broken",
        "the endpoint broke off after it had the request; it may have run, so find out before you send it with a new key",
    )
}

/// The result of requesting a claim.
enum ClaimResult {
    /// This instance holds the claim.
    Acquired(Id),
    /// Another instance holds the claim and has this response.
    Cached(CachedResponse),
    /// The request is refused.
    Refused(Problem),
}

async fn request_claim(shared: &Arc<Shared>, job: &Job) -> ClaimResult {
    let request = &job.head.request;
    let (Some(digest), Some(issued)) = (request.key, job.head.issued) else {
        return ClaimResult::Refused(refusal_problem(Refusal::Unavailable));
    };
    let key = Key { digest, issued };
    let record = shared
        .claims
        .lock()
        .holder
        .open(&key, request.digest, request.deadline);
    let verdict = claims::request_verdict(shared, record).await;
    if let Verdict::Taken { by, .. } = verdict
        && by.holder != shared.local()
        && let Some(cached) =
            claims::fetch_response(shared, by.holder, &digest, &request.digest).await
    {
        shared
            .claims
            .lock()
            .holder
            .apply_verdict(shared.now(), record.id, verdict);
        return ClaimResult::Cached(cached);
    }
    let now = shared.now();
    let step = shared
        .claims
        .lock()
        .holder
        .apply_verdict(now, record.id, verdict);
    match step {
        Step::Claimed => ClaimResult::Acquired(record.id),
        Step::Refuse { refusal, report } => {
            if let Some(report) = report {
                spawn_report(shared, report);
            }
            ClaimResult::Refused(refusal_problem(refusal))
        }
        Step::Report(report) => {
            spawn_report(shared, report);
            ClaimResult::Refused(refusal_problem(Refusal::Unavailable))
        }
        Step::Ignore => ClaimResult::Refused(refusal_problem(Refusal::Unavailable)),
    }
}

async fn run_claimed(shared: &Arc<Shared>, permit: Permit, job: &Job, id: Id) -> AttemptResult {
    // If this process paused after the verdict until past the deadline, the
    // caller has already got the outcome *not run*.
    if !shared.claims.lock().holder.try_start(shared.now(), id) {
        return abandon(shared, id);
    }
    let mut job = job.clone();
    let mut permit = permit;
    for _ in 0..MAX_ENDPOINTS_TRIED {
        let Some(target) = Target::find(shared, &permit, &job) else {
            return finish_not_run(shared, id, permit, Ending::Leaving);
        };
        let ending = match exchange(shared, &target, &permit, &job).await {
            Ok(response) => {
                permit.finish(Ending::Done);
                return record_response(shared, id, &job, response);
            }
            Err(ending) if ending.proves_not_run() => ending,
            Err(ending) => {
                permit.finish(ending);
                finish_claim(shared, id, Outcome::Unknown);
                return problem_reply(unknown_outcome());
            }
        };
        permit.finish(ending);
        job.head.hop.tried.push(target.endpoint.id);
        permit = match local_owner::offer(shared, &job.head.request, &job.head.hop).await {
            Decision::Dispatch(permit) => permit,
            Decision::Forward(..) | Decision::Refuse(_) => {
                finish_claim(shared, id, Outcome::NotRun);
                return problem_reply(key_used_up());
            }
        };
    }
    finish_not_run(shared, id, permit, Ending::Abandoned)
}

async fn exchange(
    shared: &Arc<Shared>,
    target: &Target,
    permit: &Permit,
    job: &Job,
) -> Result<CachedResponse, Ending> {
    let response = endpoint::send(shared, target, permit.grant(), job).await?;
    if let Some(ending) = endpoint::refusal_ending(shared, target, &response) {
        return Err(ending);
    }
    read_response(response).await.ok_or(Ending::Broken)
}

async fn read_response(response: Response<ResponseBody>) -> Option<CachedResponse> {
    let (mut parts, received) = response.into_parts();
    endpoint::strip_headers(&mut parts.headers);
    // A response that ends when its connection closes may be truncated.
    if received.framing() == Framing::CloseDelimited {
        return None;
    }
    let read = body::collect(received, MAX_RESPONSE_BYTES);
    let body = tokio::time::timeout(RESPONSE_BODY_TIMEOUT, read)
        .await
        .ok()?
        .ok()?;
    Some(CachedResponse {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}

fn record_response(
    shared: &Arc<Shared>,
    id: Id,
    job: &Job,
    response: CachedResponse,
) -> AttemptResult {
    // A service that failed may have run the request partly or not at all. Its
    // response is forwarded but not cached, as it does not tell a retrying caller
    // whether the request was run.
    if response.status.is_server_error() {
        finish_claim(shared, id, Outcome::Unknown);
        return build_response(response, false);
    }
    finish_claim(shared, id, Outcome::Ran);
    let request = &job.head.request;
    if let Some(key) = request.key {
        let size = response.body.len() + CACHED_HEAD_BYTES;
        let now = shared.now();
        let mut claims = shared.claims.lock();
        claims
            .responses
            .insert(now, key, request.digest, response.clone(), size);
    }
    build_response(response, false)
}

/// The assumed size of the head of a cached response.
const CACHED_HEAD_BYTES: usize = 512;

fn build_response(cached: CachedResponse, replayed: bool) -> AttemptResult {
    let mut response = Response::new(body::full(cached.body));
    *response.status_mut() = cached.status;
    *response.headers_mut() = cached.headers;
    if replayed {
        let value = HeaderValue::from_static("true");
        response.headers_mut().insert(header::REPLAYED, value);
    }
    AttemptResult::Response(response)
}

fn abandon(shared: &Arc<Shared>, id: Id) -> AttemptResult {
    let abandoned = shared.claims.lock().holder.abandon(id);
    match abandoned {
        AbandonResult::NotRun(report) => {
            spawn_report(shared, report);
            problem_reply(refusal_problem(Refusal::Deadline))
        }
        AbandonResult::TooLate => problem_reply(unknown_outcome()),
    }
}

fn finish_not_run(shared: &Arc<Shared>, id: Id, permit: Permit, ending: Ending) -> AttemptResult {
    permit.finish(ending);
    finish_claim(shared, id, Outcome::NotRun);
    problem_reply(key_used_up())
}

fn finish_claim(shared: &Arc<Shared>, id: Id, outcome: Outcome) {
    let report = shared.claims.lock().holder.finish(id, outcome);
    if let Some(report) = report {
        spawn_report(shared, report);
    }
}

// Best effort: the caller does not wait for the report.
fn spawn_report(shared: &Arc<Shared>, report: Item) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move { claims::report_outcome(&shared, report).await });
}

fn problem_reply(problem: Problem) -> AttemptResult {
    AttemptResult::Reply(Reply::Error(problem.into()))
}

// The claim is used up, so the same key can't be used again.
fn key_used_up() -> Problem {
    Problem::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "unreachable",
        "no endpoint took the request and nothing was run; send it again with a new key",
    )
    .with_scope(Scope::Key)
    .with_retry_after(Duration::from_secs(1))
}

fn refusal_problem(refusal: Refusal) -> Problem {
    let (status, reason) = match refusal {
        Refusal::Ran => (StatusCode::CONFLICT, "key-ran"),
        Refusal::Running => (StatusCode::CONFLICT, "key-running"),
        Refusal::Spent => (StatusCode::CONFLICT, "key-spent"),
        Refusal::OtherBody => (StatusCode::UNPROCESSABLE_ENTITY, "key-other-body"),
        Refusal::Expired => (StatusCode::BAD_REQUEST, "key-expired"),
        Refusal::Early => (StatusCode::BAD_REQUEST, "key-early"),
        Refusal::Unavailable => (StatusCode::SERVICE_UNAVAILABLE, "claims-unavailable"),
        Refusal::Deadline => (StatusCode::GATEWAY_TIMEOUT, "deadline"),
    };
    let problem = Problem::not_run(status, reason, refusal.to_string())
        .with_outcome(refusal.outcome())
        .with_scope(refusal.scope());
    match refusal {
        Refusal::Unavailable | Refusal::Running => problem.with_retry_after(Duration::from_secs(2)),
        _ => problem,
    }
}
