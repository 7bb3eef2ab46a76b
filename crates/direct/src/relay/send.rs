//! Sending a request until an endpoint answers it, or it is given up.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::{Body, Cause, Error, Received};
use godwitpost_decide::health::Event;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::Standing;
use godwitpost_types::id::{BodyDigest, EndpointId};
use http::request::Request;
use http::response::Parts;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use tokio::time::sleep;

use super::Job;
use super::choose::{self, Chosen, RETURN, choose};
use super::crash::{Broken, look};
use super::source::{self, Source};
use crate::attempt::{Failure, Next, Verdict, classify_response};
use crate::book::Liveness;
use crate::dialect::{OutgoingFields, ResponseFields};
use crate::refusal::Reason;
use crate::roster::Registration;
use crate::shared::Shared;

/// How many times its objective a request waits for the head of an answer
/// before it is tried elsewhere, where that does no harm. An endpoint that is
/// that late will rarely do better than another one that begins now.
const PATIENCE: u32 = 2;

/// How long a connection may have rested for a request that runs once at most,
/// or for the last attempt of another. What is written to a connection that
/// its endpoint has forgotten is lost without a trace of whether it ran.
const RESTED: Duration = Duration::from_millis(100);

/// How recent a sign of life has to be. Streams have an event every 25 ms or so;
/// connections are given up after 250 ms, and what is unconfirmed after 650 ms, in
/// which a machine may have gone dark.
const RECENT: Duration = Duration::from_millis(300);

/// The part of its objective for which a request waits for a share of an endpoint
/// that is warming up, where there is nothing else: it still has to be answered.
const WAITS: u32 = 2;

/// The pause before it looks again.
const SHARE_PAUSE: Duration = Duration::from_millis(50);

/// A request at an endpoint: counted there until this is dropped.
#[derive(Debug)]
pub(crate) struct InFlightRequest {
    shared: Arc<Shared>,
    registration: Arc<Registration>,
    sent: Moment,
    pulse: Liveness,
}

impl InFlightRequest {
    fn new(shared: &Arc<Shared>, registration: &Arc<Registration>) -> Self {
        let pulse = shared
            .endpoint_stats()
            .start_request(registration.endpoint.id);
        Self {
            pulse,
            shared: Arc::clone(shared),
            registration: Arc::clone(registration),
            sent: boot_time(),
        }
    }

    pub(crate) fn name(&self) -> &str {
        &self.registration.endpoint.name
    }

    pub(super) fn endpoint(&self) -> EndpointId {
        self.registration.endpoint.id
    }

    fn address(&self) -> SocketAddr {
        self.registration.endpoint.address
    }

    /// Notes that the endpoint broke off an answer.
    pub(crate) fn broke(&self) {
        let now = boot_time();
        self.shared
            .endpoint_stats()
            .record_health_event(self.endpoint(), Event::Failure(now));
    }

    /// Notes that something came from the endpoint.
    pub(crate) fn heard(&self) {
        self.pulse.record(boot_time());
    }

    /// Notes that an answer was held up on its way from the endpoint.
    pub(crate) fn held_up(&self) {
        let zone = self.registration.endpoint.zone;
        if self.shared.paths().record_stall(zone, boot_time()) {
            log::warn!(endpoint:% = self.name(); "the way to its availability zone is left for a while");
        }
    }

    /// Notes that the endpoint's machine gave no sign of life to this request.
    ///
    /// Where one packet of thirty is lost, so is one connection's first, and it comes
    /// to nothing within its time, while the endpoint goes on with all others. Held to
    /// be down by that, it would get nothing new for a second or more, and its prompts
    /// would be read again elsewhere. A dark machine is silent on all its connections.
    pub(crate) fn dark(&self) {
        let recent = since(boot_time(), RECENT);
        if self.pulse.alive_since(self.sent.max(recent)) {
            log::info!(endpoint:% = self.name(); "a packet was lost; the endpoint answers others");
            self.held_up();
            return;
        }
        self.shared
            .mark_endpoint_down(self.endpoint(), self.address());
    }

    /// Looks whether the endpoint ended with a request of this id and digest,
    /// the connection for which broke.
    pub(crate) fn look(&self, request: &str, digest: BodyDigest) {
        let broken = Broken {
            request: request.to_owned(),
            digest,
            sent: self.sent,
            endpoint: self.endpoint(),
            name: self.name().to_owned(),
            address: self.address(),
        };
        tokio::spawn(look(Arc::clone(&self.shared), broken));
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let lasted = since(boot_time(), self.sent);
        self.shared
            .endpoint_stats()
            .end_request(self.endpoint(), lasted);
    }
}

/// An answer whose head the caller may see.
#[derive(Debug)]
pub(crate) struct EndpointResponse {
    pub(crate) head: Parts,
    pub(crate) body: Received,
    pub(crate) flight: InFlightRequest,
}

/// How one attempt came out.
enum Tried {
    Answer(EndpointResponse),
    /// Worth another try, and the caller's if there is none.
    Fallback(EndpointResponse),
    Failed(Failure),
}

/// Sends a request to one endpoint after the other, as the rules allow, until
/// there is an answer for the caller.
///
/// # Errors
///
/// Returns why there is none.
pub(crate) async fn dispatch(
    job: &mut Job,
    after: Option<u64>,
) -> Result<EndpointResponse, Reason> {
    let mut fallback = None;
    loop {
        let chosen = match choose(job) {
            Ok(chosen) => chosen,
            Err(Reason::Warming) if job.age() < job.route.objective / WAITS => {
                sleep(SHARE_PAUSE).await;
                continue;
            }
            Err(reason) => return fallback.ok_or_else(|| job.attempts.final_reason(reason)),
        };
        let failure = match attempt(job, &chosen, after).await {
            Tried::Answer(sent) => return Ok(sent),
            Tried::Fallback(sent) => {
                fallback = Some(sent);
                Failure::Failed
            }
            Tried::Failed(failure) => failure,
        };
        let next = again(job, failure);
        log::warn!(
            request:% = job.id(), endpoint:% = chosen.registration.endpoint.name, ending:? = failure,
            next:? = next, sent = job.attempts.sent(), left_ms:% = job.left().as_millis();
            "attempt ended without an answer"
        );
        if let Err(reason) = next {
            return fallback.ok_or(reason);
        }
    }
}

// Whether the request may go to another endpoint.
fn again(job: &mut Job, failure: Failure) -> Result<(), Reason> {
    let next = job.attempts.record_failure(failure);
    if job.left().is_zero() {
        return Err(job.attempts.deadline_reason());
    }
    match next {
        Next::GiveUp(Reason::Refused) => Err(choose::paused(job).unwrap_or(Reason::Refused)),
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

async fn attempt(job: &mut Job, chosen: &Chosen, after: Option<u64>) -> Tried {
    let registration = &chosen.registration;
    job.tried.push(registration.endpoint.id);
    let request = request(job, chosen, after);
    let wait = wait(job);
    let flight = InFlightRequest::new(&job.shared, registration);
    log::info!(
        request:% = job.id(), route:% = job.route.name, endpoint:% = registration.endpoint.name,
        choice:% = chosen.choice.as_str(), load:% = chosen.load, part:? = job.facts.affinity_part().map(|part| part.id),
        source:% = shown(chosen.source.as_ref()), version = job.version,
        confirmed_ms:% = job.shared.policy_age().as_millis(),
        left_ms:% = job.left().as_millis(), wait_ms:% = wait.as_millis();
        "request sent"
    );
    let address = registration.endpoint.address;
    let rested = rested(job);
    let connector = &job.shared.connector;
    match connector.send_rested(address, request, wait, rested).await {
        Ok(response) => received(job, flight, response),
        Err(error) => Tried::Failed(failed(job, &flight, &error)),
    }
}

// A source as logs show it.
fn shown(source: Option<&Source>) -> &dyn std::fmt::Display {
    source.map_or(&"none", |source| source)
}

// How long to wait for the head of an answer.
fn wait(job: &Job) -> Duration {
    let another = job.route.kind.idempotent() && job.attempts.sent() + 1 < job.route.attempts;
    let left = job.left();
    if another {
        left.min(job.route.objective * PATIENCE)
    } else {
        left
    }
}

// How long the connection may have rested that the request is sent over.
fn rested(job: &Job) -> Duration {
    let first = job.attempts.sent() == 0;
    if first && job.route.kind.idempotent() {
        Duration::MAX
    } else {
        RESTED
    }
}

fn request(job: &Job, chosen: &Chosen, after: Option<u64>) -> Request<Body> {
    let registration = &chosen.registration;
    let mut headers = job.headers.clone();
    let outgoing = OutgoingFields {
        remaining: job.left().saturating_sub(RETURN),
        endpoint: &registration.endpoint.name,
        workspace: job
            .workspace
            .as_ref()
            .map(|workspace| workspace.name.as_str()),
        rank: job.rank(),
        last_event_id: after,
        source: chosen.source.as_ref().and_then(Source::address),
    };
    (job.shared.dialect.write_request)(&mut headers, &outgoing);
    let body = Full::new(job.body.clone()).map_err(Into::into);
    let mut request = Request::new(body.boxed_unsync());
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.target.clone();
    *request.headers_mut() = headers;
    request
}

fn received(job: &Job, flight: InFlightRequest, response: Response<Received>) -> Tried {
    let (head, body) = response.into_parts();
    let answer = (job.shared.dialect.read_response)(head.status, &head.headers);
    note(job, &flight, head.status, &answer);
    let idempotent = job.route.kind.idempotent();
    let verdict = classify_response(head.status, &answer, &job.facts.attempt_id, idempotent);
    let sent = EndpointResponse { head, body, flight };
    match verdict {
        Verdict::Relay => {
            source::note(job, &sent);
            Tried::Answer(sent)
        }
        Verdict::Fallback => Tried::Fallback(sent),
        Verdict::Failed(failure) => {
            log::warn!(
                request:% = job.id(), endpoint:% = sent.flight.name(),
                status = sent.head.status.as_u16(), not_run = answer.not_run,
                signed = answer.signed;
                "answer not passed on"
            );
            Tried::Failed(failure)
        }
    }
}

// Learns from an answer what it says of its endpoint.
fn note(job: &Job, flight: &InFlightRequest, status: StatusCode, answer: &ResponseFields) {
    let now = boot_time();
    flight.pulse.record(now);
    let id = &job.facts.attempt_id;
    if answer.is_for_other_attempt(id) {
        return;
    }
    if answer.is_from_endpoint(status, id) {
        take_notices(job, flight, status, answer, now);
    }
    let mut book = job.shared.endpoint_stats();
    if status == StatusCode::MISDIRECTED_REQUEST {
        // Somebody else has the address.
        book.record_unreachable(flight.endpoint(), now);
        return;
    }
    if let Some(report) = answer.report {
        book.record_report(flight.endpoint(), report, now);
    }
    book.record_health_event(flight.endpoint(), Event::Success(now));
}

// Takes in what an endpoint says of itself beside its load.
fn take_notices(
    job: &Job,
    flight: &InFlightRequest,
    status: StatusCode,
    answer: &ResponseFields,
    now: Moment,
) {
    if answer.standing == Some(Standing::Leaving) {
        job.shared.metrics.count_endpoint_notice("leaving");
        let life = flight.registration.endpoint_incarnation();
        if job
            .shared
            .notices()
            .record_leaving(flight.endpoint(), &life, now)
        {
            log::info!(
                request:% = job.id(), endpoint:% = flight.name(), incarnation = life.incarnation;
                "the answer says that its endpoint is leaving"
            );
        }
    }
    let endpoint = flight.endpoint();
    if let Some(pause) = answer.retry_after {
        job.shared.metrics.count_endpoint_notice("retry-after");
        job.shared.notices().record_pause(endpoint, pause, now);
        log::warn!(
            request:% = job.id(), endpoint:% = flight.name(), pause_ms = pause.as_millis();
            "the answer asks for no requests for a while"
        );
    } else if answer.not_run && turns_away(status) {
        job.shared.metrics.count_endpoint_notice("refused");
        let pause = job.shared.notices().record_refusal(endpoint, now);
        log::info!(
            request:% = job.id(), endpoint:% = flight.name(), pause_ms = pause.as_millis();
            "endpoint turned a request away; it gets none for a while"
        );
    } else if !answer.not_run && job.shared.notices().record_response(endpoint, now) {
        log::info!(
            request:% = job.id(), endpoint:% = flight.name();
            "endpoint answers again after its pause"
        );
    }
}

/// Returns whether a status says that its endpoint has no room, and not what is wrong with
/// the request.
pub(super) const fn turns_away(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

fn failed(job: &Job, flight: &InFlightRequest, error: &Error) -> Failure {
    log::warn!(request:% = job.id(), endpoint:% = flight.name(), error:% = error; "not answered");
    let (Error::NotSent { cause, .. } | Error::Unknown(cause)) = error;
    if cause.is_dark() {
        flight.dark();
    } else if matches!(error, Error::Unknown(Cause::Connection(_))) {
        flight.look(job.id(), job.digest());
    } else if matches!(cause, Cause::ResponseTimeout) {
        flight.broke();
    }
    if error.may_have_run() {
        Failure::Lost
    } else {
        Failure::NotSent
    }
}

/// A body that is gathered before the caller sees its head.
pub(super) enum Gathered {
    /// The whole of it.
    Whole(Bytes),
    /// Its beginning and the rest, which is too long to be kept.
    Long(Bytes, Received),
    /// It broke off.
    Broken,
}
