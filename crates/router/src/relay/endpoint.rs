//! Sends one request to one endpoint and relays the response.

use std::sync::Arc;

use godwitpost_client::connect::{self, Body, Cause, ResponseBody};
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

/// Sends a repeatable request and relays the response as it arrives.
pub(crate) async fn relay(shared: &Arc<Shared>, permit: Permit, job: &Job) -> AttemptResult {
    let Some(target) = Target::find(shared, &permit, job) else {
        return endpoint_removed(permit);
    };
    if let Some((home, location)) = permit.grant().notify_home {
        let shared = Arc::clone(shared);
        tokio::spawn(async move { handover::send_locations(&shared, home, &[location]).await });
    }
    // Cancels the request at the engine if dropped before the response ends.
    let mut cancel = Cancel::armed(shared, &target, job);
    match start_response(shared, &target, permit.grant(), job).await {
        Ok(started) => {
            let source = Source {
                shared: Arc::clone(shared),
                target,
                grant: *permit.grant(),
                job: job.clone(),
            };
            AttemptResult::Response(started.with_resume(source).relay(permit, cancel))
        }
        Err(ending) => {
            if ending != Ending::Timeout {
                cancel.disarm();
            }
            attempt_failed(shared, permit, job, ending)
        }
    }
}

async fn start_response(
    shared: &Shared,
    target: &Target,
    grant: &Grant,
    job: &Job,
) -> Result<StartedResponse, Ending> {
    let response = send(shared, target, grant, job).await?;
    if let Some(ending) = refusal_ending(shared, target, &response) {
        return Err(ending);
    }
    let wait = since(job.head.request.deadline, shared.now());
    StartedResponse::read(target.kind, response, wait).await
}

/// The endpoint that a request is sent to.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) endpoint: Endpoint,
    pub(crate) kind: Kind,
}

impl Target {
    /// Returns the permit's endpoint, unless it has been removed.
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

/// Releases the permit for an endpoint that has been removed.
pub(crate) fn endpoint_removed(permit: Permit) -> AttemptResult {
    let endpoint = permit.grant().endpoint;
    permit.finish(Ending::Refused);
    AttemptResult::Reply(Reply::Failed {
        endpoint,
        ending: Ending::Refused,
        evidence: Vec::new(),
    })
}

/// Reports a failed attempt to the owner and the entry.
///
/// The entry also gets the current evidence against the request, as gossip may
/// not have reached the next owner yet.
fn attempt_failed(shared: &Shared, permit: Permit, job: &Job, ending: Ending) -> AttemptResult {
    let endpoint = permit.grant().endpoint;
    permit.finish(ending);
    let request = &job.head.request;
    AttemptResult::Reply(Reply::Failed {
        endpoint,
        ending,
        evidence: shared.owner.with(|owner| owner.evidence_for(request)),
    })
}

/// Sends a request and returns the response once its head has arrived.
///
/// # Errors
///
/// Returns how the attempt ended if there is no response.
pub(crate) async fn send(
    shared: &Shared,
    target: &Target,
    grant: &Grant,
    job: &Job,
) -> Result<Response<ResponseBody>, Ending> {
    let request = build_request(grant, job).ok_or(Ending::NotSent)?;
    let wait = since(job.head.request.deadline, shared.now());
    let response = shared
        .connector
        .send(target.endpoint.address, request, wait)
        .await
        .map_err(|error| failure_ending(&error))?;
    if has_other_request_id(target, job, &response) {
        log::error!(endpoint:% = target.endpoint.name; "engine response has the id of another request; discarding it");
        return Err(Ending::Broken);
    }
    Ok(response)
}

// An engine repeats the request's id in the response head. A response with
// another id belongs to another request and must not reach this caller.
fn has_other_request_id<B>(target: &Target, job: &Job, response: &Response<B>) -> bool {
    let response_id = response.headers().get(header::REQUEST);
    let request_id = request_text(job.head.request.id);
    target.kind == Kind::Engine
        && response_id.is_some_and(|response_id| response_id != request_id.as_str())
}

fn failure_ending(error: &connect::Error) -> Ending {
    match error {
        connect::Error::NotSent { .. } => Ending::NotSent,
        connect::Error::Unknown(Cause::ResponseTimeout) => Ending::Timeout,
        connect::Error::Unknown(_) => Ending::Broken,
    }
}

/// Returns how the attempt ended if the response says that nothing was run.
pub(crate) fn refusal_ending<B>(
    shared: &Shared,
    target: &Target,
    response: &Response<B>,
) -> Option<Ending> {
    let endpoint_state = response.headers().get(header::ENDPOINT);
    // The list and the reports may still name a model that the engine has just
    // unloaded. If the 404 were forwarded, the caller would take it for its own
    // mistake.
    if response.status() == StatusCode::NOT_FOUND
        && target.kind == Kind::Engine
        && endpoint_state.is_some_and(|value| value == "unloaded")
    {
        return Some(Ending::Refused);
    }
    if response.status() == StatusCode::SERVICE_UNAVAILABLE
        && endpoint_state.is_some_and(|value| value == "leaving")
    {
        control::report_leaving(shared, &target.endpoint);
        return Some(Ending::Leaving);
    }
    // An engine sends these before it runs anything. A plain service may send
    // them for any reason, so its response is forwarded.
    let overload_statuses = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    let overloaded = target.kind == Kind::Engine && overload_statuses.contains(&response.status());
    overloaded.then_some(Ending::Overloaded)
}

/// Removes internal, connection and outcome headers from an endpoint's response.
pub(crate) fn strip_headers(headers: &mut HeaderMap) {
    header::strip(headers);
    header::strip_connection(headers);
    headers.remove(header::OUTCOME);
}

fn build_request(grant: &Grant, job: &Job) -> Option<Request<Body>> {
    let head = &job.head;
    let mut request = Request::new(body::full(job.body.clone()));
    *request.method_mut() = Method::from_bytes(head.method.as_bytes()).ok()?;
    *request.uri_mut() = Uri::try_from(head.path.as_str()).ok()?;
    *request.headers_mut() = job.headers.clone();
    let headers = request.headers_mut();
    headers.insert(
        header::REQUEST,
        header_value(&request_text(head.request.id)),
    );
    headers.insert(
        header::PRIORITY,
        HeaderValue::from(u16::from(grant.priority)),
    );
    headers.insert(header::PREFIX, header_value(&chat_text(head.request.chat)));
    Some(request)
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("hexadecimal digits are a header value")
}

/// Formats a request's id for callers and endpoints.
pub(crate) fn request_text(id: RequestId) -> String {
    format!("{id:032x}")
}

/// Formats a chat's id as used in cache events.
pub(crate) fn chat_text(chat: ChatId) -> String {
    format!("{chat:016x}")
}
