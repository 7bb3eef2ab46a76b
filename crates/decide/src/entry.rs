//! Decisions of the instance that receives a caller's request.
//!
//! [`route`] returns where a request goes first. After a failed attempt,
//! [`Attempts`] decides whether it may be sent again. It may if the ending
//! proves that nothing ran, or if the request is repeatable. A request that is
//! not repeatable and may have run is never sent again. Retries are paid from
//! a budget per workspace and service, so that an outage does not cause a
//! retry storm.

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

/// The first step of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The local instance owns the endpoint; offer the request to the local
    /// owner.
    Local {
        /// The endpoint selected by placement.
        endpoint: EndpointId,
    },
    /// Another instance owns the endpoint; send the request there.
    Forward {
        /// The owner.
        instance: InstanceId,
        /// The endpoint selected by placement.
        endpoint: EndpointId,
    },
    /// It cannot run.
    Refuse(Refusal),
}

/// Returns where a request goes first; `zone` is the zone of the entry
/// instance.
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

// Selects the first endpoint in the chat's order that has not failed this
// request, or the first of all if every one has.
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

/// Maximum number of attempts for one request.
///
/// Four attempts reach an endpoint outside a failed zone with near certainty;
/// more would only add to the load of an outage.
const MAX_ATTEMPTS: u32 = 4;

/// Maximum delay before the first retry, before jitter; it doubles with each
/// further retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Retry {
    /// Send it again after a delay.
    Again {
        /// How long to wait; may be zero.
        after: Duration,
        /// Where to send it then.
        to: Next,
    },
    /// Answer the caller now.
    GiveUp {
        /// The outcome to report to the caller.
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
    /// Returns the hop to send with the next attempt.
    ///
    /// `evidence` is what the local owner knows about the request's digest.
    #[must_use]
    pub fn hop(&self, zone: ZoneId, endpoint: EndpointId, evidence: Vec<Evidence>) -> Hop {
        Hop {
            tried: self.failed.clone(),
            evidence,
            ..Hop::first(zone, endpoint)
        }
    }

    /// Records a failed attempt and returns what to do next.
    ///
    /// `endpoint` is the endpoint where it failed, if it got that far.
    #[expect(
        clippy::too_many_arguments,
        reason = "every argument affects the decision"
    )]
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

    // A single attempt with an unknown outcome makes the outcome of the
    // request unknown.
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

// Uses full jitter. An endpoint that is leaving tells nothing about the
// others, so the first retry after that is sent at once.
fn backoff(count: u32, ending: Ending, rng: &mut impl Rng) -> Duration {
    if ending == Ending::Leaving && count == 1 {
        return Duration::ZERO;
    }
    let ceiling = INITIAL_BACKOFF * 2_u32.pow(count.min(6) - 1);
    ceiling.mul_f64(rng.random::<f64>())
}

/// Retry tokens that each first attempt adds to the budget.
///
/// A tenth bounds the load that retries add in an outage to 10%.
const TOKENS_PER_REQUEST: f64 = 0.1;

/// Maximum number of retry tokens in a budget; a budget starts full.
const MAX_TOKENS: f64 = 10.0;

/// Retry tokens added per second, so that an idle budget recovers.
const REFILL_PER_SECOND: f64 = 0.1;

/// Retry budgets by workspace and service.
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
    /// Records a first attempt, which adds a fraction of a retry to the
    /// budget.
    pub fn deposit(&mut self, workspace: WorkspaceId, service: ServiceId) {
        let key = (workspace, service);
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.tokens += TOKENS_PER_REQUEST;
            if bucket.tokens >= MAX_TOKENS {
                self.buckets.remove(&key);
            }
        }
    }

    /// Takes one retry from the budget and returns whether there was one.
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
