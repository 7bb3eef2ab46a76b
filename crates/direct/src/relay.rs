//! Handles one caller's request up to the head of its response.
//!
//! [`handle_request`] reads the request, dispatches it to an endpoint and returns the
//! response for the caller. A [`Job`] is an accepted request. It is resolved again under
//! the current configuration before each attempt, so an API key that was revoked or a
//! route that changed in the meantime is never used.

mod answer;
mod choose;
mod crash;
mod expected;
pub(crate) mod forward;
mod headers;
mod in_flight;
mod job;
mod keep;
mod origin;
mod payload;
mod response;
mod send;
mod source;
mod stream;
mod timing;
mod unread;
mod witness;

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

use self::answer::WholeBody;
use self::in_flight::InFlightRequest;
use self::job::{BodyEnd, Job};
pub(crate) use self::keep::pass_on;
pub(crate) use self::origin::{
    Handled, adopt_sole_builds, handle_message, sole_builds, tell_origins,
};
use self::send::{EndpointResponse, dispatch};
use crate::dialect::RequestFields;
use crate::refusal::Reason;
use crate::shared::{Admission, Shared};

/// How long after its start an instance may take to load its configuration and endpoints:
/// twice the time that one of eighty instances starting together needs.
const STARTUP_GRACE: Duration = Duration::from_millis(1_200);

/// A request waits for startup for at most the caller's timeout divided by this, so that
/// a refusal leaves enough time for a retry at another instance.
const STARTUP_WAIT_DIVISOR: u32 = 2;

/// Handles a caller's request and returns the response.
pub(crate) async fn handle_request(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Response<Body> {
    let arrived = boot_time();
    let mut response = match serve(&shared, request, arrived).await {
        Ok(response) => response,
        Err(refused) => refuse(&shared, refused),
    };
    if shared.is_draining() {
        // The load balancer opens no new connections to a draining instance. Closing this
        // one sends the caller's next request to another instance.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// A request that the instance answers itself with an error.
struct Refused {
    reason: Reason,
    request: RefusedRequest,
}

/// What is known about a refused request.
enum RefusedRequest {
    /// The request was resolved to a route.
    Resolved(Box<Job>),
    /// The request was refused before it was resolved; the fields hold what could be
    /// read.
    Unresolved {
        /// The attempt id.
        id: Option<String>,
        /// The configuration version that revoked its API key.
        revoked_in: Option<Version>,
    },
}

async fn serve(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    arrived: Moment,
) -> Result<Response<Body>, Refused> {
    let (head, body) = request.into_parts();
    let fields = (shared.dialect.read_request)(&head.headers);
    let id = fields
        .as_ref()
        .map(|fields| job::loggable_id(&fields.attempt_id));
    let key = fields.as_ref().and_then(|fields| fields.key.clone());
    if let Some(fields) = &fields {
        wait_for_startup(shared, fields).await;
    }
    let mut job = match accept(shared, head, fields, arrived) {
        Ok(job) => job,
        Err(reason) => {
            let revoked_in = key.and_then(|key| shared.view().revoked.revoking_version(&key));
            let request = RefusedRequest::Unresolved { id, revoked_in };
            return Err(Refused { reason, request });
        }
    };
    let response = async {
        read_body(&mut job, body).await?;
        origin::bind_taken_up(&mut job).await?;
        dispatch(&mut job, None).await
    };
    let response = response.await;
    match response {
        Ok(response) => Ok(answer::relay(job, response).await),
        Err(reason) => {
            let request = RefusedRequest::Resolved(job);
            Err(Refused { reason, request })
        }
    }
}

// Waits, on an instance that has just started, until configuration and endpoints are
// loaded.
//
// After a loss of all instances, all callers return at once. An instance of a small fleet
// is ready 30 ms after it listens, one of eighty with hundreds of routes after 600 ms.
// Until then it is unknown whether a request can be served, and a refusal would use up
// the caller's only retry at another instance that isn't ready either. An instance that
// is still not ready after `STARTUP_GRACE` has lost the log and refuses at once.
async fn wait_for_startup(shared: &Shared, fields: &RequestFields) {
    let remaining = STARTUP_GRACE.saturating_sub(shared.uptime());
    if remaining.is_zero() || shared.can_route() {
        return;
    }
    let max_wait = fields.timeout.unwrap_or(STARTUP_GRACE) / STARTUP_WAIT_DIVISOR;
    let mut view_changes = shared.view_changes();
    let can_route = async { while !shared.can_route() && view_changes.changed().await.is_ok() {} };
    if timeout(remaining.min(max_wait), can_route).await.is_err() {
        log::info!(request:% = job::loggable_id(&fields.attempt_id); "configuration or endpoints not loaded within the startup grace period");
    }
}

fn accept(
    shared: &Arc<Shared>,
    head: Parts,
    fields: Option<RequestFields>,
    arrived: Moment,
) -> Result<Box<Job>, Reason> {
    let admission = shared.admit().ok_or(Reason::Overloaded)?;
    let job = Job::new(shared, head, fields, arrived, admission)?;
    shared.budget().record_request(job.service(), arrived);
    Ok(Box::new(job))
}

// Reads the whole request body before sending anything. This allows a retry, and an
// endpoint that responds early or late never sees a partial body. A request with both
// `Content-Length` and chunked encoding is read by its chunks, and hyper closes its
// connection afterwards, so smuggled data behind it is never read.
async fn read_body(job: &mut Job, body: Incoming) -> Result<(), Reason> {
    let limit = job.limits().body_bytes;
    let until = job.timer_deadline();
    let shared = Arc::clone(job.shared());
    let collected = timeout_at(until, collect_body(job, Limited::new(body, limit)));
    let bytes = tokio::select! {
        collected = collected => collected,
        () = shared.shutdown().ended() => return Err(Reason::Draining),
    };
    let bytes = bytes.map_err(|_elapsed| {
        // A body that begins after the shutdown has the shutdown's end as its deadline.
        if shared
            .shutdown()
            .remaining()
            .is_some_and(|left| left.is_zero())
        {
            Reason::Draining
        } else {
            Reason::BodyTimeout
        }
    })??;
    job.set_body(bytes);
    Ok(())
}

// Reserves memory for the body as it arrives: a client that sends slowly holds what it has
// sent until its deadline.
async fn collect_body(job: &mut Job, mut body: Limited<Incoming>) -> Result<Bytes, Reason> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            if error.is::<LengthLimitError>() {
                return Reason::BodyTooLarge;
            }
            log::debug!(request:% = job.id(), error:% = error; "request body broke off");
            Reason::Malformed
        })?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if !job.admission(|admission: &mut Admission| admission.reserve_body(data.len())) {
            return Err(Reason::Overloaded);
        }
        bytes.extend_from_slice(data);
    }
    // It grew by doubling, but only its length is reserved.
    bytes.shrink_to_fit();
    Ok(bytes.into())
}

fn refuse(shared: &Shared, refused: Refused) -> Response<Body> {
    let Refused { reason, request } = refused;
    shared.metrics.count_refusal(reason);
    let text = format!(
        "{{\"title\":\"{}\",\"detail\":\"{reason}\"}}\n",
        reason.as_str()
    );
    let text = Bytes::from(text);
    let body = match request {
        RefusedRequest::Resolved(job) => {
            job.record_refusal(reason);
            WholeBody::into_bytes(text, job)
        }
        RefusedRequest::Unresolved { id, revoked_in } => {
            record_unresolved(shared, reason, id.as_deref(), revoked_in);
            text
        }
    };
    let body = Full::new(body).map_err(Into::into);
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

// Sets `Retry-After` if a retry may help.
fn set_retry_after(shared: &Shared, headers: &mut HeaderMap, reason: Reason) {
    let Some(wait) = reason.retry_after() else {
        return;
    };
    let wait = wait.mul_f64(rand::rng().random_range(reason.jitter()));
    let value = (shared.dialect.format_retry_after)(wait);
    match HeaderValue::try_from(value) {
        Ok(value) => drop(headers.insert(RETRY_AFTER, value)),
        Err(error) => log::error!(error:% = error; "Retry-After value is not a valid header value"),
    }
}

// Counts and logs a request that was refused before it was resolved.
fn record_unresolved(
    shared: &Shared,
    reason: Reason,
    id: Option<&str>,
    revoked_in: Option<Version>,
) {
    let metrics = shared.metrics.requests();
    let status = reason.status().as_u16();
    metrics.record_response_head(
        &metrics.unknown_workspace(),
        reason.outcome(),
        status,
        Duration::ZERO,
    );
    let view = shared.view();
    let version = view.policy.as_ref().map_or(0, |policy| policy.version());
    log::warn!(
        request:% = id.unwrap_or("(none)"), reason:% = reason.as_str(),
        outcome:% = reason.outcome(), status = status, version = version,
        confirmed_ms = shared.policy_age().as_millis(), revoked_in:? = revoked_in;
        "request refused"
    );
}
