//! The last leg: one request to one endpoint, and its answer back.

use std::sync::Arc;

use godwitpost_client::connect::{self, Body, Cause, Received};
use godwitpost_decide::ending::Ending;
use godwitpost_decide::owner::Grant;
use godwitpost_types::clock::since;
use godwitpost_types::endpoint::Endpoint;
use godwitpost_types::id::{ChatId, RequestId};
use godwitpost_types::policy::Kind;
use godwitpost_wire::dispatch::Reply;
use godwitpost_wire::header;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};

use super::answer::StartedResponse;
use super::cancel::Cancel;
use super::local_owner::Permit;
use super::resume::Source;
use super::{AttemptResult, Job};
use crate::body;
use crate::control;
use crate::handover;
use crate::shared::Shared;

/// Sends a repeatable request and relays the answer as it comes.
pub(crate) async fn relay(shared: &Arc<Shared>, permit: Permit, job: &Job) -> AttemptResult {
    let Some(target) = Target::find(shared, &permit, job) else {
        return gone(permit);
    };
    if let Some((home, location)) = permit.grant().notify_home {
        let shared = Arc::clone(shared);
        tokio::spawn(async move { handover::send_locations(&shared, home, &[location]).await });
    }
    // Dropped while the engine works, this cancels there.
    let mut cancel = Cancel::armed(shared, &target, job);
    match begin(shared, &target, permit.grant(), job).await {
        Ok(begun) => {
            let source = Source {
                shared: Arc::clone(shared),
                target,
                grant: *permit.grant(),
                job: job.clone(),
            };
            AttemptResult::Response(begun.resumed_from(source).relay(permit, cancel))
        }
        Err(ending) => {
            if ending != Ending::Timeout {
                cancel.disarm();
            }
            failed(shared, permit, job, ending)
        }
    }
}

async fn begin(
    shared: &Shared,
    target: &Target,
    grant: &Grant,
    job: &Job,
) -> Result<StartedResponse, Ending> {
    let response = send(shared, target, grant, job).await?;
    if let Some(ending) = refused(shared, target, &response) {
        return Err(ending);
    }
    let wait = since(job.head.request.deadline, shared.now());
    StartedResponse::read(target.kind, response, wait).await
}

/// Where a request is sent.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) endpoint: Endpoint,
    pub(crate) kind: Kind,
}

impl Target {
    /// Returns the endpoint that leave was given for, unless it has gone.
    pub(crate) fn find(shared: &Shared, permit: &Permit, job: &Job) -> Option<Self> {
        let snapshot = shared.snapshot();
        let endpoint = snapshot.view.endpoint(permit.grant().endpoint)?.clone();
        let bundle = snapshot.bundle.as_ref()?;
        let service = bundle.policy.services.get(&job.head.request.service)?;
        Some(Self {
            endpoint,
            kind: service.kind,
        })
    }
}

/// Gives leave back for an endpoint that has gone meanwhile.
pub(crate) fn gone(permit: Permit) -> AttemptResult {
    let endpoint = permit.grant().endpoint;
    permit.finish(Ending::Refused);
    AttemptResult::Reply(Reply::Failed {
        endpoint,
        ending: Ending::Refused,
        evidence: Vec::new(),
    })
}

/// Tells the owner and the entry that an attempt failed.
///
/// The entry gets along what is known against the request now: its next owner
/// may be one that gossip has not reached yet.
fn failed(shared: &Shared, permit: Permit, job: &Job, ending: Ending) -> AttemptResult {
    let endpoint = permit.grant().endpoint;
    permit.finish(ending);
    let digest = job.head.request.digest;
    AttemptResult::Reply(Reply::Failed {
        endpoint,
        ending,
        evidence: shared.owner.with(|owner| owner.evidence_for(&digest)),
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
    let response = shared
        .connector
        .send(target.endpoint.address, request, wait)
        .await
        .map_err(|error| ending(&error))?;
    if crossed(target, job, &response) {
        log::error!(endpoint:% = target.endpoint.name; "an engine answered another request");
        return Err(Ending::Broken);
    }
    Ok(response)
}

// An engine's head repeats the request's id. One with another id is the answer
// to somebody else's request and must not reach this caller.
fn crossed<B>(target: &Target, job: &Job, response: &Response<B>) -> bool {
    let named = response.headers().get(header::REQUEST);
    let own = request_text(job.head.request.id);
    target.kind == Kind::Engine && named.is_some_and(|named| named != own.as_str())
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
    // The list and the reports may name a model that the engine was freed of
    // a moment ago. Passed on, the caller would take the 404 for its own fault.
    if response.status() == StatusCode::NOT_FOUND
        && target.kind == Kind::Engine
        && leaving.is_some_and(|value| value == "unloaded")
    {
        return Some(Ending::Refused);
    }
    if response.status() == StatusCode::SERVICE_UNAVAILABLE
        && leaving.is_some_and(|value| value == "leaving")
    {
        control::report_leaving(shared, &target.endpoint);
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

fn request(grant: &Grant, job: &Job) -> Option<Request<Body>> {
    let head = &job.head;
    let mut request = Request::new(body::full(job.body.clone()));
    *request.method_mut() = Method::from_bytes(head.method.as_bytes()).ok()?;
    *request.uri_mut() = Uri::try_from(head.path.as_str()).ok()?;
    *request.headers_mut() = job.headers.clone();
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
