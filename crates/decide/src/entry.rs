//! Decisions of the instance that a caller's request lands on.
//!
//! [`route`] says where a request goes first. After an attempt failed,
//! [`Attempts`] says whether it may go again. It may if the ending proves
//! that nothing ran, or if the request is repeatable; an unrepeatable request
//! whose fate is unknown never goes again. Retries are paid from a budget of
//! the workspace and service, so that an outage is not answered by a storm.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{EndpointId, InstanceId, ServiceId, WorkspaceId, ZoneId};
use godwitpost_types::outcome::Outcome;
use godwitpost_types::policy::Policy;
use godwitpost_types::request::Request;
use rand::{Rng, RngExt};

use crate::ending::Ending;
use crate::hop::Hop;
use crate::quarantine::Evidence;
use crate::refusal::{Reason, Refusal};
use crate::view::{Pool, View};

/// Where a request goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The local instance owns the endpoint: offer it to the local owner.
    Local {
        /// The endpoint that placement names.
        endpoint: EndpointId,
    },
    /// Another instance owns the endpoint: send it there.
    Forward {
        /// The owner.
        instance: InstanceId,
        /// The endpoint that placement names.
        endpoint: EndpointId,
    },
    /// It can't run.
    Refuse(Refusal),
}

/// Returns where a request goes first; `zone` is the entry instance's.
#[must_use]
pub fn route(view: &View, policy: &Policy, request: &Request, zone: ZoneId) -> Next {
    match find_violation(policy, request) {
        Some(reason) => Next::Refuse(Refusal::new(reason)),
        None => place(view, request, zone, &[]),
    }
}

fn find_violation(policy: &Policy, request: &Request) -> Option<Reason> {
    let Some(workspace) = policy.workspaces.get(&request.workspace) else {
        return Some(Reason::UnknownWorkspace);
    };
    if !policy.services.contains_key(&request.service) {
        return Some(Reason::UnknownService);
    }
    let allowed = workspace.services.contains(&request.service);
    (!allowed).then_some(Reason::Forbidden)
}

// The first endpoint in the chat's order that has not failed this request;
// the first of all if every one has.
fn place(view: &View, request: &Request, zone: ZoneId, failed: &[EndpointId]) -> Next {
    let mut ranked = view.ranked(Pool::for_request(request), request.chat, zone);
    let Some(home) = ranked.next() else {
        return Next::Refuse(Refusal::new(Reason::NoEndpoint));
    };
    let untried = |endpoint: &EndpointId| !failed.contains(endpoint);
    let endpoint = if untried(&home) {
        home
    } else {
        ranked.find(untried).unwrap_or(home)
    };
    let instance = view.owner(endpoint);
    if instance == view.local() {
        Next::Local { endpoint }
    } else {
        Next::Forward { instance, endpoint }
    }
}

/// Attempts that one request may have.
///
/// Four reach an endpoint outside a broken zone with near certainty; more
/// only add to the load of an outage.
const MAX_ATTEMPTS: u32 = 4;

/// The first wait before an attempt is repeated, before jitter; doubles.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Retry {
    /// Go again after a wait.
    Again {
        /// How long to wait; may be zero.
        after: Duration,
        /// Where to go then.
        to: Next,
    },
    /// Answer the caller at once.
    GiveUp {
        /// What the caller is told.
        outcome: Outcome,
        /// When the caller may send it again; goes into `Retry-After`.
        retry_after: Duration,
    },
}

/// The attempts of one request at its entry instance.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    count: u32,
    failed: Vec<EndpointId>,
    outcome_unknown: bool,
}

impl Attempts {
    /// Returns the hop to send along with the next attempt.
    ///
    /// `evidence` is what the local owner knows of the request's digest.
    #[must_use]
    pub fn hop(&self, zone: ZoneId, endpoint: EndpointId, evidence: Vec<Evidence>) -> Hop {
        Hop {
            tried: self.failed.clone(),
            evidence,
            ..Hop::first(zone, endpoint)
        }
    }

    /// Notes that an attempt failed and returns what follows.
    ///
    /// `endpoint` is where it failed, if it got that far.
    #[expect(clippy::too_many_arguments, reason = "all of it decides")]
    pub fn record_failure(
        &mut self,
        now: Moment,
        view: &View,
        zone: ZoneId,
        request: &Request,
        endpoint: Option<EndpointId>,
        ending: Ending,
        budgets: &mut Budgets,
        rng: &mut impl Rng,
    ) -> Retry {
        self.record_attempt(endpoint, ending);
        if !self.may_retry(request, ending) || self.count >= MAX_ATTEMPTS {
            return self.give_up();
        }
        let after = backoff(self.count, ending, rng);
        if now + after >= request.deadline {
            return self.give_up();
        }
        if !budgets.try_withdraw(now, request.workspace, request.service) {
            return self.give_up();
        }
        match place(view, request, zone, &self.failed) {
            Next::Refuse(_) => self.give_up(),
            to => Retry::Again { after, to },
        }
    }

    fn record_attempt(&mut self, endpoint: Option<EndpointId>, ending: Ending) {
        self.count += 1;
        self.outcome_unknown |= !ending.proves_not_run();
        self.failed.extend(endpoint);
    }

    fn may_retry(&self, request: &Request, ending: Ending) -> bool {
        match ending {
            Ending::Done | Ending::Abandoned | Ending::Timeout => false,
            Ending::Broken => request.repeatable(),
            _ => request.repeatable() || !self.outcome_unknown,
        }
    }

    // One attempt of unknown fate makes the whole request's fate unknown.
    fn give_up(&self) -> Retry {
        let outcome = if self.outcome_unknown {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        Retry::GiveUp {
            outcome,
            retry_after: Duration::from_secs(1),
        }
    }
}

// Full jitter. An endpoint that is leaving says nothing about the others, so
// the first repeat after it goes at once.
fn backoff(count: u32, ending: Ending, rng: &mut impl Rng) -> Duration {
    if ending == Ending::Leaving && count == 1 {
        return Duration::ZERO;
    }
    let ceiling = INITIAL_BACKOFF * 2_u32.pow(count.min(6) - 1);
    ceiling.mul_f64(rng.random::<f64>())
}

/// Part of a budget that each first attempt earns.
///
/// A tenth bounds the load that retries add in an outage to 10%.
const TOKENS_PER_REQUEST: f64 = 0.1;

/// The most that a budget holds, which a quiet workspace starts with.
const MAX_TOKENS: f64 = 10.0;

/// What a budget earns a second, so that an idle one recovers.
const REFILL_PER_SECOND: f64 = 0.1;

/// Budgets of retries, by workspace and service.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    buckets: BTreeMap<(WorkspaceId, ServiceId), TokenBucket>,
}

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    last_refill: Moment,
}

impl TokenBucket {
    fn refill(&mut self, now: Moment) {
        let recovered = since(now, self.last_refill).as_secs_f64() * REFILL_PER_SECOND;
        self.tokens = (self.tokens + recovered).min(MAX_TOKENS);
        self.last_refill = now;
    }
}

impl Budgets {
    /// Notes a first attempt, which earns a part of a retry.
    pub fn deposit(&mut self, workspace: WorkspaceId, service: ServiceId) {
        let key = (workspace, service);
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.tokens += TOKENS_PER_REQUEST;
            if bucket.tokens >= MAX_TOKENS {
                self.buckets.remove(&key);
            }
        }
    }

    /// Spends one retry; returns whether there was one.
    pub fn try_withdraw(
        &mut self,
        now: Moment,
        workspace: WorkspaceId,
        service: ServiceId,
    ) -> bool {
        let full = TokenBucket {
            tokens: MAX_TOKENS,
            last_refill: now,
        };
        let bucket = self.buckets.entry((workspace, service)).or_insert(full);
        bucket.refill(now);
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }
}
