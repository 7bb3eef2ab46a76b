//! From a caller's head and body to the facts that decisions are taken on.
//!
//! A request is resolved under one bundle version and handled under it to its
//! end. Everything a caller can get wrong here is refused as not run, with
//! the remedy.

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

/// What a head alone says.
#[derive(Clone, Debug)]
pub struct Head<'p> {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The route that its path takes.
    pub route: &'p Route,
    /// The service of the route.
    pub service: &'p Service,
    /// The class, from the route or the caller.
    pub class: ClassId,
    /// When the caller stops waiting.
    pub deadline: Moment,
    /// The key of an unrepeatable request.
    pub key: Option<Key>,
}

/// A request ready to be placed.
#[derive(Clone, Debug)]
pub struct Resolved {
    /// The facts.
    pub request: Request,
    /// The caller's method.
    pub method: String,
    /// The caller's path, with its query.
    pub path: String,
    /// Headers that endpoints may see.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The claim key of an unrepeatable request.
    pub key: Option<Key>,
}

/// Reads a head.
///
/// # Errors
///
/// Returns the problem to tell the caller: an unknown workspace, route or
/// class, a missing key, or a deadline that is none.
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

/// Completes a head by its body.
///
/// # Errors
///
/// Returns the problem to tell the caller: a prompt that is none, or a model
/// that the bundle doesn't have.
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
        chat: spread(id, head.key.as_ref()),
        prompt_tokens: tokens(body.len()),
        answer_tokens: 0,
        deadline: head.deadline,
        key: head.key.map(|key| key.digest),
        digest,
    };
    if head.service.kind == Kind::Engine {
        let prompt = Prompt::read(&body).map_err(|error| bad_prompt(&error))?;
        let (model, default) = prompt.model(policy, head.route.service)?;
        request.model = model;
        request.answer_tokens = prompt.answer_tokens().unwrap_or(default);
        request.chat = match text(&parts.headers, &header::CHAT)? {
            Some(chat) => id::scoped(head.workspace, chat),
            None => id::scoped(head.workspace, &prompt.prefix),
        };
    }
    Ok(Resolved {
        request,
        method: parts.method.as_str().to_owned(),
        path: path.to_owned(),
        headers: forwarded(&parts.headers),
        body,
        key: head.key,
    })
}

fn workspace(policy: &Policy, headers: &HeaderMap) -> Result<WorkspaceId, Problem> {
    let Some(name) = text(headers, &header::WORKSPACE)? else {
        return Err(Problem::not_run(
            StatusCode::BAD_REQUEST,
            "missing-workspace",
            "the request names no workspace; add the header Godwitpost-Workspace",
        ));
    };
    let id = id::of(name);
    if policy.workspaces.contains_key(&id) {
        Ok(id)
    } else {
        Err(Refusal::new(Reason::UnknownWorkspace).into())
    }
}

fn class(policy: &Policy, route: &Route, headers: &HeaderMap) -> Result<ClassId, Problem> {
    let Some(name) = text(headers, &header::CLASS)? else {
        return Ok(route.class);
    };
    let id = id::of(name);
    if policy.classes.contains_key(&id) {
        return Ok(id);
    }
    Err(Problem::not_run(
        StatusCode::BAD_REQUEST,
        "unknown-class",
        "the class in Godwitpost-Class is not in the bundle; leave the header out for the route's own",
    ))
}

// Callers state how long they wait by RFC 7240's `wait` preference.
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

/// The longest time that a caller may wait for an answer to begin; beyond it
/// a connection is more likely forgotten than waited on.
pub const MAX_WAIT: Duration = Duration::from_mins(10);

fn claim_key(
    policy: &Policy,
    workspace: WorkspaceId,
    headers: &HeaderMap,
    now: Moment,
) -> Result<Key, Problem> {
    let Some(key) = text(headers, &header::KEY)? else {
        return Err(Problem::not_run(
            StatusCode::BAD_REQUEST,
            "missing-key",
            "this route runs at most once and needs the header Idempotency-Key; send a version 7 UUID",
        ));
    };
    let issued = headers
        .get(key::ISSUED_HEADER)
        .and_then(|value| value.to_str().ok());
    let key = Key::parse(workspace, key, issued).map_err(|error| bad_key(&error))?;
    key.check_issue_time(now, policy.claim_window)
        .map_err(|error| bad_key(&error))?;
    Ok(key)
}

fn bad_key(error: &key::Error) -> Problem {
    let problem = |reason| Problem::not_run(StatusCode::BAD_REQUEST, reason, error.to_string());
    match error {
        // It was not run now, but an old key has most likely been sent before.
        key::Error::Expired => problem("key-expired").with_outcome(Outcome::Unknown),
        key::Error::Future => problem("key-early"),
        _ => problem("bad-key"),
    }
}

fn bad_prompt(error: &prompt::Error) -> Problem {
    Problem::not_run(StatusCode::BAD_REQUEST, "bad-body", error.to_string())
}

fn text<'h>(headers: &'h HeaderMap, name: &http::HeaderName) -> Result<Option<&'h str>, Problem> {
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

// What endpoints may see of a caller's headers. The ones that the router sets
// itself are taken off, so that a caller can't raise its own priority.
fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    header::strip(&mut headers);
    header::strip_connection(&mut headers);
    let ours = [
        HOST,
        CONTENT_LENGTH,
        EXPECT,
        header::REQUEST,
        header::PRIORITY,
        header::PREFIX,
    ];
    for name in ours {
        headers.remove(name);
    }
    headers
}

/// Bytes of JSON for each token of prompt, about what English text and its
/// framing come to. Load is compared between requests only, so an even error
/// cancels out.
const BYTES_PER_TOKEN: usize = 4;

fn tokens(bytes: usize) -> u32 {
    u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
}

// A plain request has no chat and goes anywhere. One with a key goes where
// the same key went before, since its answer may be kept there.
#[expect(clippy::cast_possible_truncation, reason = "the low half is wanted")]
fn spread(id: RequestId, key: Option<&Key>) -> u64 {
    match key {
        Some(key) => u128::from_le_bytes(key.digest) as u64,
        None => id as u64,
    }
}
