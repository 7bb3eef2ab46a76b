//! A request on its way, with all that a second attempt needs.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::clock::boot_time;
use godwitpost_decide::quarantine;
use godwitpost_process::metrics::Labels;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{BodyDigest, EndpointId, ServiceId, Version, ZoneId};
use godwitpost_types::outcome::Outcome;
use http::header::HOST;
use http::request::Parts;
use http::{HeaderMap, Method, Uri};
use log::Level;
use rand::RngExt;
use tokio::time::Instant;

use super::{crash, headers};
use crate::attempt::Attempts;
use crate::dialect::RequestFields;
use crate::policy::{self, Caller, Kind, Limits, Policy, Route, Target, Workspace};
use crate::refusal::Reason;
use crate::shared::{Admission, Shared, View};

/// What the head of a request line costs beside its headers' names and values.
const PER_HEADER: usize = 4;

/// The length of an id from which on it is cut in logs.
const ID_SHOWN: usize = 40;

/// The links of a chain of endpoints that ended from which on a request goes
/// apart from others. With one link it is most likely innocent, and reading its
/// prompt anew elsewhere would be wasted.
const APART: u32 = 2;

/// A request under the configuration that it was last resolved by.
pub(crate) struct Job {
    pub(super) shared: Arc<Shared>,
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) facts: RequestFields,
    pub(super) route: Arc<Route>,
    pub(super) workspace: Option<Arc<Workspace>>,
    pub(super) service: ServiceId,
    pub(super) version: Version,
    pub(super) attempts: Attempts,
    pub(super) tried: Vec<EndpointId>,
    limits: Limits,
    host: String,
    arrived: Moment,
    // Until when it may take, on both clocks: the one counts the time that a
    // machine is suspended, the other wakes whoever waits.
    deadline: Moment,
    until: Instant,
    labels: Labels,
    admission: Admission,
    id: String,
    digest: OnceLock<BodyDigest>,
    // Whether the caller has been told anything.
    told: AtomicBool,
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
    /// Takes a request in by its head.
    ///
    /// # Errors
    ///
    /// Returns why it gets an answer of the instance's own.
    pub(super) fn new(
        shared: &Arc<Shared>,
        head: Parts,
        facts: Option<RequestFields>,
        arrived: Moment,
        admission: Admission,
    ) -> Result<Self, Reason> {
        let Parts {
            method,
            uri,
            mut headers,
            ..
        } = head;
        let fresh = shared.is_policy_current();
        let view = shared.view();
        let policy = view.policy.as_ref().ok_or(Reason::Starting)?;
        check(&headers, policy.limits())?;
        let host = host(&uri, &headers).ok_or(Reason::Malformed)?;
        let facts = facts.ok_or(Reason::Malformed)?;
        let found = resolve(policy, &host, uri.path(), facts.key.as_deref(), fresh)?;
        let patience = facts.timeout.unwrap_or(found.route.timeout);
        let allowed = patience.min(found.route.timeout);
        headers::strip(&mut headers);
        let kind = found.route.kind;
        let workspace = found.workspace.as_deref();
        let name = workspace.map_or("(open)", |workspace| workspace.name.as_str());
        let service = draw(&found.route);
        shared.budget().record_request(service, arrived);
        shared.metrics.requests().in_flight(1);
        Ok(Self {
            labels: shared.metrics.labels(name, kind.as_str()),
            shared: Arc::clone(shared),
            method,
            target: origin(&uri),
            headers,
            body: Bytes::new(),
            id: shown(&facts.attempt_id),
            digest: OnceLock::new(),
            facts,
            attempts: Attempts::new(kind.idempotent(), found.route.attempts),
            route: found.route,
            workspace: found.workspace,
            service,
            version: policy.version(),
            tried: Vec::new(),
            limits: policy.limits(),
            host,
            arrived,
            deadline: arrived + allowed,
            until: Instant::now() + allowed.saturating_sub(since(boot_time(), arrived)),
            admission,
            told: AtomicBool::new(false),
        })
    }

    /// Resolves the request anew under the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns why it may no longer be sent.
    pub(super) fn renew(&mut self, view: &View, fresh: bool) -> Result<(), Reason> {
        let policy = view.policy.as_ref().ok_or(Reason::Starting)?;
        let key = self.facts.key.as_deref();
        let found = resolve(policy, &self.host, self.target.path(), key, fresh)?;
        let moved = !found
            .route
            .targets
            .iter()
            .any(|target| target.service == self.service);
        if moved {
            self.service = draw(&found.route);
        }
        self.route = found.route;
        self.workspace = found.workspace;
        self.version = policy.version();
        Ok(())
    }

    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    /// Returns what it is known by if it comes again. It takes some
    /// microseconds, so it is asked for only once there is a reason.
    pub(crate) fn digest(&self) -> BodyDigest {
        *self.digest.get_or_init(|| {
            let path = self.target.path_and_query();
            let path = path.map_or("/", |path| path.as_str());
            quarantine::digest(self.method.as_str(), path, &self.body)
        })
    }

    /// Returns for how long it is still held back since endpoints ended each
    /// time that they ran it.
    pub(super) fn held(&self) -> Option<Duration> {
        let suspects = self.shared.crash_tracker();
        if suspects.is_empty() {
            return None;
        }
        suspects.remaining_hold(&self.digest(), boot_time())
    }

    /// Returns what it is placed by if it may be one that crashes endpoints:
    /// others that share its prompt's parts must not be where it is.
    pub(super) fn apart(&self) -> Option<u64> {
        let suspects = self.shared.crash_tracker();
        if suspects.is_empty() || suspects.chain_length(&self.digest()) < APART {
            return None;
        }
        let half = self.digest().first_chunk().copied();
        half.map(u64::from_le_bytes)
    }

    /// Returns whether endpoints in a zone may run it.
    pub(super) fn may_run_in(&self, zone: ZoneId) -> bool {
        let region = self.shared.settings.regions.get(&zone).copied();
        policy::may_run(&self.route, self.workspace.as_deref(), region)
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

    /// Returns the last event that the caller has by its own word.
    pub(crate) const fn after(&self) -> Option<u64> {
        self.facts.last_event_id
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

    /// Returns when its time is over, on the runtime's clock.
    pub(crate) const fn until(&self) -> Instant {
        self.until
    }

    /// Returns how much of its time is left.
    pub(crate) fn left(&self) -> Duration {
        since(self.deadline, boot_time())
    }

    /// Returns how long ago it arrived.
    pub(crate) fn age(&self) -> Duration {
        since(boot_time(), self.arrived)
    }

    /// Returns its urgency; 0 goes first.
    pub(super) fn rank(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|workspace| workspace.rank);
        own.unwrap_or(self.route.rank)
    }

    /// Counts and logs the head of an endpoint's answer.
    pub(crate) fn answered(&self, endpoint: &str, status: u16) {
        self.told.store(true, Ordering::Relaxed);
        let took = self.age();
        let outcome = Outcome::Ran;
        self.shared
            .metrics
            .requests()
            .head(&self.labels, outcome, status, took);
        log::info!(
            request:% = self.id, endpoint:% = endpoint, status = status, version = self.version,
            sent = self.attempts.sent() + 1, took_ms:% = took.as_millis();
            "request answered"
        );
    }

    /// Counts and logs an answer of the instance's own.
    pub(super) fn refused(&self, reason: Reason) {
        self.told.store(true, Ordering::Relaxed);
        let status = reason.status().as_u16();
        let took = self.age();
        self.shared
            .metrics
            .requests()
            .head(&self.labels, reason.outcome(), status, took);
        log::warn!(
            request:% = self.id, route:% = self.route.name, reason:% = reason.as_str(),
            outcome:% = reason.outcome(), status = status, version = self.version,
            sent = self.attempts.sent(), took_ms:% = took.as_millis();
            "request refused"
        );
    }

    /// Counts and logs the end of an answer's body.
    pub(crate) fn ended(&self, end: BodyEnd) {
        let took = self.age();
        godwitpost_process::metrics::Metrics::end(&self.labels, took);
        let level = match end {
            BodyEnd::Whole => {
                if !self.shared.crash_tracker().is_empty() {
                    crash::answered(&self.shared, self.digest(), self.arrived);
                }
                return;
            }
            BodyEnd::Left => Level::Info,
            BodyEnd::Broken => Level::Warn,
        };
        log::log!(
            level, request:% = self.id, end:? = end, sent = self.attempts.sent() + 1,
            took_ms:% = took.as_millis();
            "answer ended early"
        );
    }
}

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// All of it was passed on.
    Whole,
    /// It was broken off.
    Broken,
    /// The caller went away.
    Left,
}

impl Drop for Job {
    fn drop(&mut self) {
        if !self.told.load(Ordering::Relaxed) {
            log::info!(
                request:% = self.id, sent = self.attempts.sent(), tried = self.tried.len(),
                took_ms:% = self.age().as_millis();
                "caller left before an answer"
            );
        }
        self.shared.metrics.requests().in_flight(-1);
    }
}

struct Found {
    route: Arc<Route>,
    workspace: Option<Arc<Workspace>>,
}

// A configuration that was not confirmed lately may miss a route or a key that
// is there by now, and may hold a key that was taken away: it neither serves
// nor denies, it asks the caller to come again.
fn resolve(
    policy: &Policy,
    host: &str,
    path: &str,
    key: Option<&str>,
    fresh: bool,
) -> Result<Found, Reason> {
    let denied = |reason| if fresh { reason } else { Reason::Unconfirmed };
    let route = policy
        .route(host, path)
        .ok_or_else(|| denied(Reason::NoRoute))?;
    let workspace = match policy.caller(route, key) {
        Caller::Known(workspace) if fresh || route.open => Some(workspace),
        Caller::Known(_) => return Err(Reason::Unconfirmed),
        Caller::Anonymous => None,
        Caller::Unknown => return Err(denied(Reason::UnknownKey)),
    };
    Ok(Found {
        route: Arc::clone(route),
        workspace,
    })
}

// Draws one of the route's services by their weights.
fn draw(route: &Route) -> ServiceId {
    let weight = |target: &Target| u64::from(target.weight);
    let sum: u64 = route.targets.iter().map(weight).sum();
    let first = route.targets.first().map_or(0, |target| target.service);
    if sum == 0 {
        return first;
    }
    let mut at = rand::rng().random_range(0..sum);
    for target in &route.targets {
        if at < weight(target) {
            return target.service;
        }
        at -= weight(target);
    }
    first
}

fn check(headers: &HeaderMap, limits: Limits) -> Result<(), Reason> {
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + PER_HEADER)
        .sum();
    if bytes > limits.head_bytes {
        return Err(Reason::HeadTooLarge);
    }
    if headers.get_all(HOST).iter().nth(1).is_some() {
        return Err(Reason::Malformed);
    }
    Ok(())
}

// The host of the target if it names one, else that of the header.
fn host(uri: &Uri, headers: &HeaderMap) -> Option<String> {
    let named = uri.authority().map(http::uri::Authority::as_str);
    let header = || headers.get(HOST)?.to_str().ok();
    named.or_else(header).map(str::to_owned)
}

fn origin(uri: &Uri) -> Uri {
    uri.path_and_query()
        .map_or_else(Uri::default, |target| Uri::from(target.clone()))
}

// An id is the caller's text: it is shown only as far as it can't be mistaken
// for anything else in a line.
pub(super) fn shown(id: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    id.chars().filter(|c| plain(*c)).take(ID_SHOWN).collect()
}
