//! Resolves a caller's head and body to the request that placement works on.
//!
//! A request is resolved with one bundle version and handled with it until its
//! end. Every mistake of a caller found here is refused as not run, with the
//! remedy.

pub mod prompt;
mod reading;

use std::time::Duration;

use bytes::Bytes;
use godwitpost_decide::quarantine;
use godwitpost_decide::refusal::{Reason, Refusal};
use godwitpost_state::claim::key::{self, Key};
use godwitpost_types::clock::Moment;
use godwitpost_types::id::{self, ClassId, NO_MODEL, RequestId, WorkspaceId};
use godwitpost_types::outcome::Outcome;
use godwitpost_types::policy::{Kind, Policy, Route, Service};
use godwitpost_types::request::Request;
use godwitpost_wire::header;
use http::header::{CONTENT_LENGTH, EXPECT, HOST};
use http::request::Parts;
use http::{HeaderMap, StatusCode};

use crate::problem::Problem;
use prompt::Prompt;

/// The part of a request that is known from its head.
#[derive(Clone, Debug)]
pub struct Head<'p> {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The route that matches the method and path.
    pub route: &'p Route,
    /// The service of the route.
    pub service: &'p Service,
    /// The class from the caller, or else from the route.
    pub class: ClassId,
    /// The time when the caller stops waiting.
    pub deadline: Moment,
    /// The key of an unrepeatable request.
    pub key: Option<Key>,
}

/// A request that is ready for placement.
#[derive(Clone, Debug)]
pub struct Resolved {
    /// The fields that decisions are based on.
    pub request: Request,
    /// The caller's method.
    pub method: String,
    /// The caller's path, with its query.
    pub path: String,
    /// The headers that are forwarded to endpoints.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The claim key of an unrepeatable request.
    pub key: Option<Key>,
}

/// Resolves a request's head.
///
/// # Errors
///
/// Returns the problem for the caller: an unknown workspace, route or class, a
/// missing or invalid key, or an invalid deadline.
pub fn read_head<'p>(policy: &'p Policy, parts: &Parts, now: Moment) -> Result<Head<'p>, Problem> {
    let workspace = workspace(policy, &parts.headers)?;
    let path = parts.uri.path();
    let route = policy.route(parts.method.as_str(), path).ok_or_else(|| {
        Problem::not_run(
            StatusCode::NOT_FOUND,
            "unknown-route",
            format!("no route of bundle version {} takes this method and path; check both, or have an operator add a route", policy.version),
        )
    })?;
    let service = policy
        .services
        .get(&route.service)
        .ok_or_else(|| Problem::from(Refusal::new(Reason::UnknownService)))?;
    let class = class(policy, route, &parts.headers)?;
    let deadline = deadline(policy, class, &parts.headers, now)?;
    let key = if route.unrepeatable {
        Some(claim_key(policy, workspace, &parts.headers, now)?)
    } else {
        None
    };
    Ok(Head {
        workspace,
        route,
        service,
        class,
        deadline,
        key,
    })
}

/// Resolves the complete request from its head and body.
///
/// # Errors
///
/// Returns the problem for the caller: an invalid prompt, or a model that is
/// not in the bundle.
pub fn read_body(
    policy: &Policy,
    head: &Head<'_>,
    parts: &Parts,
    body: Bytes,
    id: RequestId,
) -> Result<Resolved, Problem> {
    let path = parts
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    let digest = quarantine::digest(parts.method.as_str(), path, &body);
    let mut request = Request {
        id,
        version: policy.version,
        workspace: head.workspace,
        service: head.route.service,
        model: NO_MODEL,
        class: head.class,
        chat: plain_chat_id(id, head.key.as_ref()),
        prompt_tokens: estimate_tokens(body.len()),
        answer_tokens: 0,
        deadline: head.deadline,
        key: head.key.map(|key| key.digest),
        digest,
    };
    if head.service.kind == Kind::Engine {
        let prompt = Prompt::read(&body).map_err(|error| prompt_problem(&error))?;
        let (model, default) = prompt.model(policy, head.route.service)?;
        request.model = model;
        request.answer_tokens = prompt.answer_tokens().unwrap_or(default);
        request.chat = match header_text(&parts.headers, &header::CHAT)? {
            Some(chat) => id::scoped(head.workspace, chat),
            None => id::scoped(head.workspace, &prompt.prefix),
        };
    }
    Ok(Resolved {
        request,
        method: parts.method.as_str().to_owned(),
        path: path.to_owned(),
        headers: forwarded_headers(&parts.headers),
        body,
        key: head.key,
    })
}

fn workspace(policy: &Policy, headers: &HeaderMap) -> Result<WorkspaceId, Problem> {
    let Some(name) = header_text(headers, &header::WORKSPACE)? else {
        return Err(Problem::not_run(
            StatusCode::BAD_REQUEST,
            "missing-workspace",
            "the request names no workspace; add the header Godwitpost-Workspace",
        ));
    };
    let id = id::from_name(name);
    if policy.workspaces.contains_key(&id) {
        Ok(id)
    } else {
        Err(Refusal::new(Reason::UnknownWorkspace).into())
    }
}

fn class(policy: &Policy, route: &Route, headers: &HeaderMap) -> Result<ClassId, Problem> {
    let Some(name) = header_text(headers, &header::CLASS)? else {
        return Ok(route.class);
    };
    let id = id::from_name(name);
    if policy.classes.contains_key(&id) {
        return Ok(id);
    }
    Err(Problem::not_run(
        StatusCode::BAD_REQUEST,
        "unknown-class",
        "the class in Godwitpost-Class is not in the bundle; leave the header out for the route's own",
    ))
}

// Callers say how long they wait with the `wait` preference of RFC 7240.
fn deadline(
    policy: &Policy,
    class: ClassId,
    headers: &HeaderMap,
    now: Moment,
) -> Result<Moment, Problem> {
    let wait = reading::wait(headers).map_err(|error| {
        Problem::not_run(StatusCode::BAD_REQUEST, "bad-deadline", error.to_string())
    })?;
    let wait = wait.or_else(|| policy.classes.get(&class).map(|class| class.deadline));
    Ok(now + wait.unwrap_or(MAX_WAIT).min(MAX_WAIT))
}

/// The longest time that a caller may wait for the response to begin. A
/// connection that is open for longer has more likely been forgotten.
pub const MAX_WAIT: Duration = Duration::from_mins(10);

fn claim_key(
    policy: &Policy,
    workspace: WorkspaceId,
    headers: &HeaderMap,
    now: Moment,
) -> Result<Key, Problem> {
    let Some(key) = header_text(headers, &header::KEY)? else {
        return Err(Problem::not_run(
            StatusCode::BAD_REQUEST,
            "missing-key",
            "this route runs at most once and needs the header Idempotency-Key; send a version 7 UUID",
        ));
    };
    let issued = headers
        .get(key::ISSUED_HEADER)
        .and_then(|value| value.to_str().ok());
    let key = Key::parse(workspace, key, issued).map_err(|error| key_problem(&error))?;
    key.check_issue_time(now, policy.claim_window)
        .map_err(|error| key_problem(&error))?;
    Ok(key)
}

fn key_problem(error: &key::Error) -> Problem {
    let problem = |reason| Problem::not_run(StatusCode::BAD_REQUEST, reason, error.to_string());
    match error {
        // Not run now, but a key this old has most likely been sent before.
        key::Error::Expired => problem("key-expired").with_outcome(Outcome::Unknown),
        key::Error::Future => problem("key-early"),
        _ => problem("bad-key"),
    }
}

fn prompt_problem(error: &prompt::Error) -> Problem {
    Problem::not_run(StatusCode::BAD_REQUEST, "bad-body", error.to_string())
}

fn header_text<'h>(
    headers: &'h HeaderMap,
    name: &http::HeaderName,
) -> Result<Option<&'h str>, Problem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() => Ok(Some(text)),
        _ => Err(Problem::not_run(
            StatusCode::BAD_REQUEST,
            "bad-header",
            format!("the header {name} is empty or not ASCII; send visible ASCII characters"),
        )),
    }
}

// Returns the caller's headers that are forwarded to endpoints. Headers that
// the router sets itself are removed, so that a caller can't raise its own
// priority.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    header::strip(&mut headers);
    header::strip_connection(&mut headers);
    let set_by_router = [
        HOST,
        CONTENT_LENGTH,
        EXPECT,
        header::REQUEST,
        header::PRIORITY,
        header::PREFIX,
    ];
    for name in set_by_router {
        headers.remove(name);
    }
    headers
}

/// Estimated bytes of JSON per prompt token, for English text with its framing.
/// Loads are only compared with each other, so a uniform error cancels out.
const BYTES_PER_TOKEN: usize = 4;

fn estimate_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
}

// Returns the chat id of a plain request, which belongs to no chat. It spreads
// requests over endpoints; a request with a key is sent where the same key was
// sent before, since the response may be cached there.
#[expect(clippy::cast_possible_truncation, reason = "the low half is wanted")]
fn plain_chat_id(id: RequestId, key: Option<&Key>) -> u64 {
    match key {
        Some(key) => u128::from_le_bytes(key.digest) as u64,
        None => id as u64,
    }
}
