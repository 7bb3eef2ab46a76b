//! The last leg: one request to one endpoint, and its answer back.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_decide::ending::Ending;
use godwitpost_decide::owner::Grant;
use godwitpost_platform::connect::{self, Body, Cause, Received};
use godwitpost_types::clock::since;
use godwitpost_types::endpoint::Endpoint;
use godwitpost_types::id::{ChatId, RequestId};
use godwitpost_types::policy::Kind;
use godwitpost_wire::dispatch::{self, Reply};
use godwitpost_wire::header;
use http::header::{CONTENT_ENCODING, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::BodyExt as _;
use tokio::runtime::Handle;

use super::desk::Leave;
use super::{Attempt, Job};
use crate::body;
use crate::body::relay::{End, Relay};
use crate::control;
use crate::shared::Shared;

/// How long an engine may take to confirm that it cancelled a request.
const CANCEL: Duration = Duration::from_secs(1);

/// Sends a repeatable request and relays the answer as it comes.
pub(crate) async fn relay(shared: &Arc<Shared>, leave: Leave, job: &Job) -> Attempt {
    let Some(target) = Target::find(shared, &leave, job) else {
        return gone(leave);
    };
    // Dropped while the engine works, this cancels there.
    let mut cancel = Cancel::armed(shared, &target, job);
    let sent = send(shared, &target, leave.grant(), job).await;
    cancel.disarm();
    let response = match sent {
        Ok(response) => response,
        Err(ending) => return failed(leave, &target, ending),
    };
    if let Some(ending) = refused(shared, &target, &response) {
        return failed(leave, &target, ending);
    }
    Attempt::Answered(guard(shared, leave, &target, job, response))
}

/// Where a request is sent.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) endpoint: Endpoint,
    pub(crate) kind: Kind,
}

impl Target {
    /// Returns the endpoint that leave was given for, unless it has gone.
    pub(crate) fn find(shared: &Shared, leave: &Leave, job: &Job) -> Option<Self> {
        let snapshot = shared.snapshot();
        let endpoint = snapshot.view.endpoint(leave.grant().endpoint)?.clone();
        let bundle = snapshot.bundle.as_ref()?;
        let service = bundle.policy.services.get(&job.head.request.service)?;
        Some(Self {
            endpoint,
            kind: service.kind,
        })
    }
}

/// Gives leave back for an endpoint that has gone meanwhile.
pub(crate) fn gone(leave: Leave) -> Attempt {
    let endpoint = leave.grant().endpoint;
    leave.finish(Ending::Leaving);
    Attempt::Reply(Reply::Failed {
        endpoint,
        ending: Ending::Leaving,
    })
}

/// Tells the owner and the entry that an attempt failed.
pub(crate) fn failed(leave: Leave, target: &Target, ending: Ending) -> Attempt {
    leave.finish(ending);
    Attempt::Reply(Reply::Failed {
        endpoint: target.endpoint.id,
        ending,
    })
}

/// Sends a request; returns the head of the answer.
///
/// # Errors
///
/// Returns how the attempt ended if there is no answer.
pub(crate) async fn send(
    shared: &Shared,
    target: &Target,
    grant: &Grant,
    job: &Job,
) -> Result<Response<Received>, Ending> {
    let request = request(grant, job).ok_or(Ending::NotSent)?;
    let wait = since(job.head.request.deadline, shared.now());
    shared
        .connector
        .send(target.endpoint.address, request, wait)
        .await
        .map_err(|error| ending(&error))
}

fn ending(error: &connect::Error) -> Ending {
    match error {
        connect::Error::NotSent { .. } => Ending::NotSent,
        connect::Error::Unknown(Cause::ResponseTimeout) => Ending::Timeout,
        connect::Error::Unknown(_) => Ending::Broken,
    }
}

/// Returns how the attempt ended if the answer says that nothing was run.
pub(crate) fn refused<B>(
    shared: &Shared,
    target: &Target,
    response: &Response<B>,
) -> Option<Ending> {
    let leaving = response.headers().get(header::ENDPOINT);
    if response.status() == StatusCode::SERVICE_UNAVAILABLE
        && leaving.is_some_and(|value| value == "leaving")
    {
        control::leaving(shared, &target.endpoint);
        return Some(Ending::Leaving);
    }
    // An engine answers these before it starts; a plain service may mean
    // anything by them, so there they are its answer.
    let full = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    let overloaded = target.kind == Kind::Engine && full.contains(&response.status());
    overloaded.then_some(Ending::Overloaded)
}

/// Returns the answer's head without what belongs to one connection.
pub(crate) fn clean(headers: &mut HeaderMap) {
    header::strip(headers);
    header::strip_connection(headers);
    headers.remove(header::OUTCOME);
}

fn guard(
    shared: &Arc<Shared>,
    leave: Leave,
    target: &Target,
    job: &Job,
    response: Response<Received>,
) -> Response<Body> {
    let (mut parts, received) = response.into_parts();
    clean(&mut parts.headers);
    let events = target.kind == Kind::Engine && is_event_stream(&parts.headers);
    let cancel = Cancel::armed(shared, target, job);
    let told = move |end| {
        let mut cancel = cancel;
        if end != End::Dropped {
            cancel.disarm();
        }
        leave.finish(match end {
            End::Whole => Ending::Done,
            End::Broken => Ending::Broken,
            End::Dropped => Ending::Abandoned,
        });
    };
    let body = Relay::new(received, events, told).boxed_unsync();
    Response::from_parts(parts, body)
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE);
    let events = kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    events && !headers.contains_key(CONTENT_ENCODING)
}

fn request(grant: &Grant, job: &Job) -> Option<Request<Body>> {
    let head = &job.head;
    let mut request = Request::new(body::full(job.body.clone()));
    *request.method_mut() = Method::from_bytes(head.method.as_bytes()).ok()?;
    *request.uri_mut() = Uri::try_from(head.path.as_str()).ok()?;
    *request.headers_mut() = dispatch::unpack(&head.headers);
    let headers = request.headers_mut();
    headers.insert(header::REQUEST, value(&request_text(head.request.id)));
    headers.insert(
        header::PRIORITY,
        HeaderValue::from(u16::from(grant.priority)),
    );
    headers.insert(header::PREFIX, value(&chat_text(head.request.chat)));
    Some(request)
}

fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("hexadecimal digits are a header value")
}

/// Returns a request's id as callers and endpoints see it.
pub(crate) fn request_text(id: RequestId) -> String {
    format!("{id:032x}")
}

/// Returns a chat's name in cache events.
pub(crate) fn chat_text(chat: ChatId) -> String {
    format!("{chat:016x}")
}

/// Cancels a request at its engine when dropped while armed.
///
/// Closing the connection tells an engine too, but only when it next writes;
/// a long prefill would go on for a caller that has gone.
#[derive(Debug)]
struct Cancel {
    armed: Option<(Arc<Shared>, Endpoint, RequestId)>,
}

impl Cancel {
    fn armed(shared: &Arc<Shared>, target: &Target, job: &Job) -> Self {
        let engine = target.kind == Kind::Engine;
        let id = job.head.request.id;
        Self {
            armed: engine.then(|| (Arc::clone(shared), target.endpoint.clone(), id)),
        }
    }

    fn disarm(&mut self) {
        self.armed = None;
    }
}

impl Drop for Cancel {
    fn drop(&mut self) {
        let Some((shared, endpoint, id)) = self.armed.take() else {
            return;
        };
        // Without a runtime the router itself ends, and its connections with it.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(async move { cancel(&shared, &endpoint, id).await });
        }
    }
}

async fn cancel(shared: &Shared, endpoint: &Endpoint, id: RequestId) {
    let request = Request::delete(format!("/v1/requests/{}", request_text(id)))
        .body(body::full(Bytes::new()))
        .expect("hexadecimal digits are part of a path");
    let sent = shared.connector.send(endpoint.address, request, CANCEL);
    if let Err(error) = sent.await {
        log::debug!(endpoint:% = endpoint.name, error:% = error; "cancel failed");
    }
}
