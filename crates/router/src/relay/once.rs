//! Unrepeatable requests: nothing leaves for an endpoint without a claim.
//!
//! The claim is held from before the first byte leaves, and never given to
//! another instance. An endpoint that provably ran nothing (it could not be
//! reached, or said that it is leaving) may be replaced by another under the
//! same claim, by this instance alone. After a byte has left, whatever goes
//! wrong leaves the fate unknown, and the caller is told just that.

use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::connect::Received;
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

/// Bytes of an unrepeatable request's answer. Answers are read whole, so that
/// they can be kept; confirmations have about a kilobyte.
const ANSWER_BYTES: usize = 4 << 20;

/// How long an answer's body may take after its head.
const ANSWER_WAIT: Duration = Duration::from_secs(30);

/// Endpoints that are tried under one claim.
const TRIES: usize = 3;

/// Runs an unrepeatable request that has leave to be dispatched.
pub(crate) async fn run(shared: &Arc<Shared>, permit: Permit, job: &Job) -> AttemptResult {
    match claimed(shared, job).await {
        Claimed::Here(id) => started(shared, permit, job, id).await,
        Claimed::Kept(kept) => answered(kept, true),
        Claimed::Not(problem) => told(problem),
    }
}

/// Returns the kept answer of a key that was sent again.
///
/// # Errors
///
/// Returns the problem if the key came with another body.
pub(crate) fn replay(shared: &Shared, job: &Job) -> Result<Option<AttemptResult>, Problem> {
    let request = &job.head.request;
    let Some(key) = &request.key else {
        return Ok(None);
    };
    let mut claims = shared.claims.lock();
    match claims.responses.get(shared.now(), key, &request.digest) {
        Lookup::Hit(kept) => Ok(Some(answered(kept.clone(), true))),
        Lookup::OtherBody => Err(problem(Refusal::OtherBody)),
        Lookup::Miss => Ok(None),
    }
}

/// Returns the problem of a request whose fate isn't known.
pub(crate) fn unknown() -> Problem {
    Problem::unknown(
        StatusCode::BAD_GATEWAY,
        "broken",
        "the endpoint broke off after it had the request; it may have run, so find out before you send it with a new key",
    )
}

/// What came of asking for a claim.
enum Claimed {
    /// This instance holds it.
    Here(Id),
    /// Another one holds it, and has this answer.
    Kept(CachedResponse),
    /// The request is refused.
    Not(Problem),
}

async fn claimed(shared: &Arc<Shared>, job: &Job) -> Claimed {
    let request = &job.head.request;
    let (Some(digest), Some(issued)) = (request.key, job.head.issued) else {
        return Claimed::Not(problem(Refusal::Unavailable));
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
        && let Some(kept) =
            claims::fetch_response(shared, by.holder, &digest, &request.digest).await
    {
        shared
            .claims
            .lock()
            .holder
            .apply_verdict(shared.now(), record.id, verdict);
        return Claimed::Kept(kept);
    }
    let now = shared.now();
    let step = shared
        .claims
        .lock()
        .holder
        .apply_verdict(now, record.id, verdict);
    match step {
        Step::Claimed => Claimed::Here(record.id),
        Step::Refuse { refusal, report } => {
            if let Some(report) = report {
                tell(shared, report);
            }
            Claimed::Not(problem(refusal))
        }
        Step::Report(fate) => {
            tell(shared, fate);
            Claimed::Not(problem(Refusal::Unavailable))
        }
        Step::Ignore => Claimed::Not(problem(Refusal::Unavailable)),
    }
}

async fn started(shared: &Arc<Shared>, permit: Permit, job: &Job, id: Id) -> AttemptResult {
    // A pause of this process between the verdict and here may have lasted
    // past the deadline, when the caller was told *not run*.
    if !shared.claims.lock().holder.try_start(shared.now(), id) {
        return given_up(shared, id);
    }
    let mut job = job.clone();
    let mut permit = permit;
    for _ in 0..TRIES {
        let Some(target) = Target::find(shared, &permit, &job) else {
            return not_run(shared, id, permit, Ending::Leaving);
        };
        let ending = match exchange(shared, &target, &permit, &job).await {
            Ok(kept) => {
                permit.finish(Ending::Done);
                return ran(shared, id, &job, kept);
            }
            Err(ending) if ending.proves_not_run() => ending,
            Err(ending) => {
                permit.finish(ending);
                finish(shared, id, Outcome::Unknown);
                return told(unknown());
            }
        };
        permit.finish(ending);
        job.head.hop.tried.push(target.endpoint.id);
        permit = match local_owner::offer(shared, &job.head.request, &job.head.hop).await {
            Decision::Dispatch(permit) => permit,
            Decision::Forward(..) | Decision::Refuse(_) => {
                finish(shared, id, Outcome::NotRun);
                return told(spent());
            }
        };
    }
    not_run(shared, id, permit, Ending::Abandoned)
}

async fn exchange(
    shared: &Arc<Shared>,
    target: &Target,
    permit: &Permit,
    job: &Job,
) -> Result<CachedResponse, Ending> {
    let response = endpoint::send(shared, target, permit.grant(), job).await?;
    if let Some(ending) = endpoint::refused(shared, target, &response) {
        return Err(ending);
    }
    whole(response).await.ok_or(Ending::Broken)
}

async fn whole(response: Response<Received>) -> Option<CachedResponse> {
    let (mut parts, received) = response.into_parts();
    endpoint::clean(&mut parts.headers);
    // An answer that ends with its connection may be half of one.
    if !received.is_framed() {
        return None;
    }
    let read = body::collect(received, ANSWER_BYTES);
    let body = tokio::time::timeout(ANSWER_WAIT, read).await.ok()?.ok()?;
    Some(CachedResponse {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}

fn ran(shared: &Arc<Shared>, id: Id, job: &Job, kept: CachedResponse) -> AttemptResult {
    // A service that failed may have done half of it or nothing. Its answer is
    // passed on, but says nothing to a caller that comes again.
    if kept.status.is_server_error() {
        finish(shared, id, Outcome::Unknown);
        return answered(kept, false);
    }
    finish(shared, id, Outcome::Ran);
    let request = &job.head.request;
    if let Some(key) = request.key {
        let size = kept.body.len() + KEPT_HEAD;
        let now = shared.now();
        let mut claims = shared.claims.lock();
        claims
            .responses
            .insert(now, key, request.digest, kept.clone(), size);
    }
    answered(kept, false)
}

/// Bytes that the head of a kept answer is counted as.
const KEPT_HEAD: usize = 512;

fn answered(kept: CachedResponse, replayed: bool) -> AttemptResult {
    let mut response = Response::new(body::full(kept.body));
    *response.status_mut() = kept.status;
    *response.headers_mut() = kept.headers;
    if replayed {
        let yes = HeaderValue::from_static("true");
        response.headers_mut().insert(header::REPLAYED, yes);
    }
    AttemptResult::Response(response)
}

fn given_up(shared: &Arc<Shared>, id: Id) -> AttemptResult {
    let abandoned = shared.claims.lock().holder.abandon(id);
    match abandoned {
        AbandonResult::NotRun(fate) => {
            tell(shared, fate);
            told(problem(Refusal::Deadline))
        }
        AbandonResult::TooLate => told(unknown()),
    }
}

fn not_run(shared: &Arc<Shared>, id: Id, permit: Permit, ending: Ending) -> AttemptResult {
    permit.finish(ending);
    finish(shared, id, Outcome::NotRun);
    told(spent())
}

fn finish(shared: &Arc<Shared>, id: Id, outcome: Outcome) {
    let fate = shared.claims.lock().holder.finish(id, outcome);
    if let Some(fate) = fate {
        tell(shared, fate);
    }
}

// Best effort, so the caller does not wait for it.
fn tell(shared: &Arc<Shared>, fate: Item) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move { claims::report_outcome(&shared, fate).await });
}

fn told(problem: Problem) -> AttemptResult {
    AttemptResult::Reply(Reply::Told(problem.into()))
}

// The claim is spent, so the same key can't be used again.
fn spent() -> Problem {
    Problem::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "unreachable",
        "no endpoint took the request and nothing was run; send it again with a new key",
    )
    .with_scope(Scope::Key)
    .with_retry_after(Duration::from_secs(1))
}

fn problem(refusal: Refusal) -> Problem {
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
