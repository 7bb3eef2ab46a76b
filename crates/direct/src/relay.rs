//! One request, from its head to the head of its answer.
//!
//! [`answer`] takes it in, has it run and hands back what the caller gets. A
//! [`Job`] is the request on its way: it is resolved again under the newest
//! configuration each time it is sent, so a key that was taken away or a route
//! that moved while it waited or failed is never acted on.

mod answer;
mod choose;
mod crash;
mod headers;
mod job;
mod send;
mod source;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::Body;
use godwitpost_types::clock::Moment;
use godwitpost_types::id::Version;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use rand::RngExt;
use tokio::time::{timeout, timeout_at};

pub(crate) use self::job::{BodyEnd, Job};
pub(crate) use self::send::{EndpointResponse, InFlightRequest, dispatch};
use crate::dialect::RequestFields;
use crate::refusal::Reason;
use crate::shared::{Admission, Shared};

/// How long after its start an instance may take to be informed: twice what it
/// takes one of eighty that start together.
const STARTS: Duration = Duration::from_millis(1_200);

/// The part of its caller's patience that a request waits for that at most: a
/// refusal must leave enough for a repeat elsewhere.
const OF_PATIENCE: u32 = 2;

/// Answers a caller's request.
pub(crate) async fn handle_request(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Response<Body> {
    let arrived = boot_time();
    let mut response = match serve(&shared, request, arrived).await {
        Ok(response) => response,
        Err(refused) => refuse(&shared, &refused),
    };
    if shared.is_draining() {
        // The balancer sends no new connections; what comes on this one is to
        // go to another instance.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// A request that gets an answer of the instance's own.
struct Refused {
    reason: Reason,
    who: Who,
}

/// What is known of a refused request.
enum Who {
    /// It came far enough to be resolved.
    Job(Box<Job>),
    /// It has at most this.
    Head {
        /// Its id.
        id: Option<String>,
        /// The version that took its key away.
        revoked_in: Option<Version>,
    },
}

async fn serve(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    arrived: Moment,
) -> Result<Response<Body>, Refused> {
    let (head, body) = request.into_parts();
    let facts = (shared.dialect.read_request)(&head.headers);
    let id = facts.as_ref().map(|facts| job::shown(&facts.attempt_id));
    let key = facts.as_ref().and_then(|facts| facts.key.clone());
    if let Some(facts) = &facts {
        start_up(shared, facts).await;
    }
    let mut job = match job(shared, head, facts, arrived) {
        Ok(job) => job,
        Err(reason) => {
            let revoked_in = key.and_then(|key| shared.view().revoked.revoking_version(&key));
            let who = Who::Head { id, revoked_in };
            return Err(Refused { reason, who });
        }
    };
    let sent = match read(&mut job, body).await {
        Ok(()) => dispatch(&mut job, None).await,
        Err(reason) => Err(reason),
    };
    match sent {
        Ok(sent) => Ok(answer::relay(job, sent).await),
        Err(reason) => {
            let who = Who::Job(job);
            Err(Refused { reason, who })
        }
    }
}

// Waits, at an instance that has just started, until it is informed.
//
// After a loss of all instances everybody returns at once. One of a few is
// informed 30 ms after it listens, one of eighty with hundreds of routes after
// 600 ms: it isn't known that a request can't be served, and what is refused uses
// up its caller's only repeat at the next instance that isn't informed either.
// An instance that is not informed by then has lost the log, and refuses at once.
async fn start_up(shared: &Shared, facts: &RequestFields) {
    let left = STARTS.saturating_sub(shared.uptime());
    if left.is_zero() || shared.can_route() {
        return;
    }
    let patience = facts.timeout.unwrap_or(STARTS) / OF_PATIENCE;
    let mut beliefs = shared.view_changes();
    let informed = async { while !shared.can_route() && beliefs.changed().await.is_ok() {} };
    if timeout(left.min(patience), informed).await.is_err() {
        log::info!(request:% = job::shown(&facts.attempt_id); "not informed within the start");
    }
}

fn job(
    shared: &Arc<Shared>,
    head: Parts,
    facts: Option<RequestFields>,
    arrived: Moment,
) -> Result<Box<Job>, Reason> {
    let admission = shared.admit().ok_or(Reason::Overloaded)?;
    Job::new(shared, head, facts, arrived, admission).map(Box::new)
}

// Reads the caller's body whole: only then can it be sent a second time, and
// an endpoint that answers early or late never meets half of it. A request
// that names two lengths is read by its chunks, and hyper closes its
// connection afterwards, so that what is hidden behind it is never read.
async fn read(job: &mut Job, body: Incoming) -> Result<(), Reason> {
    let limit = job.limits().body_bytes;
    let whole = timeout_at(job.until(), Limited::new(body, limit).collect())
        .await
        .map_err(|_elapsed| Reason::BodyTimeout)?;
    let bytes = match whole {
        Ok(whole) => whole.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => return Err(Reason::BodyTooLarge),
        Err(error) => {
            log::debug!(request:% = job.id(), error:% = error; "body broke off");
            return Err(Reason::Malformed);
        }
    };
    if !job.admission(|admission: &mut Admission| admission.reserve_body(bytes.len())) {
        return Err(Reason::Overloaded);
    }
    job.set_body(bytes);
    Ok(())
}

fn refuse(shared: &Shared, refused: &Refused) -> Response<Body> {
    let reason = refused.reason;
    shared.metrics.count_refusal(reason);
    match &refused.who {
        Who::Job(job) => job.refused(reason),
        Who::Head { id, revoked_in } => unresolved(shared, reason, id.as_deref(), *revoked_in),
    }
    let text = format!(
        "{{\"title\":\"{}\",\"detail\":\"{reason}\"}}\n",
        reason.as_str()
    );
    let body = Full::new(Bytes::from(text)).map_err(Into::into);
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    set_retry_after(shared, headers, reason);
    response
}

// Says when to come back, if that may help.
fn set_retry_after(shared: &Shared, headers: &mut HeaderMap, reason: Reason) {
    let Some(wait) = reason.retry_after() else {
        return;
    };
    let wait = wait.mul_f64(rand::rng().random_range(reason.jitter()));
    let value = (shared.dialect.format_retry_after)(wait);
    match HeaderValue::try_from(value) {
        Ok(value) => drop(headers.insert(RETRY_AFTER, value)),
        Err(error) => log::error!(error:% = error; "time to come back can't be spelled"),
    }
}

// Counts and logs a refusal of a request that was never resolved.
fn unresolved(shared: &Shared, reason: Reason, id: Option<&str>, revoked_in: Option<Version>) {
    let metrics = shared.metrics.requests();
    let status = reason.status().as_u16();
    metrics.head(&metrics.nobody(), reason.outcome(), status, Duration::ZERO);
    let view = shared.view();
    let version = view.policy.as_ref().map_or(0, |policy| policy.version());
    log::warn!(
        request:% = id.unwrap_or("(none)"), reason:% = reason.as_str(),
        outcome:% = reason.outcome(), status = status, version = version,
        confirmed_ms = shared.policy_age().as_millis(), revoked_in:? = revoked_in;
        "request refused"
    );
}
