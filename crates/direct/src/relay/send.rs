//! Sends a request until an endpoint responds or all attempts are used up.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::{Body, ResponseBody};
use http::Response;
use http::request::Request;
use http::response::Parts;
use http_body_util::{BodyExt, Full};
use tokio::time::{Instant, sleep};

use super::Job;
use super::choose::{self, Chosen, RESPONSE_RETURN_TIME, choose_endpoint};
use super::expected::Expected;
use super::forward::{self, Sent};
use super::in_flight::InFlightRequest;
use super::payload::{Break, Payload, has_unknown_coding};
use super::response::record_response;
use super::source::{self, Source};
use crate::attempt::{Failure, Next, Verdict, classify_response};
use crate::dialect::OutgoingFields;
use crate::place::Choice;
use crate::policy::Kind;
use crate::refusal::Reason;
use crate::roster::Registration;
use crate::stats::{Observation, SILENCE_TOLD_INTERVAL};

/// How long to wait for the response head before trying another endpoint, as a multiple
/// of the route's objective. This applies only where a retry is safe. An endpoint that is
/// this late rarely finishes before another one that starts now.
const HEAD_TIMEOUT_OBJECTIVES: u32 = 2;

/// The maximum idle time of a connection that is used for a request that must not run
/// twice, or for a retry. If the endpoint has already dropped the connection, the request
/// is lost without any indication of whether it ran.
const MAX_IDLE_BEFORE_UNSAFE_SEND: Duration = Duration::from_millis(100);

/// A request waits for a share of a warming endpoint or for room at a fragile one, if there
/// is no other, for at most its objective divided by this, so that there is time left to
/// answer it.
const ROOM_WAIT_DIVISOR: u32 = 2;

/// The interval between checks for a free share or room.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A response from an endpoint whose head may be passed to the caller.
#[derive(Debug)]
pub(crate) struct EndpointResponse {
    pub(crate) head: Parts,
    pub(crate) body: Payload,
    pub(crate) in_flight: InFlightRequest,
}

/// The result of one attempt.
enum AttemptResult {
    Response(EndpointResponse),
    /// A response that is worth a retry; it is relayed if there is none.
    Fallback(EndpointResponse),
    Failed(Failure),
    /// It was withdrawn from the endpoint, since a part of its prompt is held.
    Withdrawn,
}

/// Sends a request to one endpoint after another, as the retry rules allow, until there
/// is a response for the caller.
///
/// # Errors
///
/// Returns the reason why there is none.
pub(crate) async fn dispatch(
    job: &mut Job,
    last_event_id: Option<u64>,
) -> Result<EndpointResponse, Reason> {
    let mut fallback = None;
    loop {
        let chosen = match choose_endpoint(job) {
            Ok(chosen) => chosen,
            Err(Reason::Warming | Reason::NoRoom)
                if job.age() < job.route.objective / ROOM_WAIT_DIVISOR =>
            {
                sleep(ROOM_POLL_INTERVAL).await;
                continue;
            }
            Err(reason) => return fallback.ok_or_else(|| job.attempts.final_reason(reason)),
        };
        let failure = match attempt(job, &chosen, last_event_id).await {
            AttemptResult::Response(response) => return Ok(response),
            AttemptResult::Fallback(response) => {
                fallback = Some(response);
                Failure::Failed
            }
            AttemptResult::Failed(failure) => failure,
            AttemptResult::Withdrawn => return Err(Reason::Broken),
        };
        let next = check_retry(job, failure);
        log::warn!(
            request:% = job.id(), endpoint:% = chosen.registration.endpoint.name, ending:? = failure,
            next:? = next, sent = job.attempts.sent(), left_ms:% = job.remaining().as_millis();
            "attempt failed"
        );
        if let Err(reason) = next {
            return fallback.ok_or(reason);
        }
    }
}

// Returns `Ok` if the request may be sent to another endpoint.
fn check_retry(job: &mut Job, failure: Failure) -> Result<(), Reason> {
    let next = job.attempts.record_failure(failure);
    if job.remaining().is_zero() {
        return Err(job.attempts.deadline_reason());
    }
    match next {
        Next::GiveUp(Reason::Refused) => Err(choose::pause_reason(job).unwrap_or(Reason::Refused)),
        Next::GiveUp(reason) => Err(reason),
        Next::Retry { uses_budget: false } => Ok(()),
        Next::Retry { uses_budget: true } => {
            let allowed = job.shared.budget().try_take(job.service, boot_time());
            job.shared.metrics.count_repeat(allowed);
            if allowed {
                Ok(())
            } else {
                Err(job.attempts.final_reason(Reason::Refused))
            }
        }
    }
}

async fn attempt(job: &mut Job, chosen: &Chosen, last_event_id: Option<u64>) -> AttemptResult {
    let registration = &chosen.registration;
    job.tried.push(registration.endpoint.id);
    let mut in_flight = InFlightRequest::new(job, chosen);
    log::info!(
        request:% = job.id(), route:% = job.route.name, endpoint:% = registration.endpoint.name,
        build:% = registration.build, choice:% = chosen.choice.as_str(), load:% = chosen.load,
        load_age_ms:? = chosen.belief.report_age.map(|age| age.as_millis()),
        own = chosen.belief.own_requests, silent = chosen.belief.is_silent,
        mean:% = chosen.belief.service.mean, limit:% = chosen.belief.limit,
        known:% = chosen.belief.service.known_fraction, demand:? = chosen.belief.demand, part:? = job.fields.affinity_part().map(|part| part.id),
        source:% = display_source(chosen.source.as_ref()),
        read_tokens:? = chosen.expected.as_ref().map(|one| one.demand.read.round()),
        expected_ms:? = chosen.expected.as_ref().and_then(Expected::first_event_ms), version = job.version,
        confirmed_ms:% = job.shared.policy_age().as_millis(),
        left_ms:% = job.remaining().as_millis(), wait_ms:% = head_timeout(job).as_millis();
        "request sent"
    );
    let Some(sent) = send_unless_held(job, chosen, &in_flight, last_event_id).await else {
        return AttemptResult::Withdrawn;
    };
    match sent {
        Sent::Response(response, via) => {
            in_flight.via = via;
            let is_whole_answer = response.status().is_success() && last_event_id.is_none();
            if via.is_some() || !is_whole_answer {
                in_flight.untrack();
            }
            let is_unsure = chosen.choice == Choice::Unsure;
            handle_response(job, in_flight, *response, is_unsure)
        }
        Sent::Failed(error) => AttemptResult::Failed(in_flight.record_send_error(job, &error)),
        Sent::Unreachable => {
            in_flight.record_unresponsive(Observation::NoConnection);
            AttemptResult::Failed(Failure::NotSent)
        }
        Sent::Lost => AttemptResult::Failed(Failure::Lost),
    }
}

// Sends a request, and withdraws it if a part of its prompt is held before the endpoint
// responds: it most likely waits there, and would crash one endpoint more.
//
// Tells others of an endpoint that doesn't begin the response in the usual time. Gives up at the
// end of a shutdown, so that the caller gets an answer.
async fn send_unless_held(
    job: &Job,
    chosen: &Chosen,
    in_flight: &InFlightRequest,
    last_event_id: Option<u64>,
) -> Option<Sent> {
    let mut sending = pin!(forward::send(job, chosen, last_event_id));
    let mut shutdown = pin!(job.shared.shutdown().ended());
    let late_head = in_flight.late_head();
    let mut late = pin!(sleep(late_head.unwrap_or_default()));
    loop {
        let mut part_held = pin!(job.shared.part_held().notified());
        part_held.as_mut().enable();
        if job.has_held_part() {
            log::info!(
                request:% = job.id(), endpoint:% = chosen.registration.endpoint.name;
                "request withdrawn: a part of its prompt crashes endpoints"
            );
            job.shared.metrics.crashes().count_refusal(&job.route.name);
            return None;
        }
        tokio::select! {
            sent = &mut sending => return Some(sent),
            () = &mut shutdown => return Some(Sent::Lost),
            () = part_held => {}
            () = &mut late, if late_head.is_some() => {
                in_flight.record_late_head(job.id());
                late.as_mut().reset(Instant::now() + SILENCE_TOLD_INTERVAL);
            }
        }
    }
}

// Returns a source as logs show it.
fn display_source(source: Option<&Source>) -> &dyn std::fmt::Display {
    source.map_or(&"none", |source| source)
}

// Returns how long to wait for the response head.
pub(super) fn head_timeout(job: &Job) -> Duration {
    let can_retry = job.route.kind.idempotent() && job.attempts.sent() + 1 < job.route.attempts;
    let remaining = job.remaining();
    if can_retry {
        remaining.min(job.route.objective * HEAD_TIMEOUT_OBJECTIVES)
    } else {
        remaining
    }
}

// Returns the maximum idle time of a connection for this attempt.
pub(super) fn max_idle(job: &Job) -> Duration {
    max_idle_for(job.route.kind, job.attempts.sent() == 0)
}

/// Returns the maximum idle time of a connection for a request of this kind.
pub(super) const fn max_idle_for(kind: Kind, is_first_send: bool) -> Duration {
    if is_first_send && kind.idempotent() {
        Duration::MAX
    } else {
        MAX_IDLE_BEFORE_UNSAFE_SEND
    }
}

/// Returns the request as an endpoint gets it. A missing part of its prompt can be fetched
/// from `source`.
pub(super) fn build_request(
    job: &Job,
    registration: &Registration,
    source: Option<SocketAddr>,
    last_event_id: Option<u64>,
) -> Request<Body> {
    let mut headers = job.headers.clone();
    let outgoing = OutgoingFields {
        remaining: job.remaining().saturating_sub(RESPONSE_RETURN_TIME),
        endpoint: &registration.endpoint.name,
        workspace: job
            .workspace
            .as_ref()
            .map(|workspace| workspace.name.as_str()),
        rank: job.rank(),
        last_event_id,
        source,
    };
    (job.shared.dialect.write_request)(&mut headers, &outgoing);
    let body = Full::new(job.body.clone()).map_err(Into::into);
    let mut request = Request::new(body.boxed_unsync());
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.target.clone();
    *request.headers_mut() = headers;
    request
}

fn handle_response(
    job: &Job,
    in_flight: InFlightRequest,
    response: Response<ResponseBody>,
    is_unsure: bool,
) -> AttemptResult {
    let (head, body) = response.into_parts();
    let fields = (job.shared.dialect.read_response)(head.status, &head.headers);
    record_response(job, &in_flight, head.status, &fields);
    let idempotent = job.route.kind.idempotent();
    let verdict = classify_response(head.status, &fields, &job.fields.attempt_id, idempotent);
    let verdict = match verdict {
        Verdict::Relay | Verdict::Fallback if has_unknown_coding(&head.headers) => {
            Verdict::Failed(Failure::Lost)
        }
        verdict => verdict,
    };
    let response = EndpointResponse {
        body: Payload::new(body, job.kind(), &head, &in_flight),
        head,
        in_flight,
    };
    if is_unsure && !fields.not_run {
        job.shared
            .fragility()
            .give_back(response.in_flight.endpoint(), boot_time());
    }
    match verdict {
        Verdict::Relay => {
            source::record_holder(job, &response);
            AttemptResult::Response(response)
        }
        Verdict::Fallback => AttemptResult::Fallback(response),
        Verdict::Failed(failure) => {
            log::warn!(
                request:% = job.id(), endpoint:% = response.in_flight.name(),
                status = response.head.status.as_u16(), not_run = fields.not_run,
                signed = fields.signed;
                "response not relayed"
            );
            AttemptResult::Failed(failure)
        }
    }
}

/// A response body that is buffered before its head is passed to the caller.
pub(super) enum BufferedBody {
    /// The whole body.
    Whole(Bytes),
    /// The beginning of a body that is too long to buffer, and the rest of it.
    TooLong(Bytes, Box<Payload>),
    /// The body broke off.
    Broken(Option<Break>),
}
