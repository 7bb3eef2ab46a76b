//! Takes requests of other instances and sends them on to the endpoint that they name.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::{Body, BoxError, Error, ResponseBody};
use godwitpost_types::clock::Moment;
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body::{Frame as BodyFrame, SizeHint};
use http_body_util::{BodyExt, Collected, Full, Limited};
use hyper::body::Incoming;

use super::super::in_flight::InFlightRequest;
use super::super::payload::{End, Part, Payload, has_unknown_coding};
use super::super::response::record_response;
use super::super::send::{build_request, max_idle_for};
use super::super::{EndpointResponse, Job, headers, job, source};
use super::destination;
use crate::attempt::is_final;
use crate::dialect::RequestFields;
use crate::hop::{
    FORWARD_PATH, Frame, FrameError, HEAD_LENGTH_HEADER, OUTCOME_HEADER, Outcome, PROBE_PATH,
};
use crate::notices::Notice;
use crate::reach::Way;
use crate::refusal::Reason;
use crate::roster::Registration;
use crate::shared::{Admission, Shared};

/// How long a connection to the endpoint may take. The asking instance has waited for a
/// connection of its own before, and has time left for another endpoint if this one is
/// down.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// The size of a frame beyond the caller's body: a head as long as hyper reads, encoded.
const MAX_FRAME_HEAD_BYTES: usize = 96 << 10;

/// The longest name of an endpoint that is asked for.
const MAX_NAME_BYTES: usize = 1_024;

/// Requests of other instances are taken only while no more than the room for requests
/// divided by this is in use, so that they never displace those of this instance's own
/// callers.
const ROOM_DIVISOR: usize = 2;

/// Why a request of another instance is not taken.
#[derive(Debug, displaydoc::Display)]
enum Decline {
    /// this instance is starting or draining
    NotReady,
    /// no room for requests of other instances
    NoRoom,
    /// the frame can't be read: {0}
    Malformed(FrameError),
    /// the body broke off
    Truncated,
    /// an older configuration is in force here
    Behind,
    /// not allowed under the configuration in force here: {0}
    Refused(Reason),
    /// the endpoint may not get the request
    Endpoint,
    /// its path is lost here too
    OutOfReach,
    /// the endpoint counts as down here
    Down,
}

impl Decline {
    const fn outcome(&self) -> Outcome {
        match self {
            Self::OutOfReach => Outcome::OutOfReach,
            Self::Down => Outcome::Unreachable,
            _ => Outcome::Declined,
        }
    }
}

/// A request that is not taken, with its id if it could be read.
struct Declined {
    decline: Decline,
    id: Option<String>,
}

impl From<Decline> for Declined {
    fn from(decline: Decline) -> Self {
        Self { decline, id: None }
    }
}

/// A request that is taken.
struct Taken {
    job: Box<Job>,
    frame: Frame,
    registration: Arc<Registration>,
    source: Option<SocketAddr>,
}

/// Handles a request of another instance.
pub(crate) async fn handle_forwarded(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Response<Body> {
    match request.uri().path() {
        FORWARD_PATH => {}
        PROBE_PATH => return answer_question(&shared, request).await,
        _ => return empty_response(StatusCode::NOT_FOUND, Outcome::Declined),
    }
    let arrived = boot_time();
    match take(&shared, request, arrived).await {
        Ok(taken) => send_on(taken).await,
        Err(Declined { decline, id }) => {
            let outcome = decline.outcome();
            shared.metrics.count_taken_forward(outcome);
            log::info!(
                request:% = id.as_deref().unwrap_or("(none)"), reason:% = decline,
                outcome:% = outcome.as_str();
                "request of another instance not taken"
            );
            let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE, outcome);
            if shared.is_draining() {
                // A request on a connection that is still open when the process ends would
                // have an unknown outcome.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            response
        }
    }
}

// Answers whether an endpoint can be connected to from here.
async fn answer_question(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let body = Limited::new(request.into_body(), MAX_NAME_BYTES).collect();
    let name = body.await.map(Collected::to_bytes).unwrap_or_default();
    let view = shared.view();
    let known = view.endpoints.iter().flat_map(BTreeMap::values).flatten();
    let endpoint = known
        .map(|one| &one.endpoint)
        .find(|one| one.name.as_bytes() == name);
    let outcome = match endpoint {
        None => Outcome::Declined,
        Some(endpoint) => {
            let connecting = shared.connector.connect(endpoint.address, CONNECT_TIMEOUT);
            match connecting.await {
                Ok(connection) => {
                    shared.connector.keep(connection);
                    Outcome::Answered
                }
                Err(cause) => {
                    log::info!(endpoint:% = endpoint.name, cause:% = cause; "endpoint asked for by another instance is not reached");
                    Outcome::Unreachable
                }
            }
        }
    };
    empty_response(StatusCode::OK, outcome)
}

// Reads a request and checks it as one of a caller's.
async fn take(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    arrived: Moment,
) -> Result<Taken, Declined> {
    if shared.is_draining() || !shared.can_route() {
        return Err(Decline::NotReady.into());
    }
    let mut admission = shared
        .admit_forwarded(ROOM_DIVISOR)
        .ok_or(Decline::NoRoom)?;
    let bytes = read_body(shared, request, &mut admission).await?;
    let (frame, body) = Frame::decode(&bytes).map_err(Decline::Malformed)?;
    let (method, uri, headers) = frame.head().map_err(Decline::Malformed)?;
    let fields = (shared.dialect.read_request)(&headers).map(|fields| RequestFields {
        timeout: Some(
            fields
                .timeout
                .unwrap_or(frame.remaining)
                .min(frame.remaining),
        ),
        ..fields
    });
    let id = fields
        .as_ref()
        .map(|fields| job::loggable_id(&fields.attempt_id));
    let declined = |decline| Declined {
        decline,
        id: id.clone(),
    };
    let mut head = Request::new(()).into_parts().0;
    (head.method, head.uri, head.headers) = (method, uri, headers);
    let mut job = resolve(shared, head, fields, arrived, admission).map_err(declined)?;
    if job.version < frame.version {
        return Err(declined(Decline::Behind));
    }
    job.set_body(body);
    let registration = find_endpoint(&job, &frame).map_err(declined)?;
    let source = frame
        .source
        .as_ref()
        .and_then(|name| find_source(&job, &registration, name));
    Ok(Taken {
        job,
        frame,
        registration,
        source,
    })
}

async fn read_body(
    shared: &Shared,
    request: Request<Incoming>,
    admission: &mut Admission,
) -> Result<Bytes, Decline> {
    let view = shared.view();
    let policy = view.policy.as_ref().ok_or(Decline::NotReady)?;
    let limit = policy.limits().body_bytes + MAX_FRAME_HEAD_BYTES;
    let collected = Limited::new(request.into_body(), limit).collect().await;
    let bytes = collected
        .map_err(|error| {
            log::debug!(error:% = error; "body of another instance's request broke off");
            Decline::Truncated
        })?
        .to_bytes();
    if admission.reserve_body(bytes.len()) {
        Ok(bytes)
    } else {
        Err(Decline::NoRoom)
    }
}

fn resolve(
    shared: &Arc<Shared>,
    head: Parts,
    fields: Option<RequestFields>,
    arrived: Moment,
    admission: Admission,
) -> Result<Box<Job>, Decline> {
    let job = Job::new(shared, head, fields, arrived, admission).map_err(Decline::Refused)?;
    job.set_forwarded();
    Ok(Box::new(job))
}

// Returns the named endpoint if this instance may and can send the request to it.
fn find_endpoint(job: &Job, frame: &Frame) -> Result<Arc<Registration>, Decline> {
    let shared = &job.shared;
    let view = shared.view();
    let targets = job.route.targets.iter();
    let registration = targets
        .flat_map(|target| view.usable(target.service))
        .find(|one| one.endpoint.name == frame.endpoint && job.may_run_in(one.endpoint.zone))
        .filter(|one| one.build_id() == frame.build)
        .ok_or(Decline::Endpoint)?;
    let endpoint = &registration.endpoint;
    match shared.notices().get(endpoint.id, boot_time()) {
        Some(Notice::Leaving | Notice::Paused { .. }) => return Err(Decline::Endpoint),
        Some(Notice::Resuming) | None => {}
    }
    if shared.reach().way(destination(registration)) == Way::Forward {
        return Err(Decline::OutOfReach);
    }
    // Whether the endpoint counts as down here is no answer: it does for seconds after the
    // paths to all of them were lost.
    if !shared.reach().may_ask_others(endpoint.id, boot_time()) {
        return Err(Decline::Down);
    }
    Ok(Arc::clone(registration))
}

// Returns the address of the endpoint that a prompt can be fetched from, if it is known
// here as another one of the same service.
fn find_source(job: &Job, target: &Registration, name: &str) -> Option<SocketAddr> {
    let view = job.shared.view();
    let source = view
        .holders(target.endpoint.service)
        .find(|one| one.endpoint.name == name)?;
    let address = source.endpoint.address;
    (address != target.endpoint.address).then_some(address)
}

async fn send_on(taken: Taken) -> Response<Body> {
    let Taken {
        job,
        frame,
        registration,
        source,
    } = taken;
    let shared = Arc::clone(&job.shared);
    let in_flight = InFlightRequest::uncounted(&shared, &registration);
    log::info!(
        request:% = job.id(), endpoint:% = registration.endpoint.name, version = job.version,
        left_ms:% = job.remaining().as_millis();
        "request of another instance sent on"
    );
    let request = build_request(&job, &registration, source, frame.last_event_id);
    let is_first = !frame.repeated;
    let max_idle = max_idle_for(job.kind(), is_first);
    let result = tokio::select! {
        result = send_to_endpoint(&job, &registration, request, max_idle) => result,
        // The other instance answers its caller, or sends the request elsewhere if it may.
        () = shared.shutdown().ended() => {
            log::warn!(
                request:% = job.id(), endpoint:% = registration.endpoint.name;
                "request of another instance given up at the end of the shutdown"
            );
            shared.metrics.count_taken_forward(Outcome::Lost);
            return empty_response(StatusCode::BAD_GATEWAY, Outcome::Lost);
        }
    };
    match result {
        Ok(response) => relay(job, in_flight, response),
        Err(error) => {
            in_flight.record_send_error(&job, &error);
            let outcome = if error.may_have_run() {
                Outcome::Lost
            } else {
                Outcome::Unreachable
            };
            shared.metrics.count_taken_forward(outcome);
            empty_response(StatusCode::BAD_GATEWAY, outcome)
        }
    }
}

async fn send_to_endpoint(
    job: &Job,
    registration: &Registration,
    request: Request<Body>,
    max_idle: Duration,
) -> Result<Response<ResponseBody>, Error> {
    let connector = &job.shared.connector;
    let address = registration.endpoint.address;
    if connector.has_recent(address, max_idle) {
        let sending = connector.send_with_max_idle(address, request, job.remaining(), max_idle);
        return sending.await;
    }
    match connector.connect(address, CONNECT_TIMEOUT).await {
        Ok(connection) => {
            let sending = connector.send_over(connection, request, job.remaining());
            sending.await
        }
        Err(cause) => Err(Error::NotSent {
            cause,
            request: None,
        }),
    }
}

fn relay(
    job: Box<Job>,
    in_flight: InFlightRequest,
    response: Response<ResponseBody>,
) -> Response<Body> {
    let shared = Arc::clone(&job.shared);
    let (head, body) = response.into_parts();
    let fields = (shared.dialect.read_response)(head.status, &head.headers);
    record_response(&job, &in_flight, head.status, &fields);
    if has_unknown_coding(&head.headers) || !is_final(head.status) {
        log::warn!(
            request:% = job.id(), endpoint:% = in_flight.name(), status = head.status.as_u16();
            "response of another instance's request not sent back"
        );
        shared.metrics.count_taken_forward(Outcome::Lost);
        return empty_response(StatusCode::BAD_GATEWAY, Outcome::Lost);
    }
    let mut response = EndpointResponse {
        body: Payload::new(body, job.kind(), &head, &in_flight),
        head,
        in_flight,
    };
    source::record_holder(&job, &response);
    shared.metrics.count_taken_forward(Outcome::Answered);
    log::info!(
        request:% = job.id(), endpoint:% = response.in_flight.name(),
        status = response.head.status.as_u16(), took_ms:% = job.age().as_millis();
        "request of another instance answered"
    );
    let length = response.head.headers.get(CONTENT_LENGTH).cloned();
    headers::remove_hop_by_hop(&mut response.head.headers);
    if let Some(length) = length.filter(|_| job.method == Method::HEAD) {
        response.head.headers.insert(HEAD_LENGTH_HEADER, length);
    }
    set_outcome(&mut response.head.headers, Outcome::Answered);
    let body = ForwardedBody {
        body: response.body,
        in_flight: response.in_flight,
        job,
    };
    Response::from_parts(response.head, body.boxed_unsync())
}

fn empty_response(status: StatusCode, outcome: Outcome) -> Response<Body> {
    let body = Full::new(Bytes::new()).map_err(Into::into);
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    set_outcome(response.headers_mut(), outcome);
    response
}

fn set_outcome(headers: &mut http::HeaderMap, outcome: Outcome) {
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
}

/// The body of a response on its way to the instance that gave the request. The request
/// counts as in flight here until it ends.
struct ForwardedBody {
    body: Payload,
    in_flight: InFlightRequest,
    job: Box<Job>,
}

impl http_body::Body for ForwardedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<BodyFrame<Bytes>, BoxError>>> {
        let this = &mut *self;
        let end = match ready!(this.body.poll_part(cx)) {
            Part::Frame(frame) => {
                this.in_flight.record_data();
                return Poll::Ready(Some(Ok(frame)));
            }
            Part::End(end) => end,
        };
        this.job
            .record_payload_end(this.in_flight.name(), &this.body, &end);
        match end {
            End::Whole => Poll::Ready(None),
            End::Broken(cause) => {
                log::warn!(request:% = this.job.id(), endpoint:% = this.in_flight.name(), error:% = cause; "response broke off");
                this.in_flight.record_break(&this.job, Some(&cause));
                Poll::Ready(Some(Err(cause.into())))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
