//! An accepted request, with everything needed to retry it.

mod held;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::Framing;
use godwitpost_decide::quarantine;
use godwitpost_process::metrics::Labels;
use godwitpost_process::serve::Backlog;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{
    self, BodyDigest, EndpointId, ServiceId, StreamId, Version, WorkspaceId, ZoneId,
};
use godwitpost_types::outcome::Outcome;
use http::header::HOST;
use http::request::Parts;
use http::{HeaderMap, Method, Uri};
use log::Level;
use rand::RngExt;
use tokio::time::Instant;

use super::payload::{End, Payload};
use super::{headers, origin};
use crate::attempt::Attempts;
use crate::dialect::RequestFields;
use crate::origins::Origin;
use crate::policy::{self, Caller, Kind, Limits, Policy, Route, Target, Workspace};
use crate::refusal::Reason;
use crate::roster::Registration;
use crate::shared::{Admission, Shared, View};

/// The size of a header line beyond its name and value: `: ` and the line ending.
const HEADER_LINE_OVERHEAD_BYTES: usize = 4;

/// The time that a request needs of a shutdown, as a multiple of its route's objective.
const SHUTDOWN_OBJECTIVES: u32 = 2;

/// The maximum length of a caller's attempt id in logs.
const MAX_LOGGED_ID_CHARS: usize = 40;

/// What logs and metrics show as the workspace of a request without one.
const NO_WORKSPACE: &str = "(open)";

/// A request under the configuration by which it was last resolved.
pub(crate) struct Job {
    pub(super) shared: Arc<Shared>,
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) fields: RequestFields,
    pub(super) route: Arc<Route>,
    pub(super) workspace: Option<Arc<Workspace>>,
    pub(super) service: ServiceId,
    pub(super) version: Version,
    pub(super) attempts: Attempts,
    pub(super) tried: Vec<EndpointId>,
    // Where the stream began, once its first event was passed on here or before.
    pub(super) origin: Option<Origin>,
    limits: Limits,
    host: String,
    arrived: Moment,
    // The deadline on both clocks: the boot clock counts time while the machine is
    // suspended, the runtime's clock wakes waiting tasks.
    deadline: Moment,
    timer_deadline: Instant,
    labels: Labels,
    admission: Admission,
    id: String,
    digest: OnceLock<BodyDigest>,
    // Whether it is sent to try a held part of prompts again.
    is_trial: bool,
    // Whether the caller has been sent a response.
    responded: AtomicBool,
    backlog: Arc<Backlog>,
}

impl std::fmt::Debug for Job {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Job")
            .field("id", &self.id)
            .field("route", &self.route.name)
            .field("version", &self.version)
            .finish_non_exhaustive()
    }
}

impl Job {
    /// Resolves a request by its head.
    ///
    /// # Errors
    ///
    /// Returns the reason why the instance refuses it.
    pub(super) fn new(
        shared: &Arc<Shared>,
        head: Parts,
        fields: Option<RequestFields>,
        arrived: Moment,
        admission: Admission,
    ) -> Result<Self, Reason> {
        let Parts {
            method,
            uri,
            mut headers,
            mut extensions,
            ..
        } = head;
        let policy_current = shared.is_policy_current();
        let view = shared.view();
        let policy = view.policy.as_ref().ok_or(Reason::Starting)?;
        check_head(&headers, policy.limits())?;
        let host = host(&uri, &headers).ok_or(Reason::Malformed)?;
        let fields = fields.ok_or(Reason::Malformed)?;
        let resolved = resolve(
            policy,
            &host,
            uri.path(),
            fields.key.as_deref(),
            policy_current,
        )?;
        let requested = fields.timeout.unwrap_or(resolved.route.timeout);
        let timeout = requested.min(resolved.route.timeout);
        headers::remove_hop_by_hop(&mut headers);
        let kind = resolved.route.kind;
        let workspace_name = workspace_name(resolved.workspace.as_deref());
        let service = pick_service(&resolved.route);
        shared.metrics.requests().in_flight(1);
        Ok(Self {
            labels: shared.metrics.labels(workspace_name, kind.as_str()),
            shared: Arc::clone(shared),
            method,
            target: origin_form(&uri),
            headers,
            body: Bytes::new(),
            id: loggable_id(&fields.attempt_id),
            digest: OnceLock::new(),
            is_trial: false,
            fields,
            attempts: Attempts::new(kind.idempotent(), resolved.route.attempts),
            route: resolved.route,
            workspace: resolved.workspace,
            service,
            version: policy.version(),
            tried: Vec::new(),
            origin: None,
            limits: policy.limits(),
            host,
            arrived,
            deadline: arrived + timeout,
            timer_deadline: Instant::now() + timeout.saturating_sub(since(boot_time(), arrived)),
            admission,
            responded: AtomicBool::new(false),
            backlog: extensions.remove::<Arc<Backlog>>().unwrap_or_default(),
        })
    }

    /// Resolves the request again under the current configuration.
    ///
    /// # Errors
    ///
    /// Returns the reason why it may no longer be sent.
    pub(super) fn resolve_again(
        &mut self,
        view: &View,
        policy_current: bool,
    ) -> Result<(), Reason> {
        let policy = view.policy.as_ref().ok_or(Reason::Starting)?;
        let key = self.fields.key.as_deref();
        let resolved = resolve(policy, &self.host, self.target.path(), key, policy_current)?;
        let moved = !resolved
            .route
            .targets
            .iter()
            .any(|target| target.service == self.service);
        if moved {
            self.service = pick_service(&resolved.route);
        }
        let workspace = resolved.workspace.as_deref();
        if workspace_id(workspace) != workspace_id(self.workspace.as_deref()) {
            self.digest = OnceLock::new();
        }
        self.route = resolved.route;
        self.workspace = resolved.workspace;
        self.version = policy.version();
        Ok(())
    }

    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    /// Returns the name of its workspace, or what logs and metrics show in its place.
    pub(super) fn workspace_name(&self) -> &str {
        workspace_name(self.workspace.as_deref())
    }

    /// Returns the digest that identifies the request if it is sent again. Computing it
    /// takes some microseconds, so it is done on first use only.
    pub(crate) fn digest(&self) -> BodyDigest {
        *self.digest.get_or_init(|| {
            let path = self.target.path_and_query();
            let path = path.map_or("/", |path| path.as_str());
            let content = quarantine::digest(self.method.as_str(), path, &self.body);
            let workspace = workspace_id(self.workspace.as_deref());
            quarantine::identity(workspace, &policy::normalized_host(&self.host), &content)
        })
    }

    /// Returns whether endpoints in a zone may run it.
    pub(super) fn may_run_in(&self, zone: ZoneId) -> bool {
        let region = self.shared.settings.regions.get(&zone).copied();
        policy::may_run(&self.route, self.workspace.as_deref(), region)
    }

    /// Returns the host by which the caller addressed the service.
    pub(super) fn host(&self) -> &str {
        &self.host
    }

    /// Marks the request as one of another instance, which logs what its caller gets.
    pub(super) fn set_forwarded(&self) {
        self.responded.store(true, Ordering::Relaxed);
    }

    /// Returns what its caller's connection has not written yet.
    pub(super) const fn backlog(&self) -> &Arc<Backlog> {
        &self.backlog
    }

    pub(crate) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    pub(crate) fn attempts_mut(&mut self) -> &mut Attempts {
        &mut self.attempts
    }

    pub(crate) const fn service(&self) -> ServiceId {
        self.service
    }

    /// Returns the id of its stream: that of the attempt that brought the first event, or of
    /// this one.
    pub(super) fn stream(&self) -> StreamId {
        let first = self.fields.resumes.as_ref();
        let workspace = self.workspace.as_ref().map(|one| one.name.as_str());
        id::scoped(
            id::from_name(workspace.unwrap_or_default()),
            first.unwrap_or(&self.fields.attempt_id),
        )
    }

    /// Returns whether its response is a stream that may go on at another endpoint.
    pub(super) fn is_resumable(&self) -> bool {
        self.route.kind.is_stream() && self.route.kind.idempotent()
    }

    /// Returns whether the caller names the stream that it takes up.
    pub(super) const fn names_stream(&self) -> bool {
        self.fields.resumes.is_some()
    }

    /// Returns the services that its route sends to.
    pub(super) fn target_services(&self) -> Vec<ServiceId> {
        let targets = self.route.targets.iter();
        targets.map(|target| target.service).collect()
    }

    /// Binds the request to the origin of the stream that it takes up.
    pub(super) fn bind(&mut self, origin: Origin) {
        self.origin = Some(origin);
        if self.target_services().contains(&origin.service) {
            self.service = origin.service;
        }
        if self.names_stream() {
            origin::record_own(self, origin);
        }
    }

    /// Binds the stream to the build of the endpoint whose first event is passed on.
    pub(crate) fn record_first_event(&mut self, registration: &Registration) {
        if self.origin.is_some() {
            return;
        }
        let origin = Origin {
            service: registration.endpoint.service,
            build: registration.build_id(),
        };
        self.origin = Some(origin);
        origin::record_own(self, origin);
    }

    /// Returns the last event that the caller says it has received.
    pub(crate) const fn last_event_id(&self) -> Option<u64> {
        self.fields.last_event_id
    }

    /// Returns the attempt that, as the caller says, brought the stream's first event, in the
    /// form that logs show.
    pub(super) fn first_attempt(&self) -> Option<String> {
        self.fields.resumes.as_deref().map(loggable_id)
    }

    pub(super) const fn limits(&self) -> Limits {
        self.limits
    }

    pub(crate) fn kind(&self) -> Kind {
        self.route.kind
    }

    pub(super) fn admission<T>(&mut self, call: impl FnOnce(&mut Admission) -> T) -> T {
        call(&mut self.admission)
    }

    pub(super) fn set_body(&mut self, body: Bytes) {
        self.body = body;
    }

    /// Returns the deadline on the runtime's clock, or the end of the shutdown that has begun.
    pub(crate) fn timer_deadline(&self) -> Instant {
        let shutdown = self.shared.shutdown().ends_at();
        shutdown.map_or(self.timer_deadline, |end| end.min(self.timer_deadline))
    }

    /// Returns the time until the deadline, or until the end of the shutdown that has begun.
    pub(crate) fn remaining(&self) -> Duration {
        let shutdown = self.shared.shutdown().remaining();
        let remaining = since(self.deadline, boot_time());
        shutdown.map_or(remaining, |left| left.min(remaining))
    }

    /// Returns whether the shutdown that has begun leaves too little time to send the request to
    /// an endpoint, although its deadline doesn't.
    pub(super) fn outlasts_shutdown(&self) -> bool {
        let needed = self.route.objective * SHUTDOWN_OBJECTIVES;
        let shutdown = self.shared.shutdown().remaining();
        shutdown.is_some_and(|left| left < needed && left < since(self.deadline, boot_time()))
    }

    /// Returns the time since the request arrived.
    pub(crate) fn age(&self) -> Duration {
        since(boot_time(), self.arrived)
    }

    /// Returns its priority; 0 goes first.
    pub(super) fn rank(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|workspace| workspace.rank);
        own.unwrap_or(self.route.rank)
    }

    /// Counts and logs the head of an endpoint's response.
    pub(crate) fn record_response(&self, endpoint: &str, status: u16) {
        self.responded.store(true, Ordering::Relaxed);
        let took = self.age();
        let outcome = Outcome::Ran;
        self.shared
            .metrics
            .requests()
            .record_response_head(&self.labels, outcome, status, took);
        log::info!(
            request:% = self.id, endpoint:% = endpoint, status = status, version = self.version,
            sent = self.attempts.sent() + 1, took_ms:% = took.as_millis();
            "request answered"
        );
    }

    /// Counts and logs a refusal by this instance.
    pub(super) fn record_refusal(&self, reason: Reason) {
        self.responded.store(true, Ordering::Relaxed);
        let status = reason.status().as_u16();
        let took = self.age();
        self.shared.metrics.requests().record_response_head(
            &self.labels,
            reason.outcome(),
            status,
            took,
        );
        log::warn!(
            request:% = self.id, route:% = self.route.name, reason:% = reason.as_str(),
            outcome:% = reason.outcome(), status = status, version = self.version,
            sent = self.attempts.sent(), took_ms:% = took.as_millis();
            "request refused"
        );
    }

    /// Counts the end of an endpoint's response. The end is logged if only the end of the
    /// connection marks it, or if an event is unfinished.
    pub(crate) fn record_payload_end(&self, endpoint: &str, payload: &Payload, end: &End) {
        let framing = payload.framing();
        let inside_event = payload.is_inside_event();
        let metrics = &self.shared.metrics;
        metrics.count_response_end(framing, inside_event, matches!(end, End::Whole));
        if framing == Framing::Delimited && !inside_event {
            return;
        }
        log::info!(
            request:% = self.id, endpoint:% = endpoint, framing:% = framing.as_str(),
            inside_event = inside_event, unfinished_bytes = payload.unfinished_bytes(), end:% = end;
            "endpoint's response ended"
        );
    }

    /// Counts and logs the end of a response body.
    pub(crate) fn record_end(&self, end: BodyEnd) {
        let took = self.age();
        godwitpost_process::metrics::Metrics::record_response_end(&self.labels, took);
        let level = match end {
            BodyEnd::Whole => return,
            BodyEnd::Left | BodyEnd::Unread => Level::Info,
            BodyEnd::Broken => Level::Warn,
        };
        log::log!(
            level, request:% = self.id, end:? = end, sent = self.attempts.sent() + 1,
            took_ms:% = took.as_millis();
            "response ended early"
        );
    }
}

/// How the body of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// It was relayed completely.
    Whole,
    /// It broke off.
    Broken,
    /// The caller disconnected.
    Left,
    /// The caller was disconnected, since it read nothing for too long.
    Unread,
}

impl Drop for Job {
    fn drop(&mut self) {
        if !self.responded.load(Ordering::Relaxed) {
            log::info!(
                request:% = self.id, sent = self.attempts.sent(), tried = self.tried.len(),
                took_ms:% = self.age().as_millis();
                "caller disconnected before a response"
            );
        }
        self.shared.metrics.requests().in_flight(-1);
    }
}

struct Resolved {
    route: Arc<Route>,
    workspace: Option<Arc<Workspace>>,
}

// Resolves a request's route and workspace.
//
// A configuration that was not confirmed recently may lack a new route or key, and may
// still contain a revoked key. In that case the request is neither served nor denied; the
// caller is asked to retry.
fn resolve(
    policy: &Policy,
    host: &str,
    path: &str,
    key: Option<&str>,
    policy_current: bool,
) -> Result<Resolved, Reason> {
    let denied = |reason| {
        if policy_current {
            reason
        } else {
            Reason::Unconfirmed
        }
    };
    let route = policy
        .route(host, path)
        .ok_or_else(|| denied(Reason::NoRoute))?;
    let workspace = match policy.caller(route, key) {
        Caller::Known(workspace) if policy_current || route.open => Some(workspace),
        Caller::Known(_) => return Err(Reason::Unconfirmed),
        Caller::Anonymous => None,
        Caller::Unknown => return Err(denied(Reason::UnknownKey)),
    };
    Ok(Resolved {
        route: Arc::clone(route),
        workspace,
    })
}

fn workspace_id(workspace: Option<&Workspace>) -> Option<WorkspaceId> {
    workspace.map(|workspace| id::from_name(&workspace.name))
}

fn workspace_name(workspace: Option<&Workspace>) -> &str {
    workspace.map_or(NO_WORKSPACE, |workspace| workspace.name.as_str())
}

// Picks one of the route's services at random, by their weights.
fn pick_service(route: &Route) -> ServiceId {
    let weight = |target: &Target| u64::from(target.weight);
    let sum: u64 = route.targets.iter().map(weight).sum();
    let first = route.targets.first().map_or(0, |target| target.service);
    if sum == 0 {
        return first;
    }
    let mut remaining = rand::rng().random_range(0..sum);
    for target in &route.targets {
        if remaining < weight(target) {
            return target.service;
        }
        remaining -= weight(target);
    }
    first
}

fn check_head(headers: &HeaderMap, limits: Limits) -> Result<(), Reason> {
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD_BYTES)
        .sum();
    if bytes > limits.head_bytes {
        return Err(Reason::HeadTooLarge);
    }
    if headers.get_all(HOST).iter().nth(1).is_some() {
        return Err(Reason::Malformed);
    }
    Ok(())
}

// Returns the host of the request target, or of the Host header if the target has none.
fn host(uri: &Uri, headers: &HeaderMap) -> Option<String> {
    let named = uri.authority().map(http::uri::Authority::as_str);
    let header = || headers.get(HOST)?.to_str().ok();
    named.or_else(header).map(str::to_owned)
}

fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query()
        .map_or_else(Uri::default, |target| Uri::from(target.clone()))
}

// Returns an attempt id in the form that logs show. The id is the caller's text, so it is
// shortened and reduced to characters that can't be mistaken for other parts of a log
// line.
pub(super) fn loggable_id(id: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    id.chars()
        .filter(|c| plain(*c))
        .take(MAX_LOGGED_ID_CHARS)
        .collect()
}
