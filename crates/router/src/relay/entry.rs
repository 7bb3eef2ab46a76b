//! The entry's part: one caller's request until it has its answer.

use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::connect::Body;
use godwitpost_decide::ending::Ending;
use godwitpost_decide::entry::{self, Attempts, Next, Retry};
use godwitpost_decide::hop::Hop;
use godwitpost_decide::refusal::{Reason, Refusal};
use godwitpost_decide::view::Pool;
use godwitpost_types::id::{EndpointId, InstanceId};
use godwitpost_types::instance::Instance;
use godwitpost_types::outcome::Outcome;
use godwitpost_wire::dispatch::{Head, Reply};
use http::{Response, StatusCode};
use rand::RngExt as _;

use super::peer::Failure;
use super::{AttemptResult, Job, owner, peer};
use crate::control;
use crate::problem::Problem;
use crate::resolve::Resolved;
use crate::shared::{Bundle, Shared, Snapshot};

/// Forwards that an entry follows for one attempt, by far more than the
/// owners' own bound; it only guards against a loop by a bug.
const FORWARDS: u32 = 16;

/// Runs a request to its answer.
///
/// # Errors
///
/// Returns the problem to tell the caller, with the request's true outcome.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    snapshot: &Arc<Snapshot>,
    bundle: &Bundle,
    resolved: Resolved,
) -> Result<Response<Body>, Problem> {
    let zone = shared.settings.zone_id();
    let next = entry::route(&snapshot.view, &bundle.policy, &resolved.request, zone);
    shared
        .entry_state()
        .budgets
        .deposit(resolved.request.workspace, resolved.request.service);
    let run = Run {
        shared,
        snapshot,
        attempts: Attempts::default(),
        unknown: false,
        job: job(zone, resolved),
    };
    run.finish(next).await
}

struct Run<'a> {
    shared: &'a Arc<Shared>,
    snapshot: &'a Arc<Snapshot>,
    attempts: Attempts,
    /// Whether an attempt so far may have run.
    unknown: bool,
    job: Job,
}

enum Step {
    Answered(Response<Body>),
    Told(Problem),
    Failed(Option<EndpointId>, Ending),
}

impl Run<'_> {
    async fn finish(mut self, next: Next) -> Result<Response<Body>, Problem> {
        let result = self.attempts(next).await;
        if result.is_err() && self.unknown {
            self.tell_home().await;
        }
        result.map_err(|problem| self.truthful(problem))
    }

    async fn attempts(&mut self, mut next: Next) -> Result<Response<Body>, Problem> {
        loop {
            let (instance, endpoint) = match next {
                Next::Refuse(refusal) => return Err(refusal.into()),
                Next::Local { endpoint } => (self.shared.local(), endpoint),
                Next::Forward { instance, endpoint } => (instance, endpoint),
            };
            let (at, ending) = match self.attempt(instance, endpoint).await {
                Step::Answered(response) => return Ok(response),
                Step::Told(problem) => return Err(problem),
                Step::Failed(at, ending) => (at, ending),
            };
            self.unknown |= !ending.proves_not_run();
            next = self.again(at, ending).await?;
        }
    }

    /// Tells the owner of the chat's home what is known against the request.
    ///
    /// The failure: a prompt crashed two engines, and its caller sends it again
    /// at once through another router, which gossip has not reached. All
    /// routers ask the home's owner first, so it has to know before the caller
    /// hears that the request failed.
    async fn tell_home(&self) {
        let request = &self.job.head.request;
        let evidence = self
            .shared
            .owner
            .with(|owner| owner.evidence_for(&request.digest));
        let view = &self.snapshot.view;
        let zone = self.shared.settings.zone_id();
        let home = view
            .ranked(Pool::for_request(request), request.chat, zone)
            .next();
        let owner = home.map(|home| view.owner(home));
        if evidence.is_empty() {
            return;
        }
        if let Some(owner) = owner.and_then(|owner| self.remote(owner)) {
            peer::send_evidence(self.shared, owner, &evidence).await;
        }
    }

    /// Returns the problem with the outcome of the request as a whole.
    ///
    /// A refusal speaks for the attempt that was refused. If an earlier one
    /// broke off, as when a request crashed two engines and is quarantined,
    /// *not run* would be a lie about the whole.
    fn truthful(&self, problem: Problem) -> Problem {
        if self.unknown && problem.outcome == Outcome::NotRun {
            problem.with_outcome(Outcome::Unknown)
        } else {
            problem
        }
    }

    /// Makes one attempt, following owners' forwards.
    async fn attempt(&mut self, instance: InstanceId, endpoint: EndpointId) -> Step {
        let digest = self.job.head.request.digest;
        let evidence = self.shared.owner.with(|owner| owner.evidence_for(&digest));
        let zone = self.shared.settings.zone_id();
        self.job.head.hop = self.attempts.hop(zone, endpoint, evidence);
        let mut instance = instance;
        for _ in 0..FORWARDS {
            self.job.head.attempt = self.shared.entry_state().rng.random();
            let attempt = match self.send(instance).await {
                Ok(attempt) => attempt,
                Err(ending) => return Step::Failed(None, ending),
            };
            match attempt {
                AttemptResult::Response(response) => return Step::Answered(response),
                AttemptResult::Reply(Reply::Forward { instance: to, hop }) => {
                    instance = to;
                    self.job.head.hop = hop;
                }
                AttemptResult::Reply(Reply::Refused(refusal)) => return step(refusal),
                AttemptResult::Reply(Reply::Failed {
                    endpoint,
                    ending,
                    evidence,
                }) => {
                    self.shared
                        .owner
                        .with(|owner| owner.record_evidence(&evidence));
                    return Step::Failed(Some(endpoint), ending);
                }
                AttemptResult::Reply(Reply::Told(told)) => return Step::Told(told.into()),
            }
        }
        Step::Failed(None, Ending::Refused)
    }

    /// Sends the request to its owner, or serves it here if that is this
    /// instance or can't be reached.
    ///
    /// The failure: an owner crashes, and the platform's list names it for
    /// seconds more. As no byte has reached it, the local desk may serve the
    /// request; it counts the endpoint's work by its own share and reports.
    async fn send(&self, instance: InstanceId) -> Result<AttemptResult, Ending> {
        let Some(remote) = self.remote(instance) else {
            return Ok(owner::serve(self.shared, &self.job).await);
        };
        match peer::dispatch(self.shared, remote, &self.job).await {
            Ok(attempt) => Ok(attempt),
            Err(Failure::NotSent) => {
                log::debug!(instance:% = remote.name; "owner unreachable, served here");
                self.avoid(instance);
                Ok(owner::serve(self.shared, &self.job).await)
            }
            Err(Failure::Unknown(ending)) => {
                // A late answer says that the endpoint is slow; only a broken
                // connection says something of the instance.
                if ending == Ending::Broken {
                    self.avoid(instance);
                }
                Err(ending)
            }
        }
    }

    fn avoid(&self, instance: InstanceId) {
        let now = self.shared.now();
        self.shared.entry_state().avoid(now, instance);
        control::report_unreachable(self.shared, instance);
    }

    fn remote(&self, instance: InstanceId) -> Option<&Instance> {
        let now = self.shared.now();
        if instance == self.shared.local() || self.shared.entry_state().avoids(now, instance) {
            return None;
        }
        self.snapshot.view.instance(instance)
    }

    fn failed(&mut self, at: Option<EndpointId>, ending: Ending) -> Retry {
        let view = Arc::clone(&self.shared.snapshot().view);
        let gate = &mut *self.shared.entry_state();
        self.attempts.record_failure(
            self.shared.now(),
            &view,
            self.shared.settings.zone_id(),
            &self.job.head.request,
            at,
            ending,
            &mut gate.budgets,
            &mut gate.rng,
        )
    }

    /// Returns where the request goes after a failed attempt.
    async fn again(&mut self, at: Option<EndpointId>, ending: Ending) -> Result<Next, Problem> {
        let retry = self.failed(at, ending);
        match retry {
            Retry::Again { after, to } => {
                tokio::time::sleep(after).await;
                Ok(to)
            }
            Retry::GiveUp {
                outcome,
                retry_after,
            } => Err(given_up(ending, outcome, retry_after)),
        }
    }
}

// Another instance serves what this owner refuses because it leaves.
fn step(refusal: Refusal) -> Step {
    match refusal.reason {
        Reason::Leaving => Step::Failed(None, Ending::Refused),
        _ => Step::Told(refusal.into()),
    }
}

fn given_up(ending: Ending, outcome: Outcome, retry_after: Duration) -> Problem {
    let (status, reason, detail) = match (ending, outcome) {
        (Ending::Timeout, _) => (
            StatusCode::GATEWAY_TIMEOUT,
            "timeout",
            "no answer came before the deadline; it may have run, so repeat only what may run twice",
        ),
        (_, Outcome::NotRun) => (
            StatusCode::SERVICE_UNAVAILABLE,
            "unreachable",
            "no endpoint took the request and nothing was run; send it again later",
        ),
        _ => (
            StatusCode::BAD_GATEWAY,
            "broken",
            "the endpoint broke off; it may have run, so repeat only what may run twice",
        ),
    };
    Problem::not_run(status, reason, detail)
        .with_outcome(outcome)
        .with_retry_after(retry_after)
}

fn job(zone: u64, resolved: Resolved) -> Job {
    Job {
        head: Head {
            request: resolved.request,
            hop: Hop::first(zone, 0),
            attempt: 0,
            method: resolved.method,
            path: resolved.path,
            headers: Vec::new(),
            issued: resolved.key.map(|key| key.issued),
        },
        headers: resolved.headers,
        body: resolved.body,
    }
}
